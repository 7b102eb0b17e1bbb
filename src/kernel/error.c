#include "kernel/error.h"

#include <stddef.h>
#include <string.h>

static const DyErrorInfo error_table[] = {
#define DY_ERROR_ROW(symbol, number, kind, status, exit_code, run, retry, text)                    \
  { number, kind, status, exit_code, DY_RUN_##run, retry, text },
  DY_ERROR_LIST (DY_ERROR_ROW)
#undef DY_ERROR_ROW
};

enum
{
  N_ERRORS = sizeof error_table / sizeof error_table[0]
};

const DyErrorInfo *
dy_error_info (int error)
{
  int i = -error;
  if (i < 0 || i >= N_ERRORS)
    i = -DY_INTERNAL;
  return &error_table[i];
}

const DyErrorInfo *
dy_error_info_by_kind (const char *name)
{
  for (int i = 0; i < N_ERRORS; i++)
    if (strcmp (error_table[i].kind, name) == 0)
      return &error_table[i];
  return NULL;
}

const char *
dy_run_status_name (DyRunStatus run)
{
  static const char *const names[] = { "not_run", "ran", "unknown" };
  return names[run];
}
