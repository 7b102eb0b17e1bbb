#include "core/declarations.h"

#include "kernel/error.h"

#include <string.h>

enum
{
  MAX_NAME = 63,
  MAX_SHARE = 1000,
  SHA256_HEX = 64,
};

static const int64_t MAX_BUDGET_TOKENS = INT64_C (1000000000000000);
static const int64_t MAX_REQUEST_TOKENS = INT64_C (10000000);

typedef struct
{
  uint64_t version;
  GKeyFile *file; /* NULL once removed: the version stays, so that it cannot come back */
} Declared;

typedef struct
{
  const char *kind;
  const char *group;
  const char *const *keys; /* allowed "group.key" texts; "group.*" allows all */
} KindInfo;

static const char *const template_keys[]
    = { "template.name",          "template.share",
        "template.budget_tokens", "template.max_tokens_per_request",
        "template.models",        NULL };
static const char *const account_keys[]
    = { "account.name", "account.template", "parameters.*", "keys.sha256", NULL };
static const char *const endpoint_keys[]
    = { "endpoint.name",        "endpoint.kind",   "endpoint.url",
        "endpoint.data_centre", "endpoint.models", "endpoint.service",
        "endpoint.idempotent",  "endpoint.state",  NULL };

static const KindInfo kinds[DY_N_DECLARATION_KINDS] = {
  [DY_DECLARATION_TEMPLATE] = { "template", "template", template_keys },
  [DY_DECLARATION_ACCOUNT] = { "account", "account", account_keys },
  [DY_DECLARATION_ENDPOINT] = { "endpoint", "endpoint", endpoint_keys },
};

static void
free_declared (gpointer data)
{
  Declared *declared = data;
  if (declared->file)
    g_key_file_free (declared->file);
  g_free (declared);
}

static void
free_account (gpointer data)
{
  DyClientAccount *account = data;
  g_free (account->name);
  g_free (account->template_name);
  g_strfreev (account->models);
  g_strfreev (account->key_digests);
  g_free (account);
}

static bool
is_name (const char *name)
{
  size_t n = strlen (name);
  if (n == 0 || n > MAX_NAME)
    return false;
  for (const char *c = name; *c; c++)
    if (!g_ascii_islower (*c) && !g_ascii_isdigit (*c) && *c != '-')
      return false;
  return true;
}

static bool
is_allowed (const KindInfo *info, const char *group, const char *key)
{
  char *full = g_strdup_printf ("%s.%s", group, key);
  char *any = g_strdup_printf ("%s.*", group);
  bool allowed = g_strv_contains (info->keys, full) || g_strv_contains (info->keys, any);
  g_free (full);
  g_free (any);
  return allowed;
}

static bool
is_known_group (const KindInfo *info, const char *group)
{
  size_t n = strlen (group);
  for (const char *const *key = info->keys; *key; key++)
    if (strncmp (*key, group, n) == 0 && (*key)[n] == '.')
      return true;
  return false;
}

static char *
check_keys (const KindInfo *info, GKeyFile *file)
{
  char *text = NULL;
  gchar **groups = g_key_file_get_groups (file, NULL);
  for (gchar **group = groups; *group && !text; group++)
    {
      if (!is_known_group (info, *group))
        {
          text = g_strdup_printf ("[%s]: unknown section", *group);
          break;
        }
      gchar **keys = g_key_file_get_keys (file, *group, NULL, NULL);
      for (gchar **key = keys; *key && !text; key++)
        if (!is_allowed (info, *group, *key))
          text = g_strdup_printf ("[%s] %s: unknown key", *group, *key);
      g_strfreev (keys);
    }
  g_strfreev (groups);
  return text;
}

static char *
check_required (GKeyFile *file, const char *group, const char *key)
{
  gchar *value = g_key_file_get_string (file, group, key, NULL);
  char *text = NULL;
  if (!value || value[0] == '\0')
    text = g_strdup_printf ("[%s] %s: required key is missing", group, key);
  g_free (value);
  return text;
}

