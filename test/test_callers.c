/* The HTTP server as callers meet it: each request that was read is answered, whatever else happens
 * on its connection. */

#include "kernel/error.h"
#include "net/http_server.h"
#include "support/fleet.h"
#include "support/suite.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  MAX_BODY_BYTES = 64 * 1024,
  HEADER_BYTES = 48 * 1024,
  BUFFER_BYTES = 64 * 1024,
  MAX_HELD = 64,
  SPIN_US = 30 * 1000, /* more than a turn of the loop spends on requests */
};

static const double WAIT_S = 10.0;

#define HEAD "Host: a\r\n\r\n"
#define GET(path) "GET " path " HTTP/1.1\r\n" HEAD

/* A server that answers /now at once, /spin after SPIN_US, and keeps the calls of all other paths.
 */
typedef struct
{
  struct ev_loop *loop;
  DyHttpServer server;
  DyCounters counters;
  char *address;
  DyHttpCall *held[MAX_HELD]; /* NULL once it is closed */
  uint32_t n_held;
  uint32_t n_closed;
} Host;

static void
on_closed (void *ctx, DyHttpCall *call, bool complete)
{
  Host *host = ctx;
  (void) complete;
  host->n_closed++;
  for (uint32_t i = 0; i < host->n_held; i++)
    if (host->held[i] == call)
      host->held[i] = NULL;
}

static const DyHttpCallWatcher call_watcher = { .closed = on_closed };

static void
reply (DyHttpCall *call)
{
  dy_http_call_reply (call, 200, "text/plain", "ok", 2);
}

static void
handle (void *ctx, DyHttpCall *call)
{
  Host *host = ctx;
  bool spins = strcmp (dy_http_call_path (call), "/spin") == 0;
  if (spins)
    g_usleep (SPIN_US);
  if (spins || strcmp (dy_http_call_path (call), "/now") == 0)
    {
      reply (call);
      return;
    }
  ck_assert_uint_lt (host->n_held, MAX_HELD);
  host->held[host->n_held++] = call;
  dy_http_call_watch (call, &call_watcher, host);
}

static void
refuse (void *ctx, DyHttpCall *call)
{
  (void) ctx;
  dy_http_call_reply (call, 413, "text/plain", "", 0);
}

static void
refuse_overloaded (void *ctx, DyHttpCall *call)
{
  (void) ctx;
  dy_http_call_add_header (call, "Retry-After", "0.1");
  dy_http_call_reply (call, 503, "text/plain", "", 0);
}

static const DyHttpServerHandler handler
    = { .handle = handle, .too_large = refuse, .overloaded = refuse_overloaded };

static void
host_init (Host *host)
{
  memset (host, 0, sizeof *host);
  host->loop = ev_default_loop (EVFLAG_AUTO);
  host->address = fleet_free_address ();
  ck_assert_int_eq (dy_http_server_init (&host->server, host->loop, host->address, MAX_BODY_BYTES,
                                         HEADER_BYTES, BUFFER_BYTES, &handler, host),
                    DY_OK);
  host->server.counters = &host->counters;
}

static void
host_finish (Host *host)
{
  dy_http_server_finish (&host->server);
  g_free (host->address);
}

static int
open_socket (const Host *host)
{
  struct sockaddr_in addr = { .sin_family = AF_INET };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  ck_assert_int_ge (fd, 0);
  addr.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  addr.sin_port = htons ((uint16_t) atoi (strchr (host->address, ':') + 1));
  ck_assert_int_eq (connect (fd, (struct sockaddr *) &addr, sizeof addr), 0);
  fcntl (fd, F_SETFL, O_NONBLOCK);
  return fd;
}

static void
raise_descriptor_limit (void)
{
  struct rlimit limit;
  ck_assert_int_eq (getrlimit (RLIMIT_NOFILE, &limit), 0);
  limit.rlim_cur = limit.rlim_max;
  ck_assert_int_eq (setrlimit (RLIMIT_NOFILE, &limit), 0);
}

