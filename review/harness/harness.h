#ifndef REVIEW_HARNESS_H
#define REVIEW_HARNESS_H

/* A small deployment on loopback addresses for the cases of this folder: the project's router
 * processes, started as the deploy file says, the project's fake of the platform's store, and
 * workers and clients that run as threads of the case's own process. */

#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

enum
{
  MAX_ROUTERS = 8,
  MAX_WORKERS = 8,
  FRONT_PORT = 8740,
  READY_PORT = 8749,
  PEER_PORT = 7200,
  OPERATOR_PORT = 9464,
  STORE_PORT = 8742,
  WORKER_PORT = 8080,
};

/* Exit codes of a case. */
enum
{
  CASE_HELD = 0,
  CASE_BROKEN = 1,
  CASE_NOT_RUN = 2,
};

typedef struct
{
  char name[64];
  char ip[32];
  char settings[512];
  pid_t pid; /* 0: does not run */
} Router;

/* A request as a worker or a client sees it. */
typedef struct
{
  char method[16];
  char target[256];
  char headers[8192]; /* raw lines, without the first line */
  char *body;
  size_t n_body;
} Request;

typedef struct Worker Worker;

/* Answers REQUEST on FD. Returns false if the channel is to be closed. */
typedef bool (*WorkerServe) (Worker *worker, int fd, const Request *request);

struct Worker
{
  char id[32];
  char ip[32];
  char service[32];
  char version[32];
  char state[16];
  WorkerServe serve;
  int listen_fd;
  long long born_ms;
  pthread_t thread;
};

typedef enum
{
  END_COMPLETE, /* by its length, or by the last chunk */
  END_CLOSED,   /* the channel was closed before the answer was complete */
  END_OPEN,     /* the channel was open when the client left */
  END_REFUSED,  /* no channel could be opened */
} AnswerEnd;

typedef struct
{
  int status; /* 0: no answer */
  char headers[4096];
  char *body; /* decoded */
  size_t n_body;
  AnswerEnd end;
  int64_t sent_ms;  /* when the request was sent */
  int64_t head_ms;  /* since then: end of the header; -1: none */
  int64_t last_ms;  /* since then: latest bytes; -1: none */
  int64_t ended_ms; /* since then: end of the answer, of the channel, or when the client left */
} Answer;

/* What a client sends, and when it leaves. */
typedef struct
{
  const char *method;
  const char *target;
  const char *headers; /* lines, each with CR and LF */
  const char *body;
  size_t n_body;
  int64_t leave_ms; /* after the sending; the client leaves then in any case */
  int64_t gap_ms;   /* the client leaves after this time without bytes; 0: no limit */
} Call;

extern Router routers[MAX_ROUTERS];
extern int n_routers;
extern Worker workers[MAX_WORKERS];
extern int n_workers;
extern bool trouble;    /* false: TROUBLE=0 */
extern const char *key; /* of the tenant */
extern const char *host;

/* Address of the router that is cut off from all workers: its channels to them are reset. Empty:
 * none. Such a case gives the routers addresses of their own to connect from. */
extern char cut_ip[32];
extern bool routers_have_sources;

/* Milliseconds since the start of the case. */
int64_t now_ms (void);
void sleep_ms (int64_t ms);

/* Writes a line to record.txt. */
void record (const char *format, ...) __attribute__ ((format (printf, 1, 2)));

/* Ends all processes and the case with CODE. */
void finish (int code) __attribute__ ((noreturn));

/* Ends the case with CASE_NOT_RUN. */
void give_up (const char *format, ...) __attribute__ ((format (printf, 1, 2), noreturn));

/* Opens record.txt in the folder DIR, and starts the store and N router slots. */
void site_init (const char *dir, int n);

/* Adds a worker, which is listed in the store at once. */
Worker *add_worker (const char *id, const char *service, const char *version, WorkerServe serve);
void list_worker (const Worker *worker);

/* Writes the object KIND/NAME to the store, as the operator and the workers do. */
void put_object (const char *kind, const char *name, const char *spec);

/* Writes config/main: ROUTES and SERVICES are JSON lists. PREPAID below 0: none. */
void put_config (int version, const char *routes, const char *services, long long prepaid);

/* Returns the store's address. */
const char *store_address (void);

void start_router (Router *router);
void kill_router (Router *router, int signal_number);

/* Waits until the router answers its readiness question with 200. */
void wait_ready (const Router *router);

/* Sends CALL to PORT of IP and reads the answer. Free ANSWER with free_answer(). */
void send_call (const char *ip, int port, const Call *call, Answer *answer);
void free_answer (Answer *answer);

/* Returns the value of the header NAME in the lines HEADERS in OUT, or false. */
bool get_header (const char *headers, const char *name, char *out, size_t size);

/* Writes to a socket. Returns false if that failed. */
bool write_all (int fd, const char *data, size_t n);
bool write_format (int fd, const char *format, ...) __attribute__ ((format (printf, 2, 3)));

/* Starts a signed answer of a worker with STATUS; LENGTH below 0: chunked. */
bool write_head (int fd, const Request *request, int status, const char *type, long length);
bool write_chunk (int fd, const char *data, size_t n);

/* Answers with STATUS and a short text, signed. */
bool answer_text (int fd, const Request *request, int status, const char *text);

/* Closes FD with a reset, as the sockets of a process that crashed. */
void reset_socket (int fd);

/* Returns whether the other side has closed FD. */
bool is_closed (int fd);

#endif