/* Replaces "${name}" by the parameter of that name; other texts stay. */
static char *
expand (GKeyFile *account, const char *value, char **error_text)
{
  size_t n = strlen (value);
  if (!g_str_has_prefix (value, "${") || n < 4 || value[n - 1] != '}')
    return g_strdup (value);
  char *name = g_strndup (value + 2, n - 3);
  gchar *parameter = g_key_file_get_string (account, "parameters", name, NULL);
  if (!parameter)
    *error_text = g_strdup_printf ("[parameters] %s: the template needs this parameter", name);
  g_free (name);
  return parameter;
}

static char *
read_limit (GKeyFile *template_file, GKeyFile *account, const char *key, int64_t max, int64_t *out)
{
  char *text = NULL;
  gchar *raw = g_key_file_get_string (template_file, "template", key, NULL);
  char *value = expand (account, raw ? raw : "", &text);
  if (!text && !g_ascii_string_to_signed (value, 10, 1, max, out, NULL))
    text = g_strdup_printf ("[template] %s: '%s' is not an integer from 1 to %" G_GINT64_FORMAT,
                            key, value, max);
  g_free (raw);
  g_free (value);
  return text;
}

static gchar **
read_list (GKeyFile *file, const char *group, const char *key)
{
  gchar **list = g_key_file_get_string_list (file, group, key, NULL, NULL);
  return list ? list : g_strsplit ("", ";", 0);
}

static char *
check_template (GKeyFile *file)
{
  static const char *const required[] = { "share", "budget_tokens", "max_tokens_per_request" };
  char *text = NULL;
  for (size_t i = 0; i < G_N_ELEMENTS (required) && !text; i++)
    text = check_required (file, "template", required[i]);
  return text;
}

static const char *
find_bad_digest (gchar **digests)
{
  for (; *digests; digests++)
    if (strlen (*digests) != SHA256_HEX)
      return *digests;
  return NULL;
}

static char *
check_account (GKeyFile *file)
{
  char *text = check_required (file, "account", "template");
  gchar **digests = read_list (file, "keys", "sha256");
  const char *bad = find_bad_digest (digests);
  if (!text && bad)
    text = g_strdup_printf ("[keys] sha256: '%s' is not a SHA-256 digest in hexadecimal", bad);
  g_strfreev (digests);
  return text;
}

static char *
check_choice (GKeyFile *file, const char *key, const char *a, const char *b)
{
  gchar *value = g_key_file_get_string (file, "endpoint", key, NULL);
  char *text = NULL;
  if (value && strcmp (value, a) != 0 && strcmp (value, b) != 0)
    text = g_strdup_printf ("[endpoint] %s: '%s' is not one of %s|%s", key, value, a, b);
  g_free (value);
  return text;
}

static bool
has_value (GKeyFile *file, const char *key, const char *expected)
{
  gchar *value = g_key_file_get_string (file, "endpoint", key, NULL);
  bool equal = value && strcmp (value, expected) == 0;
  g_free (value);
  return equal;
}

static char *
check_endpoint (GKeyFile *file)
{
  static const char *const required[] = { "kind", "url", "data_centre" };
  char *text = NULL;
  for (size_t i = 0; i < G_N_ELEMENTS (required) && !text; i++)
    text = check_required (file, "endpoint", required[i]);
  if (!text)
    text = check_choice (file, "kind", "engine", "service");
  if (!text)
    text = check_choice (file, "idempotent", "yes", "no");
  if (!text)
    text = check_choice (file, "state", "serving", "leaving");
  if (!text)
    text = check_required (file, "endpoint",
                           has_value (file, "kind", "service") ? "service" : "models");
  return text;
}

static char *
check_file (DyDeclarationKind kind, GKeyFile *file)
{
  char *text = check_keys (&kinds[kind], file);
  if (text)
    return text;
  gchar *name = g_key_file_get_string (file, kinds[kind].group, "name", NULL);
  if (!name || !is_name (name))
    text = g_strdup_printf ("[%s] name: must be 1 to %d of a-z, 0-9 and '-'", kinds[kind].group,
                            MAX_NAME);
  g_free (name);
  if (text)
    return text;
  switch (kind)
    {
    case DY_DECLARATION_TEMPLATE:
      return check_template (file);
    case DY_DECLARATION_ACCOUNT:
      return check_account (file);
    case DY_DECLARATION_ENDPOINT:
    default:
      return check_endpoint (file);
    }
}

