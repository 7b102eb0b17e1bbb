#ifndef DY_SERVICES_FOLDER_H
#define DY_SERVICES_FOLDER_H

/**
 * NAME
 *   folder - reads and checks a folder of declarations
 *
 * DESCRIPTION
 *   Reads all files with names ending in ".ini" below a folder. Each holds one declaration, in the
 *   format of core/declarations.h. Checks each declaration, then all of them together. The folder
 *   is meant to be kept under version control.
 *
 * ERRORS
 *   DY_SETTINGS for a folder or file that cannot be read, an invalid declaration, and two files
 *   with the same key.
 */

#include "core/declarations.h"

#include <glib.h>

typedef struct
{
  char *path;
  char *key; /* "config/KIND/NAME" */
  char *text;
} DyDeclarationFile;

typedef struct
{
  GPtrArray *files; /* of DyDeclarationFile, sorted by path */
  DyDeclarations declarations;
} DyFolder;

/* Reads the folder at PATH. Returns DY_OK, or DY_SETTINGS with an ERROR_TEXT that names file,
 * section and key, to be freed with g_free(); dy_folder_finish() is then not to be called. */
int dy_folder_init (DyFolder *folder, const char *path, char **error_text);
void dy_folder_finish (DyFolder *folder);

#endif
