#include "review/lab-2/lab.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

enum
{
  FIRST_PORT = 20000, /* below those that the system gives to outgoing connections */
  N_PORTS = 12000,
  BLOCK_BYTES = 64 * 1024,
  MAX_RUNS = 100000,
  MAX_CONNECTIONS = 2048,
  N_DELETES = 6,
  ADDRESS_SIZE = 16, /* with a port of five digits */
  DELETE = 0x7f,
  LOG_MODE = 0600,
  MS_PER_S = 1000,
  US_PER_MS = 1000,
};

typedef struct
{
  int caller;
  int ready;
  int operators;
  int peers;
  pid_t pid; /* 0: not running */
} Router;

struct LabWorker
{
  char *id;
  char *service;
  int port;
  int listener; /* -1: down */
  LabSpecial special;
  pthread_mutex_t mutex;
  bool down;
  int connections[MAX_CONNECTIONS]; /* -1: free */
  int64_t *run_ms;
  uint32_t n_runs;
  uint64_t generation; /* number of crashes */
};

typedef struct
{
  LabWorker *worker;
  int fd;
} Connection;

static Router routers[LAB_N_ROUTERS];
static pid_t store_pid;
static int store_port;
static int store_proxies[LAB_N_ROUTERS];
static char *dir;
static FILE *record;
static pthread_mutex_t note_mutex = PTHREAD_MUTEX_INITIALIZER;
static int64_t begun_us;
static char *volatile delete_text;

bool
lab_has_trouble (void)
{
  const char *text = g_getenv ("TROUBLE");
  return !text || strcmp (text, "0") != 0;
}

int64_t
lab_now_ms (void)
{
  return (g_get_monotonic_time () - begun_us) / US_PER_MS;
}

void
lab_sleep_until (int64_t ms)
{
  int64_t left_ms = ms - lab_now_ms ();
  if (left_ms > 0)
    g_usleep ((gulong) (left_ms * US_PER_MS));
}

void
lab_note (const char *format, ...)
{
  va_list args;
  va_start (args, format);
  char *text = g_strdup_vprintf (format, args);
  va_end (args);
  pthread_mutex_lock (&note_mutex);
  if (record)
    {
      fprintf (record, "%8.3f %s\n", (double) lab_now_ms () / MS_PER_S, text);
      fflush (record);
    }
  pthread_mutex_unlock (&note_mutex);
  g_free (text);
}

static void
end_process (pid_t *pid)
{
  if (*pid <= 0)
    return;
  kill (*pid, SIGKILL);
  waitpid (*pid, NULL, 0);
  *pid = 0;
}

static void
remove_files (void)
{
  char *path = NULL;
  for (uint32_t i = 0; dir && i < LAB_N_ROUTERS; i++)
    {
      path = g_strdup_printf ("%s/r%u.conf", dir, i);
      unlink (path);
      g_free (path);
      path = g_strdup_printf ("%s/r%u.log", dir, i);
      unlink (path);
      g_free (path);
    }
  if (dir)
    {
      path = g_strdup_printf ("%s/store.log", dir);
      unlink (path);
      g_free (path);
      rmdir (dir);
    }
}

static void
finish (int code)
{
  lab_kill_routers ();
  end_process (&store_pid);
  if (!g_getenv ("LAB_KEEP"))
    remove_files ();
  fflush (NULL);
  _exit (code);
}

void
lab_fail (const char *what)
{
  lab_note ("the case could not run: %s", what);
  fprintf (stderr, "%s\n", what);
  finish (LAB_NOT_RUN);
  abort ();
}

void
lab_end (bool broken)
{
  lab_note (broken ? "the rule was broken" : "the rule held");
  finish (broken ? LAB_BROKEN : LAB_HELD);
  abort ();
}

static struct sockaddr_in
local_address (int port)
{
  struct sockaddr_in addr = { .sin_family = AF_INET, .sin_port = htons ((uint16_t) port) };
  addr.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  return addr;
}

static int
open_socket (void)
{
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int yes = 1;
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
  return fd;
}

static int
listen_on (int port)
{
  enum
  {
    BACKLOG = 128,
  };
  int fd = open_socket ();
  struct sockaddr_in addr = local_address (port);
  if (bind (fd, (struct sockaddr *) &addr, sizeof addr) || listen (fd, BACKLOG))
    {
      close (fd);
      return -1;
    }
  return fd;
}

static int
free_port (void)
{
  static int next;
  if (next == 0)
    next = (int) (getpid () * 64 % N_PORTS);
  for (int i = 0; i < N_PORTS; i++)
    {
      int port = FIRST_PORT + next++ % N_PORTS;
      int fd = listen_on (port);
      if (fd < 0)
        continue;
      close (fd);
      return port;
    }
  lab_fail ("no free port");
  return -1;
}