static GKeyFile *
load_text (const char *text, char **error_text)
{
  GKeyFile *file = g_key_file_new ();
  GError *error = NULL;
  if (g_key_file_load_from_data (file, text, strlen (text), G_KEY_FILE_NONE, &error))
    return file;
  *error_text = g_strdup (error->message);
  g_error_free (error);
  g_key_file_free (file);
  return NULL;
}

static const Declared *
find_declared (const DyDeclarations *decl, DyDeclarationKind kind, const char *name)
{
  const Declared *declared = g_hash_table_lookup (decl->tables[kind], name);
  return declared && declared->file ? declared : NULL;
}

static char *
resolve_account (const DyDeclarations *decl, const Declared *declared, DyClientAccount *account)
{
  account->name = g_key_file_get_string (declared->file, "account", "name", NULL);
  account->template_name = g_key_file_get_string (declared->file, "account", "template", NULL);
  account->key_digests = read_list (declared->file, "keys", "sha256");
  const Declared *tmpl = find_declared (decl, DY_DECLARATION_TEMPLATE, account->template_name);
  if (!tmpl)
    {
      account->models = g_strsplit ("", ";", 0);
      return g_strdup_printf ("[account] template: '%s' is not declared", account->template_name);
    }
  account->models = read_list (tmpl->file, "template", "models");
  char *text = read_limit (tmpl->file, declared->file, "share", MAX_SHARE, &account->share);
  if (!text)
    text = read_limit (tmpl->file, declared->file, "budget_tokens", MAX_BUDGET_TOKENS,
                       &account->budget_tokens);
  if (!text)
    text = read_limit (tmpl->file, declared->file, "max_tokens_per_request", MAX_REQUEST_TOKENS,
                       &account->max_tokens_per_request);
  return text;
}

static void
drop_account (DyDeclarations *decl, const char *name)
{
  DyClientAccount *account = g_hash_table_lookup (decl->accounts, name);
  if (!account)
    return;
  for (gchar **digest = account->key_digests; *digest; digest++)
    if (g_hash_table_lookup (decl->account_by_key, *digest) == account)
      g_hash_table_remove (decl->account_by_key, *digest);
  g_hash_table_remove (decl->accounts, name);
}

/* An account that no longer resolves keeps what was in force. */
static char *
refresh_account (DyDeclarations *decl, const char *name)
{
  const Declared *declared = find_declared (decl, DY_DECLARATION_ACCOUNT, name);
  if (!declared)
    {
      drop_account (decl, name);
      return NULL;
    }
  DyClientAccount *account = g_new0 (DyClientAccount, 1);
  char *text = resolve_account (decl, declared, account);
  if (text)
    {
      free_account (account);
      return text;
    }
  drop_account (decl, name);
  g_hash_table_insert (decl->accounts, account->name, account);
  for (gchar **digest = account->key_digests; *digest; digest++)
    g_hash_table_insert (decl->account_by_key, *digest, account);
  return NULL;
}

/* Accounts and templates arrive in any order, so an account that does not resolve yet is no error.
 */
static void
refresh_accounts_of (DyDeclarations *decl, const char *template_name)
{
  GHashTableIter iter;
  gpointer name;
  gpointer value;
  g_hash_table_iter_init (&iter, decl->tables[DY_DECLARATION_ACCOUNT]);
  while (g_hash_table_iter_next (&iter, &name, &value))
    {
      const Declared *declared = value;
      if (!declared->file)
        continue;
      gchar *used = g_key_file_get_string (declared->file, "account", "template", NULL);
      if (strcmp (used, template_name) == 0)
        g_free (refresh_account (decl, name));
      g_free (used);
    }
}

