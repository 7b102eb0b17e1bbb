#ifndef DY_SERVICES_FOLDER_H
#define DY_SERVICES_FOLDER_H

/**
 * NAME
 *   folder - declarations read from a folder under version control
 *
 * DESCRIPTION
 *   Reads all files that end in ".ini" below a folder, each holding one declaration, and checks
 *   them one by one and together.
 */

#include "core/declarations.h"

#include <glib.h>

typedef struct
{
  char *path;
  char *key;
  char *text;
} DyDeclarationFile;

typedef struct
{
  GPtrArray *files; /* of DyDeclarationFile, by path */
  DyDeclarations declarations;
} DyFolder;

/* Returns DY_OK, or DY_SETTINGS with a text that names file, section and key, to be freed with
 * g_free(). Only after DY_OK is there something to finish. */
int dy_folder_init (DyFolder *folder, const char *path, char **error_text);
void dy_folder_finish (DyFolder *folder);

#endif