static int
connect_to (int port)
{
  int fd = open_socket ();
  struct sockaddr_in addr = local_address (port);
  if (connect (fd, (struct sockaddr *) &addr, sizeof addr) == 0)
    return fd;
  close (fd);
  return -1;
}

static bool
send_all (int fd, const char *data, size_t n)
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

static void
start_thread (void *(*run) (void *arg), void *arg)
{
  pthread_t thread;
  pthread_attr_t attr;
  pthread_attr_init (&attr);
  pthread_attr_setdetachstate (&attr, PTHREAD_CREATE_DETACHED);
  if (pthread_create (&thread, &attr, run, arg))
    lab_fail ("no thread");
  pthread_attr_destroy (&attr);
}

/* Starts the program ARGV[0] with its output in the file NAME.log. */
static pid_t
spawn (const char *name, char *const *argv, char *const *env)
{
  char *path = g_strdup_printf ("%s/%s.log", dir, name);
  pid_t pid = fork ();
  if (pid == 0)
    {
      prctl (PR_SET_PDEATHSIG, SIGKILL);
      int out = open (path, O_WRONLY | O_CREAT | O_APPEND, LOG_MODE);
      if (out < 0 || dup2 (out, STDOUT_FILENO) < 0 || dup2 (out, STDERR_FILENO) < 0)
        _exit (LAB_NOT_RUN);
      execve (argv[0], argv, env);
      _exit (LAB_NOT_RUN);
    }
  g_free (path);
  return pid;
}

/* The proxies in front of the store and of the addresses where routers accept each other. A router
 * reads in the store, in place of each such address, that of a proxy. */

enum
{
  N_NOBODY = LAB_N_ROUTERS, /* in place of a router */
};

typedef struct
{
  int target; /* port */
  int users[2];
  bool reads_store;
} Proxy;

typedef struct
{
  const Proxy *proxy;
  int from;
  int to;
  bool answers;
} Pump;

static volatile bool cuts[LAB_N_ROUTERS + 1];
static int peer_proxies[LAB_N_ROUTERS][LAB_N_ROUTERS]; /* port for the first to reach the second */

static bool
is_cut (const Proxy *proxy)
{
  return cuts[proxy->users[0]] || cuts[proxy->users[1]];
}

static void
wait_for_end_of_cut (const Proxy *proxy)
{
  enum
  {
    PAUSE_US = 20000,
  };
  while (is_cut (proxy))
    g_usleep (PAUSE_US);
}

static void
replace_deletes (char *data, size_t n)
{
  const char *text = delete_text;
  for (size_t i = 0; text && i + N_DELETES <= n;)
    {
      size_t k = 0;
      while (k < N_DELETES && data[i + k] == DELETE)
        k++;
      if (k == N_DELETES)
        memcpy (data + i, text, N_DELETES);
      i += k > 0 ? k : 1;
    }
}

/* Returns the text of a port's address, which always has the same length. */
static void
format_address (int port, char address[ADDRESS_SIZE])
{
  g_snprintf (address, ADDRESS_SIZE, "127.0.0.1:%d", port);
}

static void
replace_addresses (const Proxy *proxy, char *data, size_t n)
{
  char old[ADDRESS_SIZE];
  char new[ADDRESS_SIZE];
  int reader = proxy->users[0];
  for (int i = 0; i < LAB_N_ROUTERS; i++)
    {
      char *at = data;
      if (i == reader)
        continue;
      format_address (routers[i].peers, old);
      format_address (peer_proxies[reader][i], new);
      while ((at = memmem (at, n - (size_t) (at - data), old, strlen (old))))
        memcpy (at, new, strlen (new));
    }
}

/* Bytes that may be the begin of what is replaced stay behind until the rest has arrived. Answers
 * of the store never end with such bytes. */
static size_t
complete_bytes (const char *data, size_t n)
{
  static const char begin[] = "\"127.0.0.1:20000";
  size_t k = 0;
  while (k < n && data[n - 1 - k] == DELETE)
    k++;
  if (k % N_DELETES > 0)
    return n - k % N_DELETES;
  for (size_t back = 1; back < strlen (begin) && back <= n; back++)
    if (data[n - back] == '"' && memcmp (data + n - back, begin, MIN (back, strlen ("\"127."))) == 0
        && back > 1)
      return n - back;
  return n;
}

