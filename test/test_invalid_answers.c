/* Answers of endpoints that end before they are complete, or that have no valid status. */

#include "support/gateway_fixture.h"
#include "support/listen.h"
#include "support/suite.h"

#include <signal.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

enum
{
  /* More than the socket buffers take, so that the upload is in progress when the answer comes. */
  UPLOAD_BYTES = 6 * 1024 * 1024,
  RECEIVE_BUFFER_BYTES = 2048,
  MAX_BODY_BYTES = 8 * 1024 * 1024,
  CALL_TIMEOUT_MS = 10000,
};

#define SEALED "X-Request-Id: q1\r\nX-Server-Seal: 5ea1.0.0\r\n"

typedef enum
{
  END_WITH_RESET,  /* the connection is reset */
  END_THEN_RESET,  /* its end is sent first, then it is reset */
  END_WITH_UNREAD, /* it is closed though part of the request is unread, which resets it */
  END_WHEN_READ,   /* it is closed after the whole request was read */
} End;

typedef struct
{
  const char *name;
  const char *target;
  size_t n_body;
  const char *answer;
  int pause_ms; /* between the answer and the end of the connection */
  End end;
  bool whole; /* the caller gets it as a success */
} Case;

static const Case cases[] = {
  { "reset at once, one attempt", "/x", UPLOAD_BYTES, "HTTP/1.1 200 OK\r\n" SEALED "\r\npart", 0,
    END_WITH_RESET, false },
  { "reset soon, one attempt", "/x", UPLOAD_BYTES, "HTTP/1.1 200 OK\r\n" SEALED "\r\npart", 50,
    END_WITH_RESET, false },
  { "end and reset, one attempt", "/x", UPLOAD_BYTES, "HTTP/1.1 200 OK\r\n" SEALED "\r\npart", 50,
    END_THEN_RESET, false },
  { "end and late reset, one attempt", "/x", UPLOAD_BYTES, "HTTP/1.1 200 OK\r\n" SEALED "\r\npart",
    0, END_THEN_RESET, false },
  { "closed with unread bytes, one attempt", "/x", UPLOAD_BYTES,
    "HTTP/1.1 200 OK\r\n" SEALED "\r\npart", 50, END_WITH_UNREAD, false },
  { "closed at once with unread bytes, two attempts", "/ok/x", UPLOAD_BYTES,
    "HTTP/1.1 200 OK\r\n" SEALED "\r\npart", 0, END_WITH_UNREAD, false },
  { "stream, closed with unread bytes", "/s/x", UPLOAD_BYTES,
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" SEALED "\r\nid: 1\ndata: a\n\n", 50,
    END_WITH_UNREAD, false },
  { "stream, end and reset", "/s/x", UPLOAD_BYTES,
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" SEALED "\r\nid: 1\ndata: a\n\n", 20,
    END_THEN_RESET, false },
  { "whole answer without a length", "/x", 10, "HTTP/1.1 200 OK\r\n" SEALED "\r\nwhole", 20,
    END_WHEN_READ, true },
  { "status 000 with a length", "/x", 10,
    "HTTP/1.1 000 Trouble\r\n" SEALED "Content-Length: 4\r\n\r\nbody", 50, END_WHEN_READ, false },
  { "status 000 without a length", "/x", 10, "HTTP/1.1 000 Trouble\r\n" SEALED "\r\nbody", 20,
    END_WHEN_READ, false },
  { "status 000, two attempts", "/ok/x", 10,
    "HTTP/1.1 000 Trouble\r\n" SEALED "Content-Length: 4\r\n\r\nbody", 50, END_WHEN_READ, false },
  { "status 000 of a stream", "/s/x", 10,
    "HTTP/1.1 000 Trouble\r\nContent-Type: text/event-stream\r\n" SEALED "\r\nid: 1\ndata: a\n\n",
    20, END_WHEN_READ, false },
  { "status 099", "/x", 10, "HTTP/1.1 099 Trouble\r\n" SEALED "Content-Length: 4\r\n\r\nbody", 50,
    END_WHEN_READ, false },
  { "status 700", "/x", 10, "HTTP/1.1 700 Trouble\r\n" SEALED "Content-Length: 4\r\n\r\nbody", 50,
    END_WHEN_READ, false },
  { "status 20", "/x", 10, "HTTP/1.1 20 OK\r\n" SEALED "Content-Length: 4\r\n\r\nbody", 50,
    END_WHEN_READ, false },
};

