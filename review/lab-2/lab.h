#ifndef REVIEW_LAB_2_H
#define REVIEW_LAB_2_H

/**
 * NAME
 *   lab - routers of the deploy file on loopback, with stand-ins of store, workers and clients
 *
 * DESCRIPTION
 *   Routers run as processes of their own, by the command of the deploy file, with settings made of
 *   its template. The store is the project's fake. Routers
 *   reach it and each other through proxies. Workers and clients are threads
 *   of the case's program. Bounds and services are those of the site qsh-dogwood.
 *
 *   What is sent, answered and run goes to record.txt in the folder of the case, each line with the
 *   seconds since lab_begin(). A case ends with lab_end(), which ends all processes, as does the
 *   end of the program by a signal.
 */

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum
{
  LAB_N_ROUTERS = 3,
  LAB_MAX_WORKERS = 12,
  LAB_CONTACT_MS = 3000,
  LAB_DRAIN_MS = 2000,
  LAB_RECOVER_MS = 12000,
};

/* Exit codes of a case. */
enum
{
  LAB_HELD = 0,
  LAB_BROKEN = 1,
  LAB_NOT_RUN = 2,
};

typedef struct LabWorker LabWorker;

typedef struct
{
  char method[16];
  char target[256];
  char id[64]; /* X-Request-Id; empty: none */
  char prefix[256];
  char last_event[32]; /* Last-Event-Id; empty: none */
} LabWorkerRequest;

/* Answers REQUEST on the connection FD in place of the worker. Returns false if the worker is to
 * answer as usual. The connection is closed afterwards. */
typedef bool (*LabSpecial) (LabWorker *worker, int fd, const LabWorkerRequest *request);

typedef struct
{
  const char *method;
  const char *target;
  const char *id;
  const char *headers; /* further lines, each with its end; may be NULL */
  const char *body;    /* may be NULL */
  int64_t deadline_ms;
  int64_t wait_ms; /* for the whole answer */
  bool without_key;
  GString *bytes; /* gets the answer as it came; may be NULL */
} LabRequest;

typedef struct
{
  int status;    /* 0: no answer began */
  bool complete; /* the answer has arrived as a whole */
  int64_t sent_ms;
  int64_t ended_ms;
} LabAnswer;

/* Returns whether the case is to cause its disruption: TROUBLE is not 0. */
bool lab_has_trouble (void);

/* Starts the store and opens FOLDER/record.txt. Ends the program with LAB_NOT_RUN on failure. */
void lab_begin (const char *folder);

/* Ends all processes and the program: with LAB_BROKEN if BROKEN. */
void lab_end (bool broken) G_GNUC_NORETURN;

/* Ends all processes and the program with LAB_NOT_RUN. */
void lab_fail (const char *what) G_GNUC_NORETURN;

/* Milliseconds since lab_begin(), by the monotonic clock. */
int64_t lab_now_ms (void);
void lab_sleep_until (int64_t ms);

/* Writes a line to the record. */
void lab_note (const char *format, ...) G_GNUC_PRINTF (1, 2);

/* Writes the configuration: host h.example, tenant acct with the key k1; routes /note/ (streaming,
 * resumable) and /dossier/ (streaming) to horo-llm, /order/ (idempotent) and /tag/ (non-idempotent,
 * with TAG_TIMEOUT_MS) to station-desk. NOTE_IS_PUBLIC: /note/ needs no key. */
void lab_put_config (int tag_timeout_ms, bool note_is_public);

/* Writes an object of the store as its operator or a worker does, or removes it. */
void lab_put (const char *kind, const char *name, const char *spec);
void lab_delete (const char *kind, const char *name);

/* From now on, routers read each run of six DEL characters in answers of the store as TEXT, which
 * has six characters. */
void lab_read_deletes_as (const char *text);

/* Starts a worker of the software version VERSION and writes its entry. SPECIAL may be NULL. */
LabWorker *
lab_start_worker (const char *id, const char *service, const char *version, LabSpecial special);
const char *lab_worker_id (const LabWorker *worker);

/* Returns the entry of WORKER with STATE as JSON text, to be freed with g_free(). EXTRA: further
 * members, each followed by a comma. */
char *lab_worker_entry (const LabWorker *worker, const char *state, const char *extra);

/* Has WORKER crash: its connections are reset and new ones refused for DOWN_MS. */
void lab_crash_worker (LabWorker *worker, int64_t down_ms);

/* Returns the number of requests that WORKER ran and that began to arrive at AFTER_MS or later. */
uint32_t lab_runs_after (LabWorker *worker, int64_t after_ms);

/* Starts all routers, as at the first start of the system if FIRST, and waits up to WAIT_MS until
 * they are ready. Returns whether they are. */
bool lab_start_routers (bool first, int64_t wait_ms);
void lab_kill_routers (void);

/* Sends SIGTERM to a router. */
void lab_stop_router (uint32_t router);

/* Partitions a router from the store and from all other routers, or ends that: bytes are held up,
 * and lost at the end, as the connections are then closed. Clients and workers reach it. */
void lab_cut_router (uint32_t router, bool cut);

bool lab_is_ready (uint32_t router);

/* Opens a connection to a router; -1 on failure. */
int lab_connect (uint32_t router);

/* Sends REQUEST on the connection FD and waits for the answer, or to a router on one of its own. */
LabAnswer lab_send_on (int fd, const LabRequest *request);
LabAnswer lab_send (uint32_t router, const LabRequest *request);

#endif