static void
pump_bytes (const Pump *pump)
{
  static const size_t block = BLOCK_BYTES;
  bool replaces = pump->answers && pump->proxy->reads_store;
  char *data = g_malloc (block);
  size_t n = 0;
  ssize_t got;
  while ((got = recv (pump->from, data + n, block - n, 0)) > 0)
    {
      if (is_cut (pump->proxy))
        {
          wait_for_end_of_cut (pump->proxy);
          break;
        }
      n += (size_t) got;
      size_t n_sent = replaces ? complete_bytes (data, n) : n;
      if (replaces)
        {
          replace_deletes (data, n_sent);
          replace_addresses (pump->proxy, data, n_sent);
        }
      if (!send_all (pump->to, data, n_sent))
        break;
      n -= n_sent;
      memmove (data, data + n_sent, n);
    }
  g_free (data);
}

static void *
run_pump (void *arg)
{
  Pump *pump = arg;
  pump_bytes (pump);
  wait_for_end_of_cut (pump->proxy);
  shutdown (pump->from, SHUT_RDWR);
  shutdown (pump->to, SHUT_RDWR);
  g_free (pump);
  return NULL;
}

static void
start_pump (const Proxy *proxy, int from, int to, bool answers)
{
  Pump *pump = g_new0 (Pump, 1);
  *pump = (Pump){ proxy, from, to, answers };
  start_thread (run_pump, pump);
}

/* The descriptors stay open, as two threads use them. */
static void *
run_proxied (void *arg)
{
  Pump *pump = arg;
  wait_for_end_of_cut (pump->proxy);
  int to = connect_to (pump->proxy->target);
  if (to < 0)
    close (pump->from);
  else
    {
      start_pump (pump->proxy, pump->from, to, false);
      start_pump (pump->proxy, to, pump->from, true);
    }
  g_free (pump);
  return NULL;
}

typedef struct
{
  Proxy proxy;
  int listener;
} ListeningProxy;

static void *
run_proxy (void *arg)
{
  ListeningProxy *listening = arg;
  for (;;)
    {
      int from = accept4 (listening->listener, NULL, NULL, SOCK_CLOEXEC);
      if (from < 0)
        continue;
      Pump *pump = g_new0 (Pump, 1);
      *pump = (Pump){ &listening->proxy, from, -1, false };
      start_thread (run_proxied, pump);
    }
  return NULL;
}

/* Returns the port of a new proxy. */
static int
start_proxy (const Proxy *proxy)
{
  ListeningProxy *listening = g_new0 (ListeningProxy, 1);
  int port = free_port ();
  listening->proxy = *proxy;
  listening->listener = listen_on (port);
  if (listening->listener < 0)
    lab_fail ("a proxy could not listen");
  start_thread (run_proxy, listening);
  return port;
}

static void
start_proxies (void)
{
  for (int i = 0; i < LAB_N_ROUTERS; i++)
    {
      for (int k = 0; k < LAB_N_ROUTERS; k++)
        if (k != i)
          peer_proxies[i][k] = start_proxy (&(Proxy){ routers[k].peers, { i, k }, false });
      store_proxies[i] = start_proxy (&(Proxy){ store_port, { i, N_NOBODY }, true });
    }
}

void
lab_cut_router (uint32_t router, bool cut)
{
  cuts[router] = cut;
  lab_note ("router %u is %s the store and the other routers", router,
            cut ? "partitioned from" : "no longer partitioned from");
}

void
lab_read_deletes_as (const char *text)
{
  delete_text = g_strdup (text);
}

/* Clients. */

typedef struct
{
  GString *bytes;
  size_t n_head; /* 0: the head is not complete */
  int status;
  int64_t length; /* of the body; -1: in chunks, or to the end of the connection */
  bool chunked;
} Answer;

static void
read_head (Answer *answer)
{
  const char *end = strstr (answer->bytes->str, "\r\n\r\n");
  if (!end || answer->n_head > 0)
    return;
  answer->n_head = (size_t) (end - answer->bytes->str) + strlen ("\r\n\r\n");
  char *head = g_ascii_strdown (answer->bytes->str, (gssize) answer->n_head);
  const char *length = strstr (head, "\r\ncontent-length:");
  const char *status = strchr (head, ' ');
  answer->status = status ? (int) g_ascii_strtoll (status, NULL, 10) : 0;
  answer->length = length ? g_ascii_strtoll (strchr (length + 2, ':') + 1, NULL, 10) : -1;
  answer->chunked = strstr (head, "\r\ntransfer-encoding: chunked") != NULL;
  g_free (head);
}

