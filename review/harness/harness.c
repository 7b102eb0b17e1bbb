#include "harness.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

enum
{
  MAX_SECONDS = 115,
  HEARTBEAT_MS = 1200,
};

Router routers[MAX_ROUTERS];
int n_routers;
Worker workers[MAX_WORKERS];
int n_workers;
bool trouble = true;
const char *key = "k-tenant-1";
const char *host = "site.example";
char cut_ip[32];
bool routers_have_sources;

static FILE *record_file;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static int64_t start_ms;
static pid_t store_pid;
static char store_ip[32];
static char temp_dir[64];
static int net_a;
static int net_b;

static int64_t
clock_ms (void)
{
  struct timespec t;
  clock_gettime (CLOCK_MONOTONIC, &t);
  return (int64_t) t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

int64_t
now_ms (void)
{
  return clock_ms () - start_ms;
}

void
sleep_ms (int64_t ms)
{
  struct timespec t = { ms / 1000, (ms % 1000) * 1000000 };
  while (ms > 0 && nanosleep (&t, &t) && errno == EINTR)
    continue;
}

void
record (const char *format, ...)
{
  va_list args;
  pthread_mutex_lock (&record_lock);
  fprintf (record_file, "%7.3f ", (double) now_ms () / 1e3);
  va_start (args, format);
  vfprintf (record_file, format, args);
  va_end (args);
  fputc ('\n', record_file);
  fflush (record_file);
  pthread_mutex_unlock (&record_lock);
}

static void
end_processes (void)
{
  for (int i = 0; i < n_routers; i++)
    if (routers[i].pid > 0)
      kill (routers[i].pid, SIGKILL);
  if (store_pid > 0)
    kill (store_pid, SIGKILL);
  for (int i = 0; i < n_routers; i++)
    if (routers[i].pid > 0)
      waitpid (routers[i].pid, NULL, 0);
  if (store_pid > 0)
    waitpid (store_pid, NULL, 0);
}

static void
remove_temp (void)
{
  for (int i = 0; i < n_routers; i++)
    {
      char path[1024];
      unlink (routers[i].settings);
      snprintf (path, sizeof path, "%s.log", routers[i].settings);
      if (!getenv ("KEEP_LOGS"))
        unlink (path);
    }
  if (!getenv ("KEEP_LOGS"))
    rmdir (temp_dir);
}

void
finish (int code)
{
  record ("exit %d", code);
  end_processes ();
  remove_temp ();
  fflush (NULL);
  _exit (code);
}

void
give_up (const char *format, ...)
{
  char text[512];
  va_list args;
  va_start (args, format);
  vsnprintf (text, sizeof text, format, args);
  va_end (args);
  record ("could not run: %s", text);
  fprintf (stderr, "could not run: %s\n", text);
  finish (CASE_NOT_RUN);
}

static void
on_alarm (int number)
{
  (void) number;
  end_processes ();
  _exit (CASE_NOT_RUN);
}

static void
set_address (struct sockaddr_in *addr, const char *ip, int port)
{
  memset (addr, 0, sizeof *addr);
  addr->sin_family = AF_INET;
  addr->sin_port = htons ((uint16_t) port);
  inet_pton (AF_INET, ip, &addr->sin_addr);
}

static int
listen_on (const char *ip, int port)
{
  struct sockaddr_in addr;
  int one = 1;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  set_address (&addr, ip, port);
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (bind (fd, (struct sockaddr *) &addr, sizeof addr) || listen (fd, 512))
    {
      close (fd);
      return -1;
    }
  return fd;
}

static int
connect_to (const char *ip, int port, int64_t timeout_ms)
{
  struct sockaddr_in addr;
  int one = 1;
  int error = 0;
  socklen_t n = sizeof error;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  set_address (&addr, ip, port);
  if (connect (fd, (struct sockaddr *) &addr, sizeof addr) && errno != EINPROGRESS)
    {
      close (fd);
      return -1;
    }
  struct pollfd p = { fd, POLLOUT, 0 };
  if (poll (&p, 1, (int) timeout_ms) != 1 || getsockopt (fd, SOL_SOCKET, SO_ERROR, &error, &n)
      || error)
    {
      close (fd);
      return -1;
    }
  fcntl (fd, F_SETFL, 0);
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  return fd;
}

/* Picks a part of the loopback network on which the ports are free. */
static void
pick_network (void)
{
  srand ((unsigned) (getpid () ^ (unsigned) clock_ms ()));
  for (int tries = 0; tries < 50; tries++)
    {
      bool ok = true;
      net_a = 20 + rand () % 200;
      net_b = 1 + rand () % 250;
      static const int ports[] = { FRONT_PORT, READY_PORT, PEER_PORT, OPERATOR_PORT };
      for (int i = 0; ok && i < n_routers; i++)
        for (size_t k = 0; ok && k < sizeof ports / sizeof ports[0]; k++)
          {
            char ip[32];
            snprintf (ip, sizeof ip, "127.%d.%d.%d", net_a, net_b, 10 + i);
            int fd = listen_on (ip, ports[k]);
            ok = fd >= 0;
            if (fd >= 0)
              close (fd);
          }
      if (ok)
        return;
    }
  give_up ("no free ports");
}

static pid_t
spawn (char *const argv[], const char *settings, const char *log)
{
  pid_t parent = getpid ();
  pid_t pid = fork ();
  if (pid != 0)
    return pid;
  prctl (PR_SET_PDEATHSIG, SIGKILL);
  if (getppid () != parent)
    _exit (126);
  int fd = open (log, O_WRONLY | O_CREAT | O_APPEND, 0600);
  dup2 (fd, 1);
  dup2 (fd, 2);
  char setting[512];
  char path[] = "PATH=/usr/bin:/bin";
  char home[] = "HOME=/tmp";
  char lang[] = "LANG=C.UTF-8";
  snprintf (setting, sizeof setting, "DOGWOODYOKE_CONFIG=%s", settings);
  char *env[] = { path, home, lang, setting, NULL };
  execve (argv[0], argv, env);
  _exit (127);
}

typedef struct
{
  const char *name;
  const char *value;
} Field;

/* Fills in the project's settings template as the platform does. */
static void
write_settings (const Router *router)
{
  char front[64];
  char ready[64];
  char store[64];
  FILE *in = fopen ("deploy/router.conf.in", "r");
  FILE *out = fopen (router->settings, "w");
  snprintf (front, sizeof front, "%s:%d", router->ip, FRONT_PORT);
  snprintf (ready, sizeof ready, "%s:%d", router->ip, READY_PORT);
  snprintf (store, sizeof store, "%s:%d", store_ip, STORE_PORT);
  const Field fields[] = { { "nodeName", router->name },
                           { "zone", "zone-a" },
                           { "region", "region-1" },
                           { "ip", router->ip },
                           { "bind.front", front },
                           { "bind.readiness", ready },
                           { "internalPorts.0", "7200" },
                           { "bounds.graceS", "8" },
                           { "bounds.configApplyMs", "2000" },
                           { "bounds.drainMs", "2000" },
                           { "bounds.retryBudgetRatio", "0.2" },
                           { "bounds.budgetSlack", "58" },
                           { "bounds.budgetWindowS", "10" },
                           { "platform.address", store } };
  if (!in || !out)
    give_up ("no settings template or temporary folder");
  char line[512];
  while (fgets (line, sizeof line, in))
    {
      const char *p = line;
      if (routers_have_sources && strncmp (line, "[peers]", 7) == 0)
        fprintf (out, "[node]\nconnect_from = %s\n\n", router->ip);
      while (*p)
        {
          const char *end = strncmp (p, "{{", 2) == 0 ? strstr (p, "}}") : NULL;
          if (!end)
            {
              fputc (*p++, out);
              continue;
            }
          size_t n = (size_t) (end - p) - 2;
          bool found = false;
          for (size_t i = 0; !found && i < sizeof fields / sizeof fields[0]; i++)
            if (strlen (fields[i].name) == n && strncmp (fields[i].name, p + 2, n) == 0)
              {
                fputs (fields[i].value, out);
                found = true;
              }
          if (!found)
            give_up ("the template has an unknown field %.*s", (int) n, p + 2);
          p = end + 2;
        }
    }
  fclose (in);
  fclose (out);
}

void
start_router (Router *router)
{
  char log[1024];
  char program[] = "target/dogwoodyoked";
  char *argv[] = { program, NULL };
  snprintf (log, sizeof log, "%s.log", router->settings);
  write_settings (router);
  router->pid = spawn (argv, router->settings, log);
  record ("router %s starts at %s", router->name, router->ip);
}

void
kill_router (Router *router, int signal_number)
{
  record ("router %s gets signal %d", router->name, signal_number);
  kill (router->pid, signal_number);
  if (signal_number != SIGKILL)
    return;
  waitpid (router->pid, NULL, 0);
  router->pid = 0;
}

void
wait_ready (const Router *router)
{
  const Call call = { .method = "GET", .target = "/ready", .headers = "", .leave_ms = 500 };
  for (int i = 0; i < 200; i++)
    {
      Answer answer;
      send_call (router->ip, READY_PORT, &call, &answer);
      int status = answer.status;
      free_answer (&answer);
      if (status == 200)
        {
          record ("router %s is ready", router->name);
          return;
        }
      sleep_ms (50);
    }
  give_up ("router %s is not ready", router->name);
}

void
put_object (const char *kind, const char *name, const char *spec)
{
  char target[256];
  char *body = malloc (strlen (spec) + 256);
  Answer answer;
  snprintf (target, sizeof target, "/objects/%s/%s", kind, name);
  int n = sprintf (body, "{\"metadata\":{\"name\":\"%s\"},\"spec\":%s}", name, spec);
  const Call call = { .method = "PUT",
                      .target = target,
                      .headers = "Content-Type: application/json\r\n",
                      .body = body,
                      .n_body = (size_t) n,
                      .leave_ms = 2000 };
  send_call (store_ip, STORE_PORT, &call, &answer);
  if (answer.status != 200)
    record ("the store answered a write of %s/%s with %d", kind, name, answer.status);
  free_answer (&answer);
  free (body);
}

void
put_config (int version, const char *routes, const char *services, long long prepaid)
{
  size_t size = strlen (routes) + strlen (services) + 1024;
  char *text = malloc (size);
  char budget[64] = "";
  if (prepaid >= 0)
    snprintf (budget, sizeof budget, ",\"prepaid\":%lld", prepaid);
  snprintf (text, size,
            "{\"version\":%d,\"routes\":%s,\"services\":%s,\"limits\":{\"maxHeaderBytes\":16384,"
            "\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},"
            "\"tenants\":[{\"name\":\"tenant-1\",\"apiKeys\":[\"%s\"]%s}]}",
            version, routes, services, key, budget);
  put_object ("config", "main", text);
  record ("the operator writes configuration %d", version);
  free (text);
}

void
list_worker (const Worker *worker)
{
  char spec[512];
  snprintf (spec, sizeof spec,
            "{\"service\":\"%s\",\"address\":\"%s:%d\",\"zone\":\"zone-a\",\"version\":\"%s\","
            "\"slots\":64,\"state\":\"%s\",\"coldRemainingMs\":0,\"stage\":\"mixed\",\"models\":[{"
            "\"name\":\"m\",\"version\":1,\"adapters\":[]}],\"sequence\":1,\"born\":%lld}",
            worker->service, worker->ip, WORKER_PORT, worker->version, worker->state,
            worker->born_ms);
  put_object ("servers", worker->id, spec);
}

const char *
store_address (void)
{
  return store_ip;
}

static void
start_store (void)
{
  char address[64];
  char log[256];
  char program[] = "target/review/fake_store";
  char *argv[] = { program, address, NULL };
  snprintf (address, sizeof address, "%s:%d", store_ip, STORE_PORT);
  snprintf (log, sizeof log, "/dev/null");
  store_pid = spawn (argv, "", log);
  for (int i = 0; i < 100; i++)
    {
      int fd = connect_to (store_ip, STORE_PORT, 200);
      if (fd >= 0)
        {
          close (fd);
          return;
        }
      sleep_ms (30);
    }
  give_up ("the store does not start");
}

void
site_init (const char *dir, int n)
{
  char path[512];
  const char *text = getenv ("TROUBLE");
  trouble = !text || strcmp (text, "0") != 0;
  start_ms = clock_ms ();
  snprintf (path, sizeof path, "%s/record.txt", dir);
  record_file = fopen (path, "w");
  if (!record_file)
    {
      fprintf (stderr, "cannot write %s\n", path);
      exit (CASE_NOT_RUN);
    }
  signal (SIGPIPE, SIG_IGN);
  signal (SIGALRM, on_alarm);
  signal (SIGTERM, on_alarm);
  signal (SIGINT, on_alarm);
  alarm (MAX_SECONDS);
  record ("trouble %s", trouble ? "on" : "off");
  n_routers = n;
  snprintf (temp_dir, sizeof temp_dir, "/tmp/dogwoodyoke-review-XXXXXX");
  if (!mkdtemp (temp_dir))
    give_up ("no temporary folder");
  pick_network ();
  snprintf (store_ip, sizeof store_ip, "127.%d.%d.2", net_a, net_b);
  for (int i = 0; i < n; i++)
    {
      snprintf (routers[i].name, sizeof routers[i].name, "edge-a-%d", i + 1);
      snprintf (routers[i].ip, sizeof routers[i].ip, "127.%d.%d.%d", net_a, net_b, 10 + i);
      snprintf (routers[i].settings, sizeof routers[i].settings, "%.63s/%.63s.conf", temp_dir,
                routers[i].name);
    }
  start_store ();
}

bool
write_all (int fd, const char *data, size_t n)
{
  while (n > 0)
    {
      ssize_t sent = send (fd, data, n, MSG_NOSIGNAL);
      if (sent <= 0)
        return false;
      data += sent;
      n -= (size_t) sent;
    }
  return true;
}

bool
write_format (int fd, const char *format, ...)
{
  char text[8192];
  va_list args;
  va_start (args, format);
  int n = vsnprintf (text, sizeof text, format, args);
  va_end (args);
  return write_all (fd, text, (size_t) n);
}

bool
get_header (const char *headers, const char *name, char *out, size_t size)
{
  size_t n_name = strlen (name);
  for (const char *line = headers; line && *line;)
    {
      const char *end = strstr (line, "\r\n");
      size_t n = end ? (size_t) (end - line) : strlen (line);
      if (n > n_name && line[n_name] == ':' && strncasecmp (line, name, n_name) == 0)
        {
          const char *value = line + n_name + 1;
          while (*value == ' ')
            value++;
          snprintf (out, size, "%.*s", (int) (line + n - value), value);
          return true;
        }
      line = end ? end + 2 : NULL;
    }
  return false;
}

static bool
read_more (int fd, char **buffer, size_t *n)
{
  char block[16384];
  ssize_t got = recv (fd, block, sizeof block, 0);
  if (got <= 0)
    return false;
  *buffer = realloc (*buffer, *n + (size_t) got + 1);
  memcpy (*buffer + *n, block, (size_t) got);
  *n += (size_t) got;
  (*buffer)[*n] = '\0';
  return true;
}

/* Reads a request with a length. Returns false at the end of the channel. */
static bool
read_request (int fd, char **buffer, size_t *n, Request *request)
{
  char *end;
  char value[64];
  memset (request, 0, sizeof *request);
  while (!*buffer || !(end = strstr (*buffer, "\r\n\r\n")))
    if (!read_more (fd, buffer, n))
      return false;
  size_t n_head = (size_t) (end - *buffer) + 4;
  char *line_end = strstr (*buffer, "\r\n");
  sscanf (*buffer, "%15s %255s", request->method, request->target);
  snprintf (request->headers, sizeof request->headers, "%.*s", (int) (end + 2 - (line_end + 2)),
            line_end + 2);
  if (get_header (request->headers, "Content-Length", value, sizeof value))
    request->n_body = (size_t) atol (value);
  while (*n < n_head + request->n_body)
    if (!read_more (fd, buffer, n))
      return false;
  request->body = malloc (request->n_body + 1);
  memcpy (request->body, *buffer + n_head, request->n_body);
  request->body[request->n_body] = '\0';
  *n -= n_head + request->n_body;
  memmove (*buffer, *buffer + n_head + request->n_body, *n + 1);
  return true;
}

typedef struct
{
  Worker *worker;
  int fd;
} Channel;

/* Returns whether the other side of FD is the router that is cut off. */
static bool
is_cut (int fd)
{
  struct sockaddr_in addr;
  socklen_t n = sizeof addr;
  char ip[32] = "";
  if (!cut_ip[0] || getpeername (fd, (struct sockaddr *) &addr, &n))
    return false;
  inet_ntop (AF_INET, &addr.sin_addr, ip, sizeof ip);
  return strcmp (ip, cut_ip) == 0;
}

/* Answers what a worker tells of itself. Returns false if REQUEST is anything else. */
static bool
answer_about_self (const Worker *worker, int fd, const Request *request)
{
  char text[256];
  if (strcmp (request->target, "/health") != 0 && strcmp (request->target, "/report") != 0)
    return false;
  snprintf (text, sizeof text,
            "{\"stage\":\"mixed\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],"
            "\"busy\":false,\"sequence\":1,\"queued\":0,\"running\":1,\"kvUsed\":0,"
            "\"kvTotal\":350683,\"handles\":0,\"born\":%lld}",
            worker->born_ms);
  write_format (fd,
                "HTTP/1.1 200 OK\r\nX-Instance-Id: %s\r\nContent-Type: application/json\r\n"
                "Content-Length: %zu\r\n\r\n%s",
                worker->id, strlen (text), text);
  return true;
}

static void *
serve_channel (void *ctx)
{
  Channel channel = *(Channel *) ctx;
  char *buffer = NULL;
  size_t n = 0;
  Request *request = malloc (sizeof *request);
  int one = 1;
  free (ctx);
  setsockopt (channel.fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  bool open = true;
  while (open && read_request (channel.fd, &buffer, &n, request))
    {
      char expected[64];
      if (is_cut (channel.fd))
        {
          reset_socket (channel.fd);
          open = false;
        }
      else if (answer_about_self (channel.worker, channel.fd, request))
        open = true;
      else if (get_header (request->headers, "X-Expect-Instance", expected, sizeof expected)
               && strcmp (expected, channel.worker->id) != 0)
        open = write_format (channel.fd,
                             "HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: %s\r\n"
                             "X-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
                             channel.worker->id);
      else
        open = channel.worker->serve (channel.worker, channel.fd, request);
      free (request->body);
      request->body = NULL;
    }
  free (request);
  free (buffer);
  close (channel.fd);
  return NULL;
}

static void *
accept_channels (void *ctx)
{
  Worker *worker = ctx;
  for (;;)
    {
      int fd = accept (worker->listen_fd, NULL, NULL);
      if (fd < 0)
        continue;
      if (is_cut (fd))
        {
          reset_socket (fd);
          close (fd);
          continue;
        }
      Channel *channel = malloc (sizeof *channel);
      pthread_t thread;
      *channel = (Channel){ worker, fd };
      if (pthread_create (&thread, NULL, serve_channel, channel))
        {
          close (fd);
          free (channel);
          continue;
        }
      pthread_detach (thread);
    }
  return NULL;
}

Worker *
add_worker (const char *id, const char *service, const char *version, WorkerServe serve)
{
  Worker *worker = &workers[n_workers];
  snprintf (worker->id, sizeof worker->id, "%s", id);
  snprintf (worker->service, sizeof worker->service, "%s", service);
  snprintf (worker->version, sizeof worker->version, "%s", version);
  snprintf (worker->state, sizeof worker->state, "ready");
  snprintf (worker->ip, sizeof worker->ip, "127.%d.%d.%d", net_a, net_b, 100 + n_workers);
  worker->born_ms = (long long) time (NULL) * 1000;
  worker->serve = serve;
  worker->listen_fd = listen_on (worker->ip, WORKER_PORT);
  if (worker->listen_fd < 0)
    give_up ("worker %s cannot listen", id);
  n_workers++;
  pthread_create (&worker->thread, NULL, accept_channels, worker);
  list_worker (worker);
  return worker;
}

/* Decodes as much of the chunked body as has come. Returns whether the last chunk has come. */
static bool
decode_chunks (const char *data, size_t n, Answer *answer)
{
  size_t at = 0;
  answer->body = realloc (answer->body, n + 1);
  answer->n_body = 0;
  while (at < n)
    {
      const char *line = memchr (data + at, '\n', n - at);
      if (!line)
        break;
      size_t size = strtoul (data + at, NULL, 16);
      size_t begin = (size_t) (line - data) + 1;
      if (size == 0)
        {
          answer->body[answer->n_body] = '\0';
          return true;
        }
      size_t have = n - begin < size ? n - begin : size;
      memcpy (answer->body + answer->n_body, data + begin, have);
      answer->n_body += have;
      at = begin + size + 2;
      if (begin + size > n)
        break;
    }
  answer->body[answer->n_body] = '\0';
  return false;
}

/* Takes what has come. Returns whether the answer is complete. */
static bool
parse_answer (const char *data, size_t n, Answer *answer)
{
  char value[64];
  const char *end = data ? strstr (data, "\r\n\r\n") : NULL;
  if (!end)
    return false;
  const char *line_end = strstr (data, "\r\n");
  if (answer->head_ms < 0)
    {
      answer->head_ms = now_ms () - answer->sent_ms;
      sscanf (data, "HTTP/1.%*d %d", &answer->status);
      snprintf (answer->headers, sizeof answer->headers, "%.*s", (int) (end + 2 - (line_end + 2)),
                line_end + 2);
    }
  const char *body = end + 4;
  size_t n_body = n - (size_t) (body - data);
  if (get_header (answer->headers, "Transfer-Encoding", value, sizeof value))
    return decode_chunks (body, n_body, answer);
  answer->body = realloc (answer->body, n_body + 1);
  memcpy (answer->body, body, n_body);
  answer->body[n_body] = '\0';
  answer->n_body = n_body;
  return get_header (answer->headers, "Content-Length", value, sizeof value)
         && n_body >= (size_t) atol (value);
}

void
send_call (const char *ip, int port, const Call *call, Answer *answer)
{
  char *data = NULL;
  size_t n = 0;
  char length[64] = "";
  memset (answer, 0, sizeof *answer);
  answer->head_ms = -1;
  answer->last_ms = -1;
  answer->end = END_REFUSED;
  answer->sent_ms = now_ms ();
  int fd = connect_to (ip, port, 1000);
  if (fd < 0)
    return;
  if (call->body)
    snprintf (length, sizeof length, "Content-Length: %zu\r\n", call->n_body);
  bool sent = write_format (fd, "%s %s HTTP/1.1\r\nHost: %s\r\n%s%s\r\n", call->method,
                            call->target, host, call->headers, length)
              && (!call->body || write_all (fd, call->body, call->n_body));
  int64_t latest_ms = now_ms ();
  answer->end = sent ? END_OPEN : END_CLOSED;
  while (sent)
    {
      int64_t left = call->leave_ms - (now_ms () - answer->sent_ms);
      if (call->gap_ms > 0 && call->gap_ms - (now_ms () - latest_ms) < left)
        left = call->gap_ms - (now_ms () - latest_ms);
      struct pollfd p = { fd, POLLIN, 0 };
      if (left <= 0)
        break;
      if (poll (&p, 1, (int) left) != 1)
        continue;
      if (!read_more (fd, &data, &n))
        {
          answer->end = END_CLOSED;
          break;
        }
      latest_ms = now_ms ();
      answer->last_ms = latest_ms - answer->sent_ms;
      if (parse_answer (data, n, answer))
        {
          answer->end = END_COMPLETE;
          break;
        }
    }
  answer->ended_ms = now_ms () - answer->sent_ms;
  free (data);
  close (fd);
}

void
free_answer (Answer *answer)
{
  free (answer->body);
  answer->body = NULL;
}

bool
write_head (int fd, const Request *request, int status, const char *type, long length)
{
  char id[128] = "";
  char framing[64];
  get_header (request->headers, "X-Request-Id", id, sizeof id);
  if (length < 0)
    snprintf (framing, sizeof framing, "Transfer-Encoding: chunked");
  else
    snprintf (framing, sizeof framing, "Content-Length: %ld", length);
  return write_format (fd,
                       "HTTP/1.1 %d %s\r\nX-Request-Id: %s\r\nX-Server-Seal: 5ea1.0.0.%s\r\n"
                       "Content-Type: %s\r\n%s\r\n\r\n",
                       status, status == 200 ? "OK" : "Failed", id, id, type, framing);
}

bool
write_chunk (int fd, const char *data, size_t n)
{
  char head[32];
  snprintf (head, sizeof head, "%zx\r\n", n);
  return write_all (fd, head, strlen (head)) && write_all (fd, data, n)
         && write_all (fd, "\r\n", 2);
}

bool
answer_text (int fd, const Request *request, int status, const char *text)
{
  return write_head (fd, request, status, "text/plain", (long) strlen (text))
         && write_all (fd, text, strlen (text));
}

void
reset_socket (int fd)
{
  struct linger linger = { 1, 0 };
  setsockopt (fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
}

bool
is_closed (int fd)
{
  char byte;
  ssize_t n = recv (fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return n == 0 || (n < 0 && errno != EAGAIN);
}