static void
publish_endpoint (const DyDeclarationsWatcher *watcher, const char *name, GKeyFile *file)
{
  bool service = has_value (file, "kind", "service");
  gchar *url = g_key_file_get_string (file, "endpoint", "url", NULL);
  gchar *data_centre = g_key_file_get_string (file, "endpoint", "data_centre", NULL);
  gchar **models = read_list (file, "endpoint", service ? "service" : "models");
  DyEndpointSpec spec = { .name = name,
                          .url = url,
                          .data_centre = data_centre,
                          .models = (const char *const *) models,
                          .kind = service ? DY_ENDPOINT_SERVICE : DY_ENDPOINT_ENGINE,
                          .idempotent = has_value (file, "idempotent", "yes"),
                          .leaving = has_value (file, "state", "leaving") };
  watcher->endpoint_put (watcher->ctx, &spec);
  g_free (url);
  g_free (data_centre);
  g_strfreev (models);
}

static void
put_in_force (DyDeclarations *decl,
              DyDeclarationKind kind,
              const char *name,
              const DyDeclarationsWatcher *watcher)
{
  const Declared *declared = g_hash_table_lookup (decl->tables[kind], name);
  if (kind == DY_DECLARATION_TEMPLATE)
    refresh_accounts_of (decl, name);
  else if (kind == DY_DECLARATION_ACCOUNT)
    g_free (refresh_account (decl, name));
  else if (watcher && declared->file)
    publish_endpoint (watcher, name, declared->file);
  else if (watcher)
    watcher->endpoint_removed (watcher->ctx, name);
}

static void
store (DyDeclarations *decl,
       DyDeclarationKind kind,
       const char *name,
       uint64_t version,
       GKeyFile *file)
{
  Declared *declared = g_new (Declared, 1);
  declared->version = version;
  declared->file = file;
  g_hash_table_replace (decl->tables[kind], g_strdup (name), declared);
}

static bool
is_newer (const DyDeclarations *decl, DyDeclarationKind kind, const char *name, uint64_t version)
{
  const Declared *declared = g_hash_table_lookup (decl->tables[kind], name);
  return !declared || version > declared->version;
}

void
dy_declarations_init (DyDeclarations *decl)
{
  for (int i = 0; i < DY_N_DECLARATION_KINDS; i++)
    decl->tables[i] = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_declared);
  decl->accounts = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_account);
  decl->account_by_key = g_hash_table_new (g_str_hash, g_str_equal);
}

void
dy_declarations_finish (DyDeclarations *decl)
{
  g_hash_table_unref (decl->account_by_key);
  g_hash_table_unref (decl->accounts);
  for (int i = 0; i < DY_N_DECLARATION_KINDS; i++)
    g_hash_table_unref (decl->tables[i]);
  memset (decl, 0, sizeof *decl);
}

int
dy_declarations_split_key (const char *key, DyDeclarationKind *kind, const char **name)
{
  for (int i = 0; i < DY_N_DECLARATION_KINDS; i++)
    {
      char *prefix = g_strdup_printf (DY_CONFIG_PREFIX "%s/", kinds[i].kind);
      size_t n = strlen (prefix);
      bool match = g_str_has_prefix (key, prefix);
      g_free (prefix);
      if (!match)
        continue;
      *kind = (DyDeclarationKind) i;
      *name = key + n;
      return DY_OK;
    }
  return DY_NOT_FOUND;
}

char *
dy_declarations_key_of (const char *text, char **error_text)
{
  GKeyFile *file = load_text (text, error_text);
  char *key = NULL;
  if (!file)
    return NULL;
  for (int i = 0; i < DY_N_DECLARATION_KINDS && !key && !*error_text; i++)
    {
      if (!g_key_file_has_group (file, kinds[i].group))
        continue;
      gchar *name = g_key_file_get_string (file, kinds[i].group, "name", NULL);
      *error_text = check_file ((DyDeclarationKind) i, file);
      if (!*error_text)
        key = g_strdup_printf (DY_CONFIG_PREFIX "%s/%s", kinds[i].kind, name);
      g_free (name);
    }
  if (!key && !*error_text)
    *error_text = g_strdup ("one of the sections [template], [account], [endpoint] is required");
  g_key_file_free (file);
  return key;
}