static bool
is_complete (const Answer *answer)
{
  const GString *bytes = answer->bytes;
  if (answer->n_head == 0)
    return false;
  if (answer->length >= 0)
    return bytes->len >= answer->n_head + (size_t) answer->length;
  return answer->chunked && bytes->len >= answer->n_head + strlen ("0\r\n\r\n")
         && strcmp (bytes->str + bytes->len - strlen ("0\r\n\r\n"), "0\r\n\r\n") == 0;
}

static bool
read_more (int fd, GString *bytes, int64_t until_ms)
{
  char data[4096];
  struct pollfd poll_fd = { .fd = fd, .events = POLLIN };
  int64_t left_ms = until_ms - lab_now_ms ();
  if (left_ms <= 0 || poll (&poll_fd, 1, (int) left_ms) <= 0)
    return false;
  ssize_t n = recv (fd, data, sizeof data, 0);
  if (n > 0)
    g_string_append_len (bytes, data, n);
  return n > 0;
}

static LabAnswer
exchange (int fd, const GString *request, int64_t wait_ms, GString *bytes)
{
  Answer answer = { .bytes = g_string_new (NULL), .length = -1 };
  LabAnswer result = { .sent_ms = lab_now_ms () };
  if (fd >= 0 && send_all (fd, request->str, request->len))
    while (!is_complete (&answer) && read_more (fd, answer.bytes, result.sent_ms + wait_ms))
      read_head (&answer);
  result.status = answer.status;
  result.complete = is_complete (&answer);
  result.ended_ms = lab_now_ms ();
  if (bytes)
    g_string_append_len (bytes, answer.bytes->str, (gssize) answer.bytes->len);
  g_string_free (answer.bytes, TRUE);
  return result;
}

int
lab_connect (uint32_t router)
{
  return connect_to (routers[router].caller);
}

LabAnswer
lab_send_on (int fd, const LabRequest *request)
{
  GString *text = g_string_new (NULL);
  g_string_printf (text,
                   "%s %s HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: "
                   "%" G_GINT64_FORMAT "\r\n%s%s",
                   request->method, request->target, request->id, request->deadline_ms,
                   request->without_key ? "" : "Authorization: Bearer k1\r\n",
                   request->headers ? request->headers : "");
  if (request->body)
    g_string_append_printf (text, "Content-Length: %zu\r\n", strlen (request->body));
  g_string_append_printf (text, "\r\n%s", request->body ? request->body : "");
  LabAnswer answer = exchange (fd, text, request->wait_ms, request->bytes);
  g_string_free (text, TRUE);
  return answer;
}

LabAnswer
lab_send (uint32_t router, const LabRequest *request)
{
  int fd = lab_connect (router);
  LabAnswer answer = lab_send_on (fd, request);
  if (fd >= 0)
    close (fd);
  return answer;
}

/* The store's other clients: the operator and the workers. */

static int
call_store (const char *method, const char *path, const char *body)
{
  enum
  {
    WAIT_MS = 3000,
  };
  GString *text = g_string_new (NULL);
  int fd = connect_to (store_port);
  g_string_printf (text, "%s /objects/%s HTTP/1.1\r\nHost: store\r\nContent-Length: %zu\r\n\r\n%s",
                   method, path, strlen (body), body);
  LabAnswer answer = exchange (fd, text, WAIT_MS, NULL);
  g_string_free (text, TRUE);
  if (fd >= 0)
    close (fd);
  return answer.status;
}

void
lab_put (const char *kind, const char *name, const char *spec)
{
  enum
  {
    OK = 200,
  };
  char *path = g_strdup_printf ("%s/%s", kind, name);
  char *body = g_strdup_printf ("{\"metadata\":{\"name\":\"%s\"},\"spec\":%s}", name, spec);
  if (call_store ("PUT", path, body) != OK)
    lab_fail ("the store did not take an object");
  g_free (body);
  g_free (path);
}

void
lab_delete (const char *kind, const char *name)
{
  char *path = g_strdup_printf ("%s/%s", kind, name);
  call_store ("DELETE", path, "");
  g_free (path);
}

