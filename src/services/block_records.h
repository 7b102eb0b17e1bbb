#ifndef DY_SERVICES_BLOCK_RECORDS_H
#define DY_SERVICES_BLOCK_RECORDS_H

/**
 * NAME
 *   block_records - the objects of the store that keep blocks over restarts
 *
 * DESCRIPTION
 *   What is blocked because it crashed endpoints has an object PREFIX + id (hex) each:
 *     {"crashes": n, "trials": n}
 *   All are read at the start. An object is written by one router, the home of its key, chosen as
 *   for client accounts. A trial is made once it is recorded here: of routers that do not hear each
 *   other and all take themselves for the home, only one can record it.
 *
 * ERRORS
 *   Calls to the store that fail are repeated.
 */

#include "services/peers/peers.h"
#include "services/platform.h"

typedef struct
{
  /* The store has an object of ID, with these numbers. */
  void (*read) (void *ctx, uint64_t id, uint32_t n_crashes, uint32_t n_trials);
  /* This router has recorded trial number N_TRIALS of ID, which it had asked for. */
  void (*trial) (void *ctx, uint64_t id, uint32_t n_trials);
} DyBlockRecordsWatcher;

typedef struct DyBlockRecords
{
  DyKernel *kernel;
  DyPlatform *platform;
  DyPeers *peers;
  const char *prefix;
  const DyBlockRecordsWatcher *watcher;
  void *ctx;
  struct DyBlockRecords *listed_with; /* others, whose objects have the same kind; may be NULL */
  GHashTable *records;                /* id to the state of its object */
  bool loaded;                        /* the store's objects were read */
  ev_timer timer;                     /* writes; before that, the next try to read the objects */
} DyBlockRecords;

/* PREFIX and WATCHER must outlive RECORDS. LISTER, if not NULL, has a prefix that PREFIX begins
 * with: the objects of both are read by its call. */
void dy_block_records_start (DyBlockRecords *records,
                             DyKernel *kernel,
                             const char *prefix,
                             DyBlockRecords *lister,
                             const DyBlockRecordsWatcher *watcher,
                             void *ctx);
void dy_block_records_stop (DyBlockRecords *records);

/* The store is to have an object of ID with these numbers, after DELAY_US; IN_STORE: it has it. */
void dy_block_records_put (DyBlockRecords *records,
                           uint64_t id,
                           uint32_t n_crashes,
                           uint32_t n_trials,
                           bool in_store,
                           int64_t delay_us);

/* The store is to have no object of ID. */
void dy_block_records_remove (DyBlockRecords *records, uint64_t id);

/* Asks for the next trial of ID, if this router is the home of its key and has not asked yet. */
void dy_block_records_ask_trial (DyBlockRecords *records, uint64_t id);

/* The key of the object of ID, to be freed with g_free(), and back. */
char *dy_block_records_key (const DyBlockRecords *records, uint64_t id);
bool dy_block_records_parse_key (const DyBlockRecords *records, const char *key, uint64_t *id);

/* The value of an object, to be freed with free(), and back. */
char *dy_block_records_encode (uint32_t n_crashes, uint32_t n_trials);
void dy_block_records_decode (const char *text, uint32_t *n_crashes, uint32_t *n_trials);

#endif
