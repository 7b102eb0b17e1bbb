#include "core/store_version.h"

#include "kernel/error.h"

#include <stdbool.h>

enum
{
  REVISION_BITS = 40, /* a thousand changes a second for thirty years */
};

static const uint64_t REVISION_MASK = (UINT64_C (1) << REVISION_BITS) - 1;

uint64_t
dy_store_version (uint64_t era, uint64_t revision)
{
  return era << REVISION_BITS | (revision & REVISION_MASK);
}

uint64_t
dy_store_version_era (uint64_t version)
{
  return version >> REVISION_BITS;
}

uint64_t
dy_store_version_revision (uint64_t version)
{
  return version & REVISION_MASK;
}

static bool
is_outdated (uint64_t version, uint64_t era)
{
  return version != 0 && dy_store_version_era (version) != era;
}

int
dy_store_check_call (const DyStoreCall *call, uint64_t known_era)
{
  if (call->kind == DY_STORE_READ || !is_outdated (call->basis, known_era))
    return DY_OK;
  return call->kind == DY_STORE_WATCH ? DY_HISTORY_GONE : DY_CONFLICT;
}

int
dy_store_check_answer (const DyStoreCall *call, int error, uint64_t answer_era, uint64_t known_era)
{
  if (error)
    return error;
  bool earlier = answer_era != 0 && answer_era < known_era;
  if (call->kind == DY_STORE_WRITE)
    {
      bool changed = answer_era != 0 && call->sent_era != 0 && answer_era != call->sent_era;
      return earlier || changed ? DY_UNAVAILABLE : DY_OK;
    }
  bool outdated = answer_era != 0 && is_outdated (call->basis, answer_era);
  return earlier || outdated ? DY_HISTORY_GONE : DY_OK;
}