void
lab_put_config (int tag_timeout_ms, bool note_is_public)
{
  char *spec = g_strdup_printf (
      "{\"version\":1,\"routes\":["
      "{\"name\":\"note\",\"host\":\"h.example\",\"pathPrefix\":\"/note/\",\"routeType\":"
      "\"streaming\",\"timeoutMs\":12000,\"targetLatencyMs\":400,\"gapTargetMs\":400,\"priority\":"
      "0,\"service\":\"horo-llm\",\"maxAttempts\":2,\"public\":%s,\"sticky\":true,"
      "\"resumable\":true},"
      "{\"name\":\"dossier\",\"host\":\"h.example\",\"pathPrefix\":\"/dossier/\",\"routeType\":"
      "\"streaming\",\"timeoutMs\":4000,\"targetLatencyMs\":500,\"gapTargetMs\":400,\"priority\":1,"
      "\"service\":\"horo-llm\",\"maxAttempts\":1,\"public\":false,\"sticky\":true,"
      "\"resumable\":false},"
      "{\"name\":\"order\",\"host\":\"h.example\",\"pathPrefix\":\"/order/\",\"routeType\":"
      "\"idempotent\",\"timeoutMs\":1000,\"targetLatencyMs\":100,\"priority\":2,\"service\":"
      "\"station-desk\",\"maxAttempts\":2,\"public\":false,\"sticky\":false},"
      "{\"name\":\"tag\",\"host\":\"h.example\",\"pathPrefix\":\"/tag/\",\"routeType\":"
      "\"non_idempotent\",\"timeoutMs\":%d,\"targetLatencyMs\":100,\"priority\":2,\"service\":"
      "\"station-desk\",\"maxAttempts\":1,\"public\":false,\"sticky\":false}],"
      "\"services\":[{\"name\":\"horo-llm\",\"healthPath\":\"/health\",\"maxConnections\":370,"
      "\"runtime\":{\"slots\":64,\"kvCapacity\":350683,\"stride\":6}},"
      "{\"name\":\"station-desk\",\"healthPath\":\"/health\",\"maxConnections\":110}],"
      "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,"
      "\"idleTimeoutMs\":15000},\"tenants\":[{\"name\":\"acct\",\"apiKeys\":[\"k1\"],"
      "\"prepaid\":100000000}]}",
      note_is_public ? "true" : "false", tag_timeout_ms);
  lab_put ("config", "main", spec);
  g_free (spec);
}

/* Workers. */

static const char SEAL[] = "X-Server-Seal: 5ea1.0.0\r\n";

const char *
lab_worker_id (const LabWorker *worker)
{
  return worker->id;
}

static void
copy_field (const char *head, const char *name, char *value, size_t size)
{
  char *line = g_strdup_printf ("\r\n%s:", name);
  char *lower = g_ascii_strdown (head, -1);
  const char *at = strstr (lower, line);
  value[0] = '\0';
  if (at)
    {
      const char *begin = head + (at - lower) + strlen (line);
      begin += strspn (begin, " ");
      size_t n = MIN (strcspn (begin, "\r"), size - 1);
      memcpy (value, begin, n);
      value[n] = '\0';
    }
  g_free (lower);
  g_free (line);
}

/* Reads a request into BYTES; what is there already comes first. Returns the length of its head, 0
 * if the connection has ended. */
static size_t
read_request (int fd, GString *bytes)
{
  char data[4096];
  char length[32];
  for (;;)
    {
      const char *end = strstr (bytes->str, "\r\n\r\n");
      if (end)
        {
          size_t n_head = (size_t) (end - bytes->str) + strlen ("\r\n\r\n");
          copy_field (bytes->str, "content-length", length, sizeof length);
          if (bytes->len >= n_head + (size_t) g_ascii_strtoull (length, NULL, 10))
            return n_head;
        }
      ssize_t n = recv (fd, data, sizeof data, 0);
      if (n <= 0)
        return 0;
      g_string_append_len (bytes, data, n);
    }
}

static void
parse_request (const char *head, LabWorkerRequest *request, char *instance, size_t n_instance)
{
  char **words = g_strsplit_set (head, " \r", 3);
  g_strlcpy (request->method, words[0] ? words[0] : "", sizeof request->method);
  g_strlcpy (request->target, words[0] && words[1] ? words[1] : "", sizeof request->target);
  g_strfreev (words);
  copy_field (head, "x-request-id", request->id, sizeof request->id);
  copy_field (head, "x-prompt-prefix", request->prefix, sizeof request->prefix);
  copy_field (head, "last-event-id", request->last_event, sizeof request->last_event);
  copy_field (head, "x-expect-instance", instance, n_instance);
}

static void
record_run (LabWorker *worker, const LabWorkerRequest *request)
{
  pthread_mutex_lock (&worker->mutex);
  if (worker->n_runs < MAX_RUNS)
    worker->run_ms[worker->n_runs++] = lab_now_ms ();
  pthread_mutex_unlock (&worker->mutex);
  lab_note ("worker %s runs %s %s", worker->id, request->id, request->target);
}

