#ifndef DY_CORE_DECLARATIONS_H
#define DY_CORE_DECLARATIONS_H

/**
 * NAME
 *   declarations - templates, client accounts and endpoints, as INI texts
 *
 * DESCRIPTION
 *   A declaration is one INI text under a key "config/KIND/NAME". Only a higher version replaces
 *   one in force, so a declaration never reverts; an invalid text leaves the one in force as it
 *   is. A client account takes its limits from its template, in which ${parameter} stands for one
 *   of the account's parameters.
 *
 * FORMAT
 *   [template] name, share, budget_tokens, max_tokens_per_request, models (optional, ';' between)
 *   [account] name, template; [parameters] any; [keys] sha256 (hex digests, ';' between)
 *   [endpoint] name, kind = engine|service, url, data_centre, models (engine) or service (service),
 *   idempotent = yes|no (service), state = serving|leaving
 */

#include "core/routing.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define DY_CONFIG_PREFIX "config/"

typedef enum
{
  DY_DECLARATION_TEMPLATE,
  DY_DECLARATION_ACCOUNT,
  DY_DECLARATION_ENDPOINT,
  DY_N_DECLARATION_KINDS,
} DyDeclarationKind;

/* A client account with its template's limits filled in. */
typedef struct
{
  char *name;
  char *template_name;
  int64_t share;
  int64_t budget_tokens; /* paid when the account is created */
  int64_t max_tokens_per_request;
  gchar **models; /* empty: all */
  gchar **key_digests;
} DyClientAccount;

typedef struct
{
  GHashTable *tables[DY_N_DECLARATION_KINDS]; /* name to the declaration */
  GHashTable *accounts;                       /* name to DyClientAccount */
  GHashTable *account_by_key;                 /* key digest to DyClientAccount */
} DyDeclarations;

typedef struct
{
  void *ctx;
  void (*endpoint_put) (void *ctx, const DyEndpointSpec *spec);
  void (*endpoint_removed) (void *ctx, const char *name);
} DyDeclarationsWatcher;

void dy_declarations_init (DyDeclarations *decl);
void dy_declarations_finish (DyDeclarations *decl);

/* Splits "config/KIND/NAME". Returns DY_OK or DY_NOT_FOUND. */
int dy_declarations_split_key (const char *key, DyDeclarationKind *kind, const char **name);

/* Returns the key of the declaration in TEXT, to be freed with g_free(), or NULL with ERROR_TEXT.
 */
char *dy_declarations_key_of (const char *text, char **error_text);

/* Takes TEXT of VERSION as the declaration KEY. Returns DY_OK, also when a version at least as high
 * is in force, or DY_SETTINGS with a text that names section and key, to be freed with g_free(). */
int dy_declarations_put (DyDeclarations *decl,
                         const char *key,
                         uint64_t version,
                         const char *text,
                         const DyDeclarationsWatcher *watcher,
                         char **error_text);

/* Removes the declaration KEY as of VERSION. */
void dy_declarations_remove (DyDeclarations *decl,
                             const char *key,
                             uint64_t version,
                             const DyDeclarationsWatcher *watcher);

/* Checks that each account has a valid template and all its parameters, and that no key serves two
 * accounts. Returns DY_OK, or DY_SETTINGS with a text to be freed with g_free(). */
int dy_declarations_check (const DyDeclarations *decl, char **error_text);

/* Calls VISIT for each declaration in force above version AFTER; TEXT is NULL for a removed one. */
void dy_declarations_visit (
    const DyDeclarations *decl,
    uint64_t after,
    void (*visit) (void *ctx, const char *key, uint64_t version, const char *text),
    void *ctx);

const DyClientAccount *dy_declarations_account (const DyDeclarations *decl, const char *name);

/* Returns the sum of the shares of all accounts. */
int64_t dy_declarations_total_share (const DyDeclarations *decl);

/* Returns the account that holds the bearer key SECRET, or NULL. */
const DyClientAccount *dy_declarations_authenticate (const DyDeclarations *decl,
                                                     const char *secret);

/* Returns whether ACCOUNT may use MODEL. */
bool dy_client_account_allows (const DyClientAccount *account, const char *model);

#endif