static void
end_connection (int fd, End end)
{
  const struct linger reset = { .l_onoff = 1, .l_linger = 0 };
  if (end == END_THEN_RESET)
    {
      shutdown (fd, SHUT_WR);
      usleep (30 * 1000);
    }
  if (end == END_WITH_RESET || end == END_THEN_RESET)
    setsockopt (fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
  close (fd);
}

/* Answers each connection as CASE says, until the process is killed. */
static void
serve (int listen_fd, const Case *c)
{
  for (;;)
    {
      char block[1024];
      int fd = accept (listen_fd, NULL, NULL);
      if (fd < 0 || recv (fd, block, sizeof block, 0) <= 0)
        continue;
      if (c->end == END_WHEN_READ)
        usleep (20 * 1000);
      send (fd, c->answer, strlen (c->answer), MSG_NOSIGNAL);
      usleep ((useconds_t) c->pause_ms * 1000);
      if (c->end == END_WHEN_READ)
        recv (fd, block, sizeof block, MSG_DONTWAIT);
      end_connection (fd, c->end);
    }
}

static pid_t
start_endpoint (const char *address, const Case *c)
{
  int bytes = RECEIVE_BUFFER_BYTES;
  int listen_fd = listen_on (address);
  ck_assert_int_ge (listen_fd, 0);
  setsockopt (listen_fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
  pid_t pid = fork ();
  ck_assert_int_ge (pid, 0);
  if (pid == 0)
    serve (listen_fd, c);
  close (listen_fd);
  return pid;
}

typedef struct
{
  DyHttpResult result;
  bool done;
} Outcome;

static void
on_done (void *ctx, const DyHttpResult *result)
{
  Outcome *outcome = ctx;
  outcome->result = *result;
  outcome->done = true;
}

static DyHttpResult
call (Fixture *fixture, const Case *c)
{
  static const char *const headers[]
      = { "Host: h.example", "X-Request-Id: q1", "X-Deadline-Ms: 4000", NULL };
  static const DyHttpTransferWatcher watcher = { .done = on_done };
  DyHttpClient client;
  Outcome outcome = { 0 };
  char *url = g_strdup_printf ("http://%s%s", fixture->address, c->target);
  char *body = g_malloc0 (c->n_body);
  DyHttpSpec spec = { .method = "POST",
                      .url = url,
                      .headers = headers,
                      .body = body,
                      .n_body = c->n_body,
                      .connect_timeout_ms = CALL_TIMEOUT_MS,
                      .timeout_ms = CALL_TIMEOUT_MS };
  dy_http_client_init (&client, fixture->kernel.loop);
  dy_http_client_start (&client, &spec, &watcher, &outcome);
  while (!outcome.done)
    ev_run (fixture->kernel.loop, EVRUN_ONCE);
  dy_http_client_finish (&client);
  g_free (body);
  g_free (url);
  return outcome.result;
}

/* A part of an answer, or one without a valid status, reached the caller as a whole answer. */
START_TEST (invalid_answer_is_not_passed_on_as_a_whole_one)
{
  const Case *c = &cases[_i];
  Fixture fixture;
  fixture_init (&fixture);
  fixture.gateway.server.max_body_bytes = MAX_BODY_BYTES;
  dy_http_server_finish (&fixture.endpoints[0].server);
  pid_t pid = start_endpoint (fixture.endpoints[0].address, c);
  fixture_put_endpoint (&fixture, 0, false);
  DyHttpResult result = call (&fixture, c);
  kill (pid, SIGKILL);
  waitpid (pid, NULL, 0);
  bool succeeded = result.error == 0 && result.status < 400;
  ck_assert_msg (succeeded == c->whole, "%s: error %d, status %u", c->name, result.error,
                 result.status);
  fixture_finish (&fixture);
}
END_TEST

int
main (void)
{
  TCase *tcase = tcase_create ("invalid_answers");
  signal (SIGPIPE, SIG_IGN);
  tcase_set_timeout (tcase, 30);
  tcase_add_loop_test (tcase, invalid_answer_is_not_passed_on_as_a_whole_one, 0,
                       (int) G_N_ELEMENTS (cases));
  return suite_run ("invalid_answers", tcase);
}