static bool
answer_request (const LabWorker *worker, int fd, const LabWorkerRequest *request)
{
  enum
  {
    WORK_US = 15000,
  };
  static const char events[] = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";
  bool streams = g_str_has_prefix (request->target, "/note/")
                 || g_str_has_prefix (request->target, "/dossier/");
  bool asks = request->id[0] == '\0'; /* the health path */
  const char *body = asks ? "" : streams ? events : "done\n";
  if (!asks)
    g_usleep (WORK_US);
  char *text = g_strdup_printf ("HTTP/1.1 200 OK\r\nX-Instance-Id: %s\r\nX-Request-Id: %s\r\n%s"
                                "X-Worker-Load: 1,0,6\r\nContent-Type: %s\r\nContent-Length: "
                                "%zu\r\n\r\n%s",
                                worker->id, request->id, asks ? "" : SEAL,
                                streams ? "text/event-stream" : "text/plain", strlen (body), body);
  bool sent = send_all (fd, text, strlen (text));
  g_free (text);
  return sent;
}

static bool
refuse_misdirected (const LabWorker *worker, int fd, const LabWorkerRequest *request)
{
  char *text = g_strdup_printf ("HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: %s\r\n"
                                "X-Request-Id: %s\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
                                worker->id, request->id);
  bool sent = send_all (fd, text, strlen (text));
  g_free (text);
  return sent;
}

/* Serves one request. Returns whether the connection is kept. */
static bool
serve_request (LabWorker *worker, int fd, const char *head)
{
  LabWorkerRequest request;
  char instance[64];
  parse_request (head, &request, instance, sizeof instance);
  if (instance[0] && strcmp (instance, worker->id) != 0)
    return refuse_misdirected (worker, fd, &request);
  if (request.id[0])
    record_run (worker, &request);
  if (request.id[0] && worker->special && worker->special (worker, fd, &request))
    return false;
  return answer_request (worker, fd, &request);
}

static int
add_connection (LabWorker *worker, int fd)
{
  int place = -1;
  pthread_mutex_lock (&worker->mutex);
  for (int i = 0; i < MAX_CONNECTIONS && place < 0 && !worker->down; i++)
    if (worker->connections[i] < 0)
      place = i;
  if (place >= 0)
    worker->connections[place] = fd;
  pthread_mutex_unlock (&worker->mutex);
  return place;
}

static void *
run_connection (void *arg)
{
  Connection connection = *(Connection *) arg;
  LabWorker *worker = connection.worker;
  GString *bytes = g_string_new (NULL);
  size_t n_head;
  g_free (arg);
  int place = add_connection (worker, connection.fd);
  while (place >= 0 && (n_head = read_request (connection.fd, bytes)) > 0)
    {
      char *head = g_strndup (bytes->str, n_head);
      g_string_truncate (bytes, 0); /* routers send the next request after the answer */
      bool kept = serve_request (worker, connection.fd, head);
      g_free (head);
      if (!kept)
        break;
    }
  pthread_mutex_lock (&worker->mutex);
  if (place >= 0)
    worker->connections[place] = -1;
  close (connection.fd);
  pthread_mutex_unlock (&worker->mutex);
  g_string_free (bytes, TRUE);
  return NULL;
}

static void *
run_worker (void *arg)
{
  LabWorker *worker = arg;
  for (;;)
    {
      int fd = accept4 (worker->listener, NULL, NULL, SOCK_CLOEXEC);
      if (fd < 0)
        return NULL;
      Connection *connection = g_new0 (Connection, 1);
      *connection = (Connection){ worker, fd };
      start_thread (run_connection, connection);
    }
}

static void
open_worker (LabWorker *worker)
{
  worker->listener = listen_on (worker->port);
  if (worker->listener < 0)
    lab_fail ("a worker could not listen");
  worker->down = false;
  start_thread (run_worker, worker);
}

char *
lab_worker_entry (const LabWorker *worker, const char *state, const char *extra)
{
  return g_strdup_printf ("{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"punjab-a\","
                          "%s\"slots\":%d,\"state\":\"%s\"}",
                          worker->service, worker->port, extra,
                          strcmp (worker->service, "horo-llm") == 0 ? 64 : 6, state);
}

LabWorker *
lab_start_worker (const char *id, const char *service, const char *version, LabSpecial special)
{
  LabWorker *worker = g_new0 (LabWorker, 1);
  worker->id = g_strdup (id);
  worker->service = g_strdup (service);
  worker->port = free_port ();
  worker->special = special;
  worker->run_ms = g_new0 (int64_t, MAX_RUNS);
  pthread_mutex_init (&worker->mutex, NULL);
  for (int i = 0; i < MAX_CONNECTIONS; i++)
    worker->connections[i] = -1;
  open_worker (worker);
  char *fields = g_strdup_printf (
      "\"version\":\"%s\",\"coldRemainingMs\":0,\"sequence\":4,\"born\":1780000000000,", version);
  char *entry = lab_worker_entry (worker, "ready", fields);
  g_free (fields);
  lab_put ("servers", id, entry);
  g_free (entry);
  return worker;
}