int
dy_declarations_put (DyDeclarations *decl,
                     const char *key,
                     uint64_t version,
                     const char *text,
                     const DyDeclarationsWatcher *watcher,
                     char **error_text)
{
  DyDeclarationKind kind;
  const char *name;
  if (dy_declarations_split_key (key, &kind, &name))
    {
      *error_text = g_strdup ("unknown kind of declaration");
      return DY_SETTINGS;
    }
  if (!is_newer (decl, kind, name, version))
    return DY_OK;
  GKeyFile *file = load_text (text, error_text);
  if (!file)
    return DY_SETTINGS;
  *error_text = check_file (kind, file);
  if (*error_text)
    {
      g_key_file_free (file);
      return DY_SETTINGS;
    }
  store (decl, kind, name, version, file);
  put_in_force (decl, kind, name, watcher);
  return DY_OK;
}

void
dy_declarations_remove (DyDeclarations *decl,
                        const char *key,
                        uint64_t version,
                        const DyDeclarationsWatcher *watcher)
{
  DyDeclarationKind kind;
  const char *name;
  if (dy_declarations_split_key (key, &kind, &name) || !is_newer (decl, kind, name, version))
    return;
  store (decl, kind, name, version, NULL);
  put_in_force (decl, kind, name, watcher);
}

static char *
check_account_keys (const DyDeclarations *decl, const DyClientAccount *account)
{
  for (gchar **digest = account->key_digests; *digest; digest++)
    {
      const DyClientAccount *owner = g_hash_table_lookup (decl->account_by_key, *digest);
      if (owner && strcmp (owner->name, account->name) != 0)
        return g_strdup_printf ("[keys] sha256: '%s' also belongs to account '%s'", *digest,
                                owner->name);
    }
  return NULL;
}

int
dy_declarations_check (const DyDeclarations *decl, char **error_text)
{
  GHashTableIter iter;
  gpointer name;
  gpointer value;
  g_hash_table_iter_init (&iter, decl->tables[DY_DECLARATION_ACCOUNT]);
  while (g_hash_table_iter_next (&iter, &name, &value))
    {
      const Declared *declared = value;
      if (!declared->file)
        continue;
      DyClientAccount *account = g_new0 (DyClientAccount, 1);
      char *text = resolve_account (decl, declared, account);
      if (!text)
        text = check_account_keys (decl, account);
      free_account (account);
      if (!text)
        continue;
      *error_text = g_strdup_printf ("account %s: %s", (const char *) name, text);
      g_free (text);
      return DY_SETTINGS;
    }
  return DY_OK;
}

void
dy_declarations_visit (
    const DyDeclarations *decl,
    uint64_t after,
    void (*visit) (void *ctx, const char *key, uint64_t version, const char *text),
    void *ctx)
{
  for (int kind = 0; kind < DY_N_DECLARATION_KINDS; kind++)
    {
      GHashTableIter iter;
      gpointer name;
      gpointer value;
      g_hash_table_iter_init (&iter, decl->tables[kind]);
      while (g_hash_table_iter_next (&iter, &name, &value))
        {
          const Declared *declared = value;
          if (declared->version <= after)
            continue;
          char *key
              = g_strdup_printf (DY_CONFIG_PREFIX "%s/%s", kinds[kind].kind, (const char *) name);
          char *text = declared->file ? g_key_file_to_data (declared->file, NULL, NULL) : NULL;
          visit (ctx, key, declared->version, text);
          g_free (text);
          g_free (key);
        }
    }
}

const DyClientAccount *
dy_declarations_account (const DyDeclarations *decl, const char *name)
{
  return g_hash_table_lookup (decl->accounts, name);
}

int64_t
dy_declarations_total_share (const DyDeclarations *decl)
{
  int64_t sum = 0;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, decl->accounts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    sum += ((const DyClientAccount *) value)->share;
  return sum;
}

const DyClientAccount *
dy_declarations_authenticate (const DyDeclarations *decl, const char *secret)
{
  gchar *digest = g_compute_checksum_for_string (G_CHECKSUM_SHA256, secret, -1);
  const DyClientAccount *account = g_hash_table_lookup (decl->account_by_key, digest);
  g_free (digest);
  return account;
}

bool
dy_client_account_allows (const DyClientAccount *account, const char *model)
{
  return !account->models[0] || g_strv_contains ((const gchar *const *) account->models, model);
}
