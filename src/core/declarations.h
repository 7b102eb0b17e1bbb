#ifndef DY_CORE_DECLARATIONS_H
#define DY_CORE_DECLARATIONS_H

/**
 * NAME
 *   declarations - configuration of templates, client accounts and endpoints as versioned INI texts
 *
 * DESCRIPTION
 *   A declaration is an INI text that is stored under the key "config/KIND/NAME", where KIND is
 *   template, account or endpoint. Only a higher version replaces the current one, so a declaration
 *   never reverts. An invalid text is rejected and the current declaration remains.
 *
 *   A client account takes its limits from its template, where a value "${parameter}" stands for
 *   that parameter of the account. Accounts and templates may arrive in any order. An account whose
 *   template or parameters become invalid keeps its last valid limits and keys.
 *
 * FORMAT
 *   [template] name, share, budget_tokens, max_tokens_per_request, models (optional, ';' between)
 *   [account] name, template; [parameters] any; [keys] sha256 (hex digests, ';' between)
 *   [endpoint] name, kind = engine|service, url, data_centre, models (engine) or service (service),
 *   idempotent = yes|no (service), state = serving|leaving
 *
 *   A name has 1 to 63 of the characters a-z, 0-9 and '-'. The limits are integers: share, the
 *   weight of an account in fair queueing, from 1 to 1000, budget_tokens up to 10^15 and
 *   max_tokens_per_request up to 10^7.
 *
 * ERRORS
 *   DY_SETTINGS   an invalid declaration, explained by a text
 *   DY_NOT_FOUND  a key that does not begin with "config/KIND/"
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

/* A client account with the limits of its template. */
typedef struct
{
  char *name;
  char *template_name;
  int64_t share;         /* weight in fair queueing */
  int64_t budget_tokens; /* credited when the account is created */
  int64_t max_tokens_per_request;
  gchar **models;      /* models that it may use; empty: all */
  gchar **key_digests; /* SHA-256 of its bearer keys, in hexadecimal */
} DyClientAccount;

typedef struct
{
  GHashTable *tables[DY_N_DECLARATION_KINDS]; /* by kind: name to its current declaration */
  GHashTable *accounts;                       /* name to DyClientAccount in its last valid state */
  GHashTable *account_by_key;                 /* key digest to DyClientAccount */
} DyDeclarations;

/* Called when an endpoint is declared, changed or removed. SPEC is valid during the call only. */
typedef struct
{
  void *ctx;
  void (*endpoint_put) (void *ctx, const DyEndpointSpec *spec);
  void (*endpoint_removed) (void *ctx, const char *name);
} DyDeclarationsWatcher;

void dy_declarations_init (DyDeclarations *decl);
void dy_declarations_finish (DyDeclarations *decl);

/* Splits "config/KIND/NAME" into KIND and NAME, a part of KEY. Returns DY_OK or DY_NOT_FOUND. */
int dy_declarations_split_key (const char *key, DyDeclarationKind *kind, const char **name);

/* Checks the declaration in TEXT. Returns its key, or NULL with ERROR_TEXT; both are to be freed
 * with g_free(). *ERROR_TEXT must be NULL before the call. */
char *dy_declarations_key_of (const char *text, char **error_text);

/* Replaces the declaration KEY by VERSION with TEXT. WATCHER may be NULL. Returns DY_OK, also when
 * the current version is at least as high, or DY_SETTINGS with ERROR_TEXT, which names section and
 * key and is to be freed with g_free(). */
int dy_declarations_put (DyDeclarations *decl,
                         const char *key,
                         uint64_t version,
                         const char *text,
                         const DyDeclarationsWatcher *watcher,
                         char **error_text);

/* Removes the declaration KEY unless its current version is at least as high as VERSION, that of
 * the removal. WATCHER may be NULL. */
void dy_declarations_remove (DyDeclarations *decl,
                             const char *key,
                             uint64_t version,
                             const DyDeclarationsWatcher *watcher);

/* Checks that each account has a valid template and all its parameters, and that no key belongs to
 * two accounts. Returns DY_OK, or DY_SETTINGS with ERROR_TEXT, to be freed with g_free(). */
int dy_declarations_check (const DyDeclarations *decl, char **error_text);

/* Calls VISIT for each current declaration with a version above AFTER, in no particular order. TEXT
 * is NULL for one that was removed. */
void dy_declarations_visit (
    const DyDeclarations *decl,
    uint64_t after,
    void (*visit) (void *ctx, const char *key, uint64_t version, const char *text),
    void *ctx);

/* Returns the account NAME in its last valid state, or NULL. */
const DyClientAccount *dy_declarations_account (const DyDeclarations *decl, const char *name);

/* Returns the sum of the shares of all accounts. */
int64_t dy_declarations_total_share (const DyDeclarations *decl);

/* Returns the account of the bearer key SECRET, given in plain text, or NULL. */
const DyClientAccount *dy_declarations_authenticate (const DyDeclarations *decl,
                                                     const char *secret);

/* Returns whether ACCOUNT may use MODEL. */
bool dy_client_account_allows (const DyClientAccount *account, const char *model);

#endif