typedef struct
{
  LabWorker *worker;
  int64_t until_ms;
} Return;

static void *
run_return (void *arg)
{
  Return back = *(Return *) arg;
  g_free (arg);
  lab_sleep_until (back.until_ms);
  open_worker (back.worker);
  lab_note ("worker %s is back", back.worker->id);
  return NULL;
}

void
lab_crash_worker (LabWorker *worker, int64_t down_ms)
{
  struct linger reset = { .l_onoff = 1 };
  pthread_mutex_lock (&worker->mutex);
  bool was_down = worker->down;
  worker->down = true;
  if (!was_down)
    shutdown (worker->listener, SHUT_RDWR);
  for (int i = 0; i < MAX_CONNECTIONS && !was_down; i++)
    if (worker->connections[i] >= 0)
      {
        setsockopt (worker->connections[i], SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
        shutdown (worker->connections[i], SHUT_RDWR);
      }
  pthread_mutex_unlock (&worker->mutex);
  if (was_down)
    return;
  lab_note ("worker %s crashes", worker->id);
  close (worker->listener);
  Return *back = g_new0 (Return, 1);
  *back = (Return){ worker, lab_now_ms () + down_ms };
  start_thread (run_return, back);
}

uint32_t
lab_runs_after (LabWorker *worker, int64_t after_ms)
{
  uint32_t n = 0;
  pthread_mutex_lock (&worker->mutex);
  for (uint32_t i = 0; i < worker->n_runs; i++)
    n += worker->run_ms[i] >= after_ms;
  pthread_mutex_unlock (&worker->mutex);
  return n;
}

/* Routers. */

static char *
replace (char *text, const char *old, const char *new)
{
  char **parts = g_strsplit (text, old, -1);
  char *result = g_strjoinv (new, parts);
  g_strfreev (parts);
  g_free (text);
  return result;
}

static char *
replace_port (char *text, const char *old, int port)
{
  char *address = g_strdup_printf ("127.0.0.1:%d", port);
  text = replace (text, old, address);
  g_free (address);
  return text;
}

/* Removes the sections NAME of the template, which have no value, or if KEPT only their marks. */
static char *
end_section (char *text, const char *mark, const char *name, bool kept)
{
  char *open = g_strdup_printf ("{{%s%s}}", mark, name);
  char *close_mark = g_strdup_printf ("{{/%s}}", name);
  const char *begin;
  while ((begin = strstr (text, open)))
    {
      const char *end = strstr (begin, close_mark);
      GString *out = g_string_new_len (text, begin - text);
      if (kept)
        g_string_append_len (out, begin + strlen (open), end - begin - (gssize) strlen (open));
      g_string_append (out, end + strlen (close_mark));
      g_free (text);
      text = g_string_free (out, FALSE);
    }
  g_free (open);
  g_free (close_mark);
  return text;
}

static char *
fill_template (char *text, uint32_t i, bool first)
{
  static const char *const values[][2]
      = { { "{{zone}}", "punjab-a" },         { "{{region}}", "pk-punjab" },
          { "{{bounds.graceS}}", "8" },       { "{{bounds.configApplyMs}}", "2000" },
          { "{{bounds.drainMs}}", "2000" },   { "{{bounds.retryBudgetRatio}}", "0.2" },
          { "{{bounds.budgetSlack}}", "58" }, { "{{bounds.budgetWindowS}}", "10" } };
  static const char *const missing[]
      = { "bounds.evacuateMs", "bounds.coldOverage", "bounds.coldSlack" };
  char *name = g_strdup_printf ("edge-punjab-a-%u", i + 1);
  for (size_t k = 0; k < G_N_ELEMENTS (missing); k++)
    text = end_section (text, "#", missing[k], false);
  text = end_section (text, "#", "firstStart", first);
  text = end_section (text, "^", "firstStart", !first);
  for (size_t k = 0; k < G_N_ELEMENTS (values); k++)
    text = replace (text, values[k][0], values[k][1]);
  text = replace (text, "{{nodeName}}", name);
  text = replace_port (text, "{{bind.front}}", routers[i].caller);
  text = replace_port (text, "{{bind.readiness}}", routers[i].ready);
  text = replace_port (text, "{{ip}}:9464", routers[i].operators);
  text = replace_port (text, "{{ip}}:{{internalPorts.0}}", routers[i].peers);
  text = replace_port (text, "{{platform.address}}", store_proxies[i]);
  g_free (name);
  return text;
}

static void
start_router (uint32_t i, bool first)
{
  char *text = NULL;
  char *path = g_strdup_printf ("%s/r%u.conf", dir, i);
  char *setting = g_strdup_printf ("DOGWOODYOKE_CONFIG=%s", path);
  char *search_path = g_strdup_printf ("PATH=%s", g_getenv ("PATH") ? g_getenv ("PATH") : "");
  char name[16];
  g_snprintf (name, sizeof name, "r%u", i);
  if (!g_file_get_contents ("deploy/router.conf.in", &text, NULL, NULL))
    lab_fail ("no template");
  text = fill_template (text, i, first);
  if (strstr (text, "{{") || !g_file_set_contents (path, text, -1, NULL))
    lab_fail ("the template could not be filled in");
  char *argv[] = { "target/dogwoodyoked", NULL };
  char *env[] = { setting, search_path, "HOME=/tmp", NULL };
  routers[i].pid = spawn (name, argv, env);
  g_free (text);
  g_free (path);
  g_free (setting);
  g_free (search_path);
}

void
lab_stop_router (uint32_t router)
{
  lab_note ("SIGTERM to router %u", router);
  kill (routers[router].pid, SIGTERM);
}

bool
lab_is_ready (uint32_t router)
{
  enum
  {
    OK = 200,
    WAIT_MS = 1000,
  };
  GString *text = g_string_new ("GET /ready HTTP/1.1\r\nHost: r\r\n\r\n");
  int fd = connect_to (routers[router].ready);
  LabAnswer answer = exchange (fd, text, WAIT_MS, NULL);
  g_string_free (text, TRUE);
  if (fd >= 0)
    close (fd);
  return answer.status == OK;
}

bool
lab_start_routers (bool first, int64_t wait_ms)
{
  enum
  {
    PAUSE_US = 100000,
  };
  int64_t until_ms = lab_now_ms () + wait_ms;
  uint32_t n_ready = 0;
  for (uint32_t i = 0; i < LAB_N_ROUTERS; i++)
    start_router (i, first);
  while (n_ready < LAB_N_ROUTERS && lab_now_ms () < until_ms)
    {
      n_ready = 0;
      for (uint32_t i = 0; i < LAB_N_ROUTERS; i++)
        n_ready += lab_is_ready (i);
      g_usleep (PAUSE_US);
    }
  lab_note ("%u of %d routers are ready", n_ready, LAB_N_ROUTERS);
  return n_ready == LAB_N_ROUTERS;
}

void
lab_kill_routers (void)
{
  for (uint32_t i = 0; i < LAB_N_ROUTERS; i++)
    end_process (&routers[i].pid);
}

static void
on_signal (int signal_number)
{
  (void) signal_number;
  for (uint32_t i = 0; i < LAB_N_ROUTERS; i++)
    if (routers[i].pid > 0)
      kill (routers[i].pid, SIGKILL);
  if (store_pid > 0)
    kill (store_pid, SIGKILL);
  _exit (LAB_NOT_RUN);
}

static void
start_store (void)
{
  enum
  {
    N_TRIES = 50,
    PAUSE_US = 100000,
  };
  char *address = g_strdup_printf ("127.0.0.1:%d", store_port);
  char *argv[] = { "target/review-2/fake_store", address, NULL };
  char *env[] = { NULL };
  int fd = -1;
  store_pid = spawn ("store", argv, env);
  for (int i = 0; i < N_TRIES && fd < 0; i++)
    {
      g_usleep (PAUSE_US);
      fd = connect_to (store_port);
    }
  if (fd < 0)
    lab_fail ("the store did not start");
  close (fd);
  g_free (address);
}

void
lab_begin (const char *folder)
{
  char *path = g_build_filename (folder, "record.txt", NULL);
  begun_us = g_get_monotonic_time ();
  signal (SIGPIPE, SIG_IGN);
  signal (SIGTERM, on_signal);
  signal (SIGINT, on_signal);
  record = fopen (path, "w");
  g_free (path);
  if (!record)
    lab_fail ("no record");
  dir = g_dir_make_tmp ("lab-XXXXXX", NULL);
  if (!dir)
    lab_fail ("no folder");
  store_port = free_port ();
  for (uint32_t i = 0; i < LAB_N_ROUTERS; i++)
    routers[i] = (Router){ free_port (), free_port (), free_port (), free_port (), 0 };
  start_store ();
  start_proxies ();
  lab_note ("trouble: %s", lab_has_trouble () ? "yes" : "no");
}
