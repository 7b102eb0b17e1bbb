#ifndef REVIEW_LAB_3_LAB_H
#define REVIEW_LAB_3_LAB_H

/**
 * NAME
 *   lab - a small deployment on loopback addresses for the scripts of this review
 *
 * DESCRIPTION
 *   Routers are the program of the deploy file, each on an address of its own, with settings from
 *   the template of the deploy file. The store is the project's stand-in test/fakes/fake_store.c.
 *   Workers and clients are threads of this process that speak what the users' pages say.
 *
 *   All functions may be called by any thread, but for those that start or end processes.
 *
 * ERRORS
 *   If something that a case needs doesn't start, lab_give_up() ends the process with status 2.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

enum
{
  LAB_MAX_ROUTERS = 4,
  LAB_MAX_WORKERS = 12,
};

typedef struct Worker Worker;

/* Answers the request with the given HEAD (up to its empty line) on the connection FD. Returns
 * whether the connection may be used again. */
typedef bool (*WorkerAnswer) (Worker *worker, int fd, const char *head, const char *version);

struct Worker
{
  char id[32];
  char address[32];
  char service[16];
  char version[8];
  WorkerAnswer answer;
  int listener; /* -1: the worker is down */
  int64_t born_ms;
  int sequence;
  GMutex mutex;
  GArray *connections; /* of int */
};

/* A request of a client and what it got. */
typedef struct
{
  uint32_t router;
  const char *method;
  const char *target;
  char id[32];
  char *headers; /* additional ones, each with its line end; may be NULL */
  const char *body;
  int64_t timeout_ms;
  int status; /* 0: no answer began */
  GString *head;
  GString *content; /* of the answer, without its framing */
  bool complete;    /* as the framing says */
} Exchange;

/* Reads TROUBLE, opens FOLDER/record.txt, and starts the store with the route table CONFIG. */
void lab_open (const char *folder, const char *config);

/* Ends all processes, and the program: 1 if a rule was BROKEN, else 0. */
void lab_close (bool broken) G_GNUC_NORETURN;
void lab_give_up (const char *reason) G_GNUC_NORETURN;

bool lab_has_trouble (void);

/* Writes a line with the time since lab_open() to the record. */
void lab_record (const char *format, ...) G_GNUC_PRINTF (1, 2);
int64_t lab_now_ms (void);
void lab_sleep_until (int64_t ms);

/* Starts the router, or starts it again, and waits until its readiness address answers 200. */
void lab_start_router (uint32_t i);
void lab_start_router_unready (uint32_t i);
void lab_wait_ready (uint32_t i);
void lab_signal_router (uint32_t i, int signal);
void lab_wait_exit (uint32_t i);

/* Starts worker I of SERVICE, which writes its entry to the store, and again about every 1.2 s. */
Worker *
lab_start_worker (uint32_t i, const char *service, const char *version, WorkerAnswer answer);

/* Ends all connections of the worker, which stops to listen; its entry stays. */
void lab_crash_worker (Worker *worker);

/* Cuts the router off from all workers: its connections to them are reset, new ones too. */
void lab_cut_router (uint32_t i, bool cut);

/* Starts a worker that crashed again under its id: it writes its entry and then listens. */
void lab_restart_worker (Worker *worker, const char *version);

/* Returns the value of the field NAME in HEAD, to be freed, or NULL. */
char *lab_field (const char *head, const char *name);
bool lab_send (int fd, const char *data, size_t n);
bool lab_send_text (int fd, const char *format, ...) G_GNUC_PRINTF (2, 3);

/* Answers a request as a stream of N_EVENTS events, one each GAP_MS, from the one after
 * Last-Event-Id on. The data of an event is "VERSION NUMBER". */
bool lab_answer_stream (
    int fd, const char *head, const char *version, int first_ms, int n_events, int gap_ms);

void lab_exchange (Exchange *exchange);
void lab_exchange_clear (Exchange *exchange);

/* The events of a stream, in the order in which they came. */
typedef struct
{
  int n_events;
  int last;       /* number of the latest event */
  bool in_order;  /* without a gap or a repetition */
  bool mixed;     /* events of more than one version */
  char first[8];  /* version of the first event */
  char latest[8]; /* and of the latest one */
} Pieces;

void lab_pieces_add (Pieces *pieces, const char *content);

#endif