static void
send_text (int fd, const char *text)
{
  ck_assert_int_eq (send (fd, text, strlen (text), MSG_NOSIGNAL), (ssize_t) strlen (text));
}

/* Runs the loop for S seconds. */
static void
run_for (const Host *host, double s)
{
  int64_t end_us = g_get_monotonic_time () + (int64_t) (s * 1e6);
  while (g_get_monotonic_time () < end_us)
    {
      ev_run (host->loop, EVRUN_NOWAIT);
      g_usleep (500);
    }
}

/* Runs the loop until CONDITION holds, at most WAIT_S. */
#define run_until(host, condition)                                                                 \
  do                                                                                               \
    {                                                                                              \
      int64_t end_us = g_get_monotonic_time () + (int64_t) (WAIT_S * 1e6);                         \
      while (!(condition) && g_get_monotonic_time () < end_us)                                     \
        run_for (host, 0.001);                                                                     \
      ck_assert_msg ((condition), "timed out: " #condition);                                       \
    }                                                                                              \
  while (0)

typedef struct
{
  int fd;
  GString *text;
  bool closed;
} Reader;

static void
read_available (Reader *reader)
{
  char block[4096];
  ssize_t n;
  while ((n = recv (reader->fd, block, sizeof block, 0)) > 0)
    g_string_append_len (reader->text, block, n);
  reader->closed = reader->closed || n == 0 || errno != EAGAIN;
}

static uint32_t
n_answers (const Reader *reader)
{
  uint32_t n = 0;
  const char *p = reader->text->str;
  while ((p = strstr (p, "HTTP/1.1 ")) != NULL)
    {
      n += g_str_has_prefix (p, "HTTP/1.1 100") ? 0 : 1;
      p++;
    }
  return n;
}

/* Runs the loop until N answers to FD have begun or the connection is closed. */
static Reader
read_answers (const Host *host, int fd, uint32_t n)
{
  Reader reader = { .fd = fd, .text = g_string_new (NULL) };
  int64_t end_us = g_get_monotonic_time () + (int64_t) (WAIT_S * 1e6);
  while (n_answers (&reader) < n && !reader.closed && g_get_monotonic_time () < end_us)
    {
      run_for (host, 0.001);
      read_available (&reader);
    }
  run_for (host, 0.02);
  read_available (&reader);
  return reader;
}

static void
reader_finish (Reader *reader)
{
  close (reader->fd);
  g_string_free (reader->text, TRUE);
}

typedef enum
{
  END_ANSWERED,
  END_CALLER_CLOSES,
  END_ABORTED,
  END_STREAM_ABORTED,
  END_STREAM_COMPLETE,
} CallEnding;

static const struct
{
  const char *name;
  CallEnding ending;
  int64_t n_cut;
  int64_t n_unanswered;
} ending_cases[] = {
  { "answered", END_ANSWERED, 0, 0 },
  { "the caller closes", END_CALLER_CLOSES, 1, 0 },
  { "aborted", END_ABORTED, 1, 1 },
  { "aborted in a stream", END_STREAM_ABORTED, 1, 0 },
  { "a complete stream", END_STREAM_COMPLETE, 0, 0 },
};

static void
end_call (DyHttpCall *call, CallEnding ending)
{
  bool stream = ending == END_STREAM_ABORTED || ending == END_STREAM_COMPLETE;
  if (stream)
    {
      dy_http_call_start_stream (call, 200, "text/plain");
      dy_http_call_write (call, "ok", 2);
    }
  if (ending == END_ANSWERED)
    reply (call);
  else if (ending == END_STREAM_COMPLETE)
    dy_http_call_end (call);
  else if (ending != END_CALLER_CLOSES)
    dy_http_call_abort (call);
}

START_TEST (each_cut_call_is_counted_and_no_other)
{
  Host host;
  host_init (&host);
  int fd = open_socket (&host);
  send_text (fd, GET ("/held"));
  run_until (&host, host.n_held == 1);
  if (ending_cases[_i].ending == END_CALLER_CLOSES)
    close (fd);
  else
    end_call (host.held[0], ending_cases[_i].ending);
  run_until (&host, host.n_closed == 1);
  if (ending_cases[_i].ending != END_CALLER_CLOSES)
    close (fd);
  run_for (&host, 0.02);
  ck_assert_msg (host.counters.values[DY_COUNTER_CALLS_CUT] == ending_cases[_i].n_cut, "%s",
                 ending_cases[_i].name);
  ck_assert_msg (host.counters.values[DY_COUNTER_CALLS_UNANSWERED] == ending_cases[_i].n_unanswered,
                 "%s", ending_cases[_i].name);
  host_finish (&host);
}
END_TEST

#define POST(fields, body) "POST /now HTTP/1.1\r\n" fields HEAD body

static const struct
{
  const char *name;
  const char *first;  /* bytes sent at once */
  const char *second; /* bytes sent after 50 ms; NULL: none */
  uint32_t n_answers;
} form_cases[] = {
  { "GET", GET ("/now"), NULL, 1 },
  { "HEAD", "HEAD /now HTTP/1.1\r\n" HEAD, NULL, 1 },
  { "HEAD, then GET", "HEAD /now HTTP/1.1\r\n" HEAD GET ("/now"), NULL, 2 },
  { "length 0", POST ("Content-Length: 0\r\n", ""), NULL, 1 },
  { "body in two parts", POST ("Content-Length: 4\r\n", "ab"), "cd", 1 },
  { "chunks", POST ("Transfer-Encoding: chunked\r\n", "2\r\nab\r\n"), "0\r\n\r\n", 1 },
  { "chunks with a trailer", POST ("Transfer-Encoding: chunked\r\n", "2\r\nab\r\n0\r\n"),
    "X-T: 1\r\n\r\n", 1 },
  { "expects 100", POST ("Expect: 100-continue\r\nContent-Length: 2\r\n", ""), "ab", 1 },
  { "expects 100 and does not wait", POST ("Expect: 100-continue\r\nContent-Length: 2\r\n", "ab"),
    NULL, 1 },
  { "expects 100, with chunks", POST ("Expect: 100-continue\r\nTransfer-Encoding: chunked\r\n", ""),
    "2\r\nab\r\n0\r\n\r\n", 1 },
  { "pipelined", GET ("/now") GET ("/now") GET ("/now"), NULL, 3 },
  { "pipelined after a body", POST ("Content-Length: 2\r\n", "ab") GET ("/now"), NULL, 2 },
  { "pipelined after chunks",
    POST ("Transfer-Encoding: chunked\r\n", "2\r\nab\r\n0\r\n\r\n") GET ("/now"), NULL, 2 },
  { "head in two parts", "GET /now HTTP/1.1\r\nHo", "st: a\r\n\r\n", 1 },
  { "HTTP/1.0", "GET /now HTTP/1.0\r\n" HEAD, NULL, 1 },
};

/* The next request on the connection shows that no further answer came before. */
START_TEST (each_request_gets_one_answer_whatever_its_form)
{
  Host host;
  host_init (&host);
  int fd = open_socket (&host);
  send_text (fd, form_cases[_i].first);
  run_for (&host, 0.05);
  if (form_cases[_i].second)
    send_text (fd, form_cases[_i].second);
  Reader reader = read_answers (&host, fd, form_cases[_i].n_answers);
  ck_assert_msg (n_answers (&reader) == form_cases[_i].n_answers, "%s: %s", form_cases[_i].name,
                 reader.text->str);
  reader_finish (&reader);
  host_finish (&host);
}
END_TEST

/* A head of N bytes, with which a request to /held begins. */
static char *
head_of (const char *line, size_t n)
{
  enum
  {
    FIELD_BYTES = 1000
  };
  GString *head = g_string_new (line);
  for (size_t i = 0; head->len + FIELD_BYTES < n; i++)
    {
      g_string_append_printf (head, "X-%zu: ", i);
      size_t rest = FIELD_BYTES - 8;
      for (size_t j = 0; j < rest; j++)
        g_string_append_c (head, 'v');
      g_string_append (head, "\r\n");
    }
  g_string_append (head, HEAD);
  return g_string_free (head, FALSE);
}

static const size_t head_kib[] = { 1, 8, 16, 20, 24, 28, 32, 36, 40, 44, 47 };

static const struct
{
  size_t answer_kib; /* of the answer's head */
  size_t next_kib;   /* of the head of the request that is sent behind the first; 0: none */
} room_cases[] = {
  { 0, 0 }, { 2, 0 }, { 8, 0 },  { 0, 1 },  { 0, 16 }, { 0, 32 },
  { 8, 1 }, { 8, 8 }, { 8, 32 }, { 24, 0 }, { 60, 0 },
};

static void
add_answer_head (DyHttpCall *call, size_t kib)
{
  char value[1001];
  memset (value, 'a', sizeof value - 1);
  value[sizeof value - 1] = '\0';
  for (size_t i = 0; i < kib; i++)
    {
      char name[16];
      g_snprintf (name, sizeof name, "X-A-%zu", i);
      dy_http_call_add_header (call, name, value);
    }
}

/* A head that the server does not accept is answered with a status of its own. */
START_TEST (a_large_head_leaves_room_for_the_answer)
{
  for (size_t i = 0; i < G_N_ELEMENTS (head_kib); i++)
    {
      Host host;
      host_init (&host);
      char *first = head_of ("GET /held HTTP/1.1\r\n", head_kib[i] * 1024);
      char *next = room_cases[_i].next_kib
                       ? head_of ("GET /now HTTP/1.1\r\n", room_cases[_i].next_kib * 1024)
                       : g_strdup ("");
      int fd = open_socket (&host);
      send_text (fd, first);
      run_for (&host, 0.02);
      send_text (fd, next);
      run_for (&host, 0.02);
      if (host.n_held > 0)
        {
          add_answer_head (host.held[0], room_cases[_i].answer_kib);
          reply (host.held[0]);
        }
      bool taken = head_kib[i] <= 32;
      ck_assert_uint_eq (host.n_held, taken ? 1 : 0);
      uint32_t n = taken && next[0] ? 2 : 1;
      Reader reader = read_answers (&host, fd, n);
      ck_assert_msg (n_answers (&reader) == n,
                     "head of %zu KiB, answer's head of %zu KiB, next of %zu KiB: %u answers, "
                     "handled %u",
                     head_kib[i], room_cases[_i].answer_kib, room_cases[_i].next_kib,
                     n_answers (&reader), host.n_held);
      reader_finish (&reader);
      host_finish (&host);
      g_free (first);
      g_free (next);
    }
}
END_TEST

typedef enum
{
  WAIT_HELD,        /* the handler answers late */
  WAIT_STREAM,      /* a stream pauses */
  WAIT_SLOW_READER, /* the caller does not read for a while */
  WAIT_FROZEN,      /* the loop stands still, and the request arrives meanwhile */
  WAIT_RAISED,      /* the connection is idle, and the limit is raised meanwhile */
} Wait;

static const struct
{
  const char *name;
  Wait wait;
} idle_cases[] = {
  { "a late answer", WAIT_HELD },        { "a pause in a stream", WAIT_STREAM },
  { "a slow reader", WAIT_SLOW_READER }, { "a frozen process", WAIT_FROZEN },
  { "a raised limit", WAIT_RAISED },
};

static void
wait_in_call (Host *host, int fd, Wait wait, double pause_s)
{
  enum
  {
    LARGE_BYTES = 8 * 1024 * 1024 /* more than the kernel buffers */
  };
  char *large;
  if (wait == WAIT_FROZEN || wait == WAIT_RAISED)
    {
      if (wait == WAIT_FROZEN)
        g_usleep ((gulong) (pause_s * 1e6));
      else
        run_for (host, pause_s);
      send_text (fd, GET ("/now"));
      return;
    }
  send_text (fd, GET ("/held"));
  run_until (host, host->n_held == 1);
  if (wait == WAIT_STREAM)
    {
      dy_http_call_start_stream (host->held[0], 200, "text/plain");
      dy_http_call_write (host->held[0], "a", 1);
    }
  large = g_strnfill (LARGE_BYTES, 'a');
  if (wait == WAIT_SLOW_READER)
    dy_http_call_reply (host->held[0], 200, "text/plain", large, LARGE_BYTES);
  g_free (large);
  run_for (host, pause_s);
  if (wait == WAIT_HELD)
    reply (host->held[0]);
  if (wait == WAIT_STREAM && host->held[0])
    dy_http_call_end (host->held[0]);
}

START_TEST (the_idle_timeout_ends_no_connection_with_a_request)
{
  static const double PAUSE_S = 2.6;
  Host host;
  host_init (&host);
  host.server.idle_timeout_s = 1;
  int fd = open_socket (&host);
  send_text (fd, GET ("/now"));
  Reader reader = read_answers (&host, fd, 1);
  if (idle_cases[_i].wait == WAIT_RAISED)
    dy_http_server_set_idle_timeout (&host.server, 20);
  wait_in_call (&host, fd, idle_cases[_i].wait, PAUSE_S);
  g_string_truncate (reader.text, 0);
  int64_t end_us = g_get_monotonic_time () + (int64_t) (WAIT_S * 1e6);
  while ((n_answers (&reader) == 0 || dy_http_server_n_calls (&host.server) > 0) && !reader.closed
         && g_get_monotonic_time () < end_us)
    {
      run_for (&host, 0.001);
      read_available (&reader);
    }
  ck_assert_msg (n_answers (&reader) == 1, "%s: no answer", idle_cases[_i].name);
  ck_assert_msg (host.counters.values[DY_COUNTER_CALLS_CUT] == 0, "%s: cut", idle_cases[_i].name);
  reader_finish (&reader);
  host_finish (&host);
}
END_TEST

static const struct
{
  const char *name;
  const char *sent;
  int64_t n_cut; /* calls */
} expiry_cases[] = {
  { "nothing was sent", "", 0 },
  { "after an answer", GET ("/now"), 0 },
  { "a part of the request line", "GET /no", 0 },
  { "a part of the head", "GET /now HTTP/1.1\r\nHo", 1 },
  { "a part of the body", "POST /now HTTP/1.1\r\nContent-Length: 9\r\n" HEAD "ab", 1 },
};

/* Opens N connections and sends a request on each. */
static void
open_many (const Host *host, int *fds, uint32_t n)
{
  for (uint32_t i = 0; i < n; i++)
    {
      fds[i] = open_socket (host);
      if (i % 64 == 0)
        run_for (host, 0.001);
    }
  for (uint32_t i = 0; i < n; i++)
    send_text (fds[i], GET ("/now"));
}

START_TEST (each_of_2500_connections_is_answered)
{
  enum
  {
    N_CONNECTIONS = 2500
  };
  Host host;
  int fds[N_CONNECTIONS];
  uint32_t n_answered = 0;
  raise_descriptor_limit ();
  host_init (&host);
  open_many (&host, fds, N_CONNECTIONS);
  for (uint32_t i = 0; i < N_CONNECTIONS; i++)
    {
      char block[256];
      run_for (&host, 0.001);
      ssize_t n = recv (fds[i], block, sizeof block - 1, 0);
      block[MAX (n, 0)] = '\0';
      n_answered += g_str_has_prefix (block, "HTTP/1.1 200") ? 1 : 0;
    }
  ck_assert_uint_eq (n_answered, N_CONNECTIONS);
  for (uint32_t i = 0; i < N_CONNECTIONS; i++)
    close (fds[i]);
  host_finish (&host);
}
END_TEST

/* As libmicrohttpd did not accept them, they waited in silence. */
START_TEST (connections_beyond_the_limit_are_refused_and_closed)
{
  enum
  {
    N_DESCRIPTORS = 200,
    N_SERVED = N_DESCRIPTORS * 3 / 4,
    N_CONNECTIONS = N_SERVED + 150, /* more than may wait for their refusal at a time */
  };
  Host host;
  int fds[N_CONNECTIONS];
  struct rlimit limit;
  ck_assert_int_eq (getrlimit (RLIMIT_NOFILE, &limit), 0);
  struct rlimit low = { .rlim_cur = N_DESCRIPTORS, .rlim_max = limit.rlim_max };
  ck_assert_int_eq (setrlimit (RLIMIT_NOFILE, &low), 0);
  host_init (&host);
  raise_descriptor_limit ();
  open_many (&host, fds, N_CONNECTIONS);
  for (uint32_t i = 0; i < N_CONNECTIONS; i++)
    {
      Reader reader = read_answers (&host, fds[i], 1);
      bool served = g_str_has_prefix (reader.text->str, "HTTP/1.1 200");
      bool refused = g_str_has_prefix (reader.text->str, "HTTP/1.1 503")
                     && strstr (reader.text->str, "Connection: close")
                     && strstr (reader.text->str, "Retry-After: ") && reader.closed;
      ck_assert_msg (i < N_SERVED ? served : refused, "connection %u: %s", i, reader.text->str);
      g_string_free (reader.text, TRUE);
    }
  for (uint32_t i = 0; i < N_CONNECTIONS; i++)
    close (fds[i]);
  host_finish (&host);
}
END_TEST

/* The process ends at the end of its grace time, whatever is left. */
START_TEST (requests_that_wait_when_the_server_stops_are_refused)
{
  enum
  {
    N_CONNECTIONS = 12
  };
  Host host;
  int fds[N_CONNECTIONS];
  host_init (&host);
  for (int i = 0; i < N_CONNECTIONS; i++)
    fds[i] = open_socket (&host);
  run_for (&host, 0.02);
  for (int i = 0; i < N_CONNECTIONS; i++)
    send_text (fds[i], i == N_CONNECTIONS - 1 ? GET ("/held") : GET ("/spin"));
  ev_run (host.loop, EVRUN_ONCE);
  host_finish (&host);
  for (int i = 0; i < N_CONNECTIONS; i++)
    {
      Reader reader = { .fd = fds[i], .text = g_string_new (NULL) };
      read_available (&reader);
      ck_assert_msg (n_answers (&reader) == 1, "request %d: %s", i, reader.text->str);
      reader_finish (&reader);
    }
}
END_TEST

static void
refuse_stopped (void *ctx, DyHttpCall *call)
{
  (void) ctx;
  refuse_overloaded (NULL, call);
}

static const DyHttpCallWatcher stopped_watcher = { .closed = on_closed, .stopped = refuse_stopped };

START_TEST (a_call_in_progress_can_be_answered_when_the_server_stops)
{
  Host host;
  host_init (&host);
  Reader reader = { .fd = open_socket (&host), .text = g_string_new (NULL) };
  send_text (reader.fd, GET ("/held"));
  run_until (&host, host.n_held == 1);
  dy_http_call_watch (host.held[0], &stopped_watcher, &host);
  host_finish (&host);
  read_available (&reader);
  ck_assert_msg (g_str_has_prefix (reader.text->str, "HTTP/1.1 503"), "%s", reader.text->str);
  ck_assert_int_eq (host.counters.values[DY_COUNTER_CALLS_CUT], 0);
  reader_finish (&reader);
}
END_TEST

static const struct
{
  const char *name;
  const char *behind; /* bytes that follow the request */
  bool half;          /* the caller closes only its sending side, and reads on */
  bool streaming;
} leaving_cases[] = {
  { "closes", "", false, false },
  { "closes in a stream", "", false, true },
  { "closes behind another request", GET ("/now"), false, false },
  { "closes behind another request in a stream", GET ("/now"), false, true },
  { "closes its sending side", "", true, false },
  { "closes its sending side behind another request", GET ("/now"), true, false },
};

/* The work for a caller that has left ends in time, and one that still reads is not left without an
 * answer. */
START_TEST (a_caller_that_leaves_is_noticed)
{
  static const double MAX_NOTICE_S = 0.4;
  Host host;
  host_init (&host);
  Reader reader = { .fd = open_socket (&host), .text = g_string_new (NULL) };
  send_text (reader.fd, GET ("/held"));
  run_until (&host, host.n_held == 1);
  if (leaving_cases[_i].streaming)
    {
      dy_http_call_start_stream (host.held[0], 200, "text/plain");
      dy_http_call_write (host.held[0], "a", 1);
    }
  run_for (&host, 0.02);
  send_text (reader.fd, leaving_cases[_i].behind);
  run_for (&host, 0.02);
  ck_assert (!dy_http_call_is_disconnected (host.held[0]));
  shutdown (reader.fd, leaving_cases[_i].half ? SHUT_WR : SHUT_RDWR);
  ck_assert_msg (dy_http_call_is_disconnected (host.held[0]), "%s", leaving_cases[_i].name);
  run_for (&host, MAX_NOTICE_S);
  ck_assert_msg (host.n_closed == 1, "%s", leaving_cases[_i].name);
  ck_assert_int_eq (host.counters.values[DY_COUNTER_CALLS_CUT], 1);
  read_available (&reader);
  if (leaving_cases[_i].half)
    ck_assert_msg (g_str_has_prefix (reader.text->str, "HTTP/1.1 502 "), "%s: '%s'",
                   leaving_cases[_i].name, reader.text->str);
  reader_finish (&reader);
  host_finish (&host);
}
END_TEST

/* A router must not leave before a connection that it has just accepted has had a request. */
START_TEST (a_connection_accepted_as_the_server_closes_is_waited_for)
{
  Host host;
  host_init (&host);
  int fd = open_socket (&host);
  dy_http_server_close (&host.server);
  ck_assert (!dy_http_server_is_quiet (&host.server));
  run_for (&host, 0.05);
  ck_assert (!dy_http_server_is_quiet (&host.server));
  send_text (fd, GET ("/now"));
  Reader reader = read_answers (&host, fd, 1);
  ck_assert_msg (g_str_has_prefix (reader.text->str, "HTTP/1.1 503 "), "'%s'", reader.text->str);
  ck_assert (dy_http_server_is_quiet (&host.server));
  reader_finish (&reader);
  host_finish (&host);
}
END_TEST

START_TEST (a_connection_without_a_whole_request_ends_at_the_idle_timeout)
{
  static const double MARGIN_S = 0.6;
  Host host;
  host_init (&host);
  host.server.idle_timeout_s = 1;
  Reader reader = { .fd = open_socket (&host), .text = g_string_new (NULL) };
  send_text (reader.fd, expiry_cases[_i].sent);
  run_for (&host, 0.8);
  read_available (&reader);
  ck_assert_msg (!reader.closed, "%s: closed too early", expiry_cases[_i].name);
  run_for (&host, 0.2 + MARGIN_S);
  read_available (&reader);
  ck_assert_msg (reader.closed, "%s: not closed", expiry_cases[_i].name);
  ck_assert_int_eq (host.counters.values[DY_COUNTER_CALLS_CUT], expiry_cases[_i].n_cut);
  reader_finish (&reader);
  host_finish (&host);
}
END_TEST

static const struct
{
  const char *name;
  const char *text;
  bool waits; /* for its turn, as others take the server's time */
} crossing_cases[] = {
  { "answered at once", GET ("/now"), false },
  { "answered late", GET ("/held"), false },
  { "answered at once after a wait", GET ("/now"), true },
  { "answered late after a wait", GET ("/held"), true },
  { "with a body after a wait", "POST /held HTTP/1.1\r\nContent-Length: 2\r\n" HEAD "ab", true },
};

/* A request that came between the shutdown of its idle connection and the next read was taken, and
 * the connection closed without an answer. */
START_TEST (a_request_that_crosses_the_idle_timeout_is_answered)
{
  enum
  {
    N_SPINS = 2,
  };
  Host host;
  int spins[N_SPINS];
  host_init (&host);
  host.server.idle_timeout_s = 1;
  int fd = open_socket (&host);
  send_text (fd, GET ("/now"));
  Reader reader = read_answers (&host, fd, 1);
  g_string_truncate (reader.text, 0);
  for (int i = 0; i < N_SPINS; i++)
    {
      spins[i] = open_socket (&host);
      if (crossing_cases[_i].waits)
        send_text (spins[i], GET ("/spin"));
    }
  g_usleep (SPIN_US);
  dy_http_connections_sweep (&host.server.connections, 1,
                             g_get_monotonic_time () + 2 * G_USEC_PER_SEC);
  send_text (fd, crossing_cases[_i].text);
  int64_t end_us = g_get_monotonic_time () + (int64_t) (WAIT_S * 1e6);
  while (n_answers (&reader) == 0 && !reader.closed && g_get_monotonic_time () < end_us)
    {
      run_for (&host, 0.001);
      if (host.n_held > 0 && host.held[0])
        reply (host.held[0]);
      read_available (&reader);
    }
  ck_assert_msg (n_answers (&reader) == 1, "%s: no answer", crossing_cases[_i].name);
  ck_assert_msg (host.counters.values[DY_COUNTER_CALLS_CUT] == 0, "%s: cut",
                 crossing_cases[_i].name);
  bool refused = strstr (reader.text->str, " 503 ") != NULL;
  ck_assert_msg (!refused || host.n_held == 0, "%s: refused and run", crossing_cases[_i].name);
  for (int i = 0; i < N_SPINS; i++)
    close (spins[i]);
  reader_finish (&reader);
  host_finish (&host);
}
END_TEST

int
main (void)
{
  TCase *tcase = tcase_create ("callers");
  signal (SIGPIPE, SIG_IGN);
  tcase_set_timeout (tcase, 60);
  tcase_add_loop_test (tcase, each_cut_call_is_counted_and_no_other, 0,
                       (int) G_N_ELEMENTS (ending_cases));
  tcase_add_loop_test (tcase, each_request_gets_one_answer_whatever_its_form, 0,
                       (int) G_N_ELEMENTS (form_cases));
  tcase_add_loop_test (tcase, the_idle_timeout_ends_no_connection_with_a_request, 0,
                       (int) G_N_ELEMENTS (idle_cases));
  tcase_add_loop_test (tcase, a_connection_without_a_whole_request_ends_at_the_idle_timeout, 0,
                       (int) G_N_ELEMENTS (expiry_cases));
  tcase_add_loop_test (tcase, a_request_that_crosses_the_idle_timeout_is_answered, 0,
                       (int) G_N_ELEMENTS (crossing_cases));
  tcase_add_test (tcase, each_of_2500_connections_is_answered);
  tcase_add_test (tcase, connections_beyond_the_limit_are_refused_and_closed);
  tcase_add_test (tcase, requests_that_wait_when_the_server_stops_are_refused);
  tcase_add_test (tcase, a_call_in_progress_can_be_answered_when_the_server_stops);
  tcase_add_test (tcase, a_connection_accepted_as_the_server_closes_is_waited_for);
  tcase_add_loop_test (tcase, a_caller_that_leaves_is_noticed, 0,
                       (int) G_N_ELEMENTS (leaving_cases));
  tcase_add_loop_test (tcase, a_large_head_leaves_room_for_the_answer, 0,
                       (int) G_N_ELEMENTS (room_cases));
  return suite_run ("callers", tcase);
}
