#include "lc-settings.h"

#include <arpa/inet.h>
#include <glib.h>
#include <jansson.h>
#include <inttypes.h>
#include <string.h>

typedef struct
{
  const LcSettingsSchema *schema;
  uint8_t *out;
  const char *origin;
  LcError *error;
} LcSettingsLoad;

/* === private: errors ======================================================================== */

static int
lc_settings__wrong_type (const LcSettingsLoad *load, const char *path, const char *expected)
{
  return lc_error_set (load->error, LC_ERR_INVALID,
                       "change the value; `--print-settings` lists every field with its type",
                       "%s: $.%s: expected %s", load->origin, path, expected);
}

static uint64_t
lc_settings__max_of (const LcSettingsField *field)
{
  if (field->max != 0)
    return field->max;
  switch (field->kind)
    {
    case LC_SETTING_U16:
    case LC_SETTING_PORT:
      return UINT16_MAX;
    case LC_SETTING_U32:
      return UINT32_MAX;
    case LC_SETTING_U64:
      return INT64_MAX;
    default:
      return UINT64_MAX;
    }
}

static int
lc_settings__out_of_range (const LcSettingsLoad *load, const LcSettingsField *field, json_int_t got)
{
  char remedy[LC_ERROR_REMEDY_MAX];

  (void)snprintf (remedy, sizeof remedy, "use a whole number from %" PRIu64 " to %" PRIu64 " (%s)",
                  field->min, lc_settings__max_of (field),
                  field->unit != NULL ? field->unit : "no unit");
  return lc_error_set (load->error, LC_ERR_INVALID, remedy,
                       "%s: $.%s: %" JSON_INTEGER_FORMAT " is out of range", load->origin,
                       field->path, got);
}

/* === private: one value ===================================================================== */

static void
lc_settings__store_number (const LcSettingsField *field, void *at, uint64_t value)
{
  switch (field->kind)
    {
    case LC_SETTING_U16:
    case LC_SETTING_PORT:
      *(uint16_t *)at = (uint16_t)value;
      break;
    case LC_SETTING_U32:
    case LC_SETTING_PERMILLE:
    case LC_SETTING_CHOICE:
      *(uint32_t *)at = (uint32_t)value;
      break;
    default:
      *(uint64_t *)at = value;
      break;
    }
}

static int
lc_settings__put_number (const LcSettingsLoad *load, const LcSettingsField *f, const json_t *value)
{
  json_int_t number = json_integer_value (value);

  if (!json_is_integer (value))
    return lc_settings__wrong_type (load, f->path, "a whole number");
  if (number < 0 || (uint64_t)number < f->min || (uint64_t)number > lc_settings__max_of (f))
    return lc_settings__out_of_range (load, f, number);
  lc_settings__store_number (f, load->out + f->offset, (uint64_t)number);
  return 0;
}

static int
lc_settings__put_permille (const LcSettingsLoad *load,
                           const LcSettingsField *f,
                           const json_t *value)
{
  double permille = json_number_value (value) * 1000;

  if (!json_is_number (value) || !(permille >= (double)f->min && permille <= (double)f->max))
    return lc_error_set (load->error, LC_ERR_INVALID, "give a number within its range",
                         "%s: $.%s is no number from %g to %g", load->origin, f->path,
                         (double)f->min / 1000, (double)f->max / 1000);
  lc_settings__store_number (f, load->out + f->offset, (uint64_t)(permille + 0.5));
  return 0;
}

/* Takes the port of an address, since some platforms can only write addresses into the file. */
static int
lc_settings__put_port (const LcSettingsLoad *load, const LcSettingsField *f, const char *text)
{
  LcSocketAddress address;

  if (lc_settings_parse_address (text, &address) < 0)
    return lc_settings__wrong_type (load, f->path,
                                    "a port, or an address such as \"127.0.0.1:7000\"");
  lc_settings__store_number (f, load->out + f->offset, address.port);
  return 0;
}

static int
lc_settings__put_string (const LcSettingsLoad *load, const LcSettingsField *f, const json_t *value)
{
  const char *text = json_string_value (value);

  if (text == NULL)
    return lc_settings__wrong_type (load, f->path, "a string");
  if (f->is_required && text[0] == '\0')
    return lc_error_set (load->error, LC_ERR_INVALID, "give it a value", "%s: $.%s is empty",
                         load->origin, f->path);
  if (strlen (text) >= f->size)
    return lc_error_set (load->error, LC_ERR_INVALID, "use a shorter value",
                         "%s: $.%s has %zu bytes, at most %zu fit", load->origin, f->path,
                         strlen (text), f->size - 1);
  (void)g_strlcpy ((char *)load->out + f->offset, text, f->size);
  return 0;
}

static int
lc_settings__put_choice (const LcSettingsLoad *load, const LcSettingsField *f, const json_t *value)
{
  const char *text = json_string_value (value);
  char remedy[LC_ERROR_REMEDY_MAX] = "use one of:";

  for (uint32_t i = 0; f->choices[i] != NULL; i++)
    {
      if (text != NULL && strcmp (f->choices[i], text) == 0)
        {
          lc_settings__store_number (f, load->out + f->offset, i);
          return 0;
        }
      (void)g_strlcat (remedy, " ", sizeof remedy);
      (void)g_strlcat (remedy, f->choices[i], sizeof remedy);
    }
  return lc_error_set (load->error, LC_ERR_INVALID, remedy, "%s: $.%s: %s is not a choice",
                       load->origin, f->path, text != NULL ? text : "the value");
}

static int
lc_settings__put_address_list (const LcSettingsLoad *load,
                               const LcSettingsField *f,
                               const json_t *value)
{
  LcSocketAddress *list = (LcSocketAddress *)(void *)(load->out + f->offset);
  size_t max = f->size / sizeof *list;
  size_t n = json_array_size (value);

  if (!json_is_array (value))
    return lc_settings__wrong_type (load, f->path, "an array of \"a.b.c.d:port\"");
  if (n > max || n < f->min)
    return lc_error_set (load->error, LC_ERR_INVALID, "list fewer or more addresses",
                         "%s: $.%s has %zu entries, from %" PRIu64 " to %zu fit", load->origin,
                         f->path, n, f->min, max);
  for (size_t i = 0; i < n; i++)
    {
      const char *text = json_string_value (json_array_get (value, i));

      if (text == NULL || lc_settings_parse_address (text, &list[i]) < 0)
        return lc_error_set (load->error, LC_ERR_INVALID, "write it as \"127.0.0.1:7000\"",
                             "%s: $.%s[%zu] is not an address", load->origin, f->path, i);
      for (size_t k = 0; k < i; k++)
        if (list[k].ipv4 == list[i].ipv4 && list[k].port == list[i].port)
          return lc_error_set (load->error, LC_ERR_INVALID, "name each address once",
                               "%s: $.%s[%zu] repeats %s", load->origin, f->path, i, text);
    }
  *(uint32_t *)(void *)(load->out + f->count_offset) = (uint32_t)n;
  return 0;
}

static int
lc_settings__put (const LcSettingsLoad *load, const LcSettingsField *f, const json_t *value)
{
  void *at = load->out + f->offset;
  const char *text = json_string_value (value);

  switch (f->kind)
    {
    case LC_SETTING_STRING:
      return lc_settings__put_string (load, f, value);
    case LC_SETTING_BOOL:
      if (!json_is_boolean (value))
        return lc_settings__wrong_type (load, f->path, "true or false");
      *(bool *)at = json_is_true (value);
      return 0;
    case LC_SETTING_PORT:
      if (text != NULL)
        return lc_settings__put_port (load, f, text);
      return lc_settings__put_number (load, f, value);
    case LC_SETTING_U16:
    case LC_SETTING_U32:
    case LC_SETTING_U64:
      return lc_settings__put_number (load, f, value);
    case LC_SETTING_PERMILLE:
      return lc_settings__put_permille (load, f, value);
    case LC_SETTING_IPV4:
      if (text == NULL || lc_settings_parse_ipv4 (text, at) < 0)
        return lc_settings__wrong_type (load, f->path, "an IPv4 address such as \"127.0.0.1\"");
      return 0;
    case LC_SETTING_ADDRESS:
      if (text == NULL || lc_settings_parse_address (text, at) < 0)
        return lc_settings__wrong_type (load, f->path, "an address such as \"127.0.0.1:7000\"");
      return 0;
    case LC_SETTING_ADDRESS_LIST:
      return lc_settings__put_address_list (load, f, value);
    case LC_SETTING_CHOICE:
      return lc_settings__put_choice (load, f, value);
    }
  return LC_ERR_INVALID;
}

static int
lc_settings__put_default (const LcSettingsLoad *load, const LcSettingsField *f)
{
  if (f->is_required)
    return lc_error_set (load->error, LC_ERR_INVALID, "add the field", "%s: $.%s is missing: %s",
                         load->origin, f->path, f->help);
  switch (f->kind)
    {
    case LC_SETTING_STRING:
      (void)g_strlcpy ((char *)load->out + f->offset, f->default_str != NULL ? f->default_str : "",
                       f->size);
      break;
    case LC_SETTING_BOOL:
      *(bool *)(load->out + f->offset) = f->default_u64 != 0;
      break;
    case LC_SETTING_U16:
    case LC_SETTING_PORT:
    case LC_SETTING_U32:
    case LC_SETTING_U64:
    case LC_SETTING_PERMILLE:
    case LC_SETTING_CHOICE:
      lc_settings__store_number (f, load->out + f->offset, f->default_u64);
      break;
    case LC_SETTING_IPV4:
      if (f->default_str != NULL)
        (void)lc_settings_parse_ipv4 (f->default_str, (uint32_t *)(void *)(load->out + f->offset));
      break;
    case LC_SETTING_ADDRESS:
      if (f->default_str != NULL)
        (void)lc_settings_parse_address (f->default_str,
                                         (LcSocketAddress *)(void *)(load->out + f->offset));
      break;
    case LC_SETTING_ADDRESS_LIST:
      break;
    }
  return 0;
}

/* === private: the document ================================================================== */

static const json_t *
lc_settings__find_value (const json_t *root, const char *path)
{
  gchar **parts = g_strsplit (path, ".", 0);
  const json_t *at = root;

  for (guint i = 0; parts[i] != NULL && at != NULL; i++)
    at = json_object_get (at, parts[i]);
  g_strfreev (parts);
  return at;
}

static const LcSettingsField *
lc_settings__find_field (const LcSettingsSchema *schema, const char *path)
{
  for (size_t i = 0; i < schema->n_fields; i++)
    if (strcmp (schema->fields[i].path, path) == 0)
      return &schema->fields[i];
  return NULL;
}

static bool
lc_settings__is_group (const LcSettingsSchema *schema, const char *path)
{
  size_t len = strlen (path);

  for (size_t i = 0; i < schema->n_fields; i++)
    if (strncmp (schema->fields[i].path, path, len) == 0 && schema->fields[i].path[len] == '.')
      return true;
  return false;
}

static int
lc_settings__check_known (const LcSettingsLoad *load, json_t *object, const char *prefix)
{
  const char *key;
  json_t *value;

  json_object_foreach (object, key, value)
  {
    char *path = g_strdup_printf ("%s%s%s", prefix, prefix[0] != '\0' ? "." : "", key);
    int r = 0;

    if (json_is_object (value) && lc_settings__is_group (load->schema, path))
      r = lc_settings__check_known (load, value, path);
    else if (lc_settings__find_field (load->schema, path) == NULL)
      r = lc_error_set (load->error, LC_ERR_INVALID,
                        "remove it or correct its spelling; `--print-settings` lists every field",
                        "%s: $.%s is not a setting of %s", load->origin, path,
                        load->schema->program);
    g_free (path);
    if (r < 0)
      return r;
  }
  return 0;
}

static int
lc_settings__fill (const LcSettingsLoad *load, json_t *root)
{
  int r = lc_settings__check_known (load, root, "");

  for (size_t i = 0; i < load->schema->n_fields && r == 0; i++)
    {
      const LcSettingsField *f = &load->schema->fields[i];
      const json_t *value = lc_settings__find_value (root, f->path);

      r = value != NULL ? lc_settings__put (load, f, value) : lc_settings__put_default (load, f);
    }
  return r;
}

/* === public ================================================================================= */

int
lc_settings_parse (const LcSettingsSchema *schema,
                   void *out,
                   const char *json,
                   size_t len,
                   const char *origin,
                   LcError *error)
{
  json_error_t where;
  json_t *root = json_loadb (json, len, JSON_REJECT_DUPLICATES, &where);
  LcSettingsLoad load = { .schema = schema, .origin = origin, .error = error };
  int r;

  if (root == NULL)
    return lc_error_set (error, LC_ERR_INVALID, "correct the JSON at that place",
                         "%s: line %d, column %d: %s", origin, where.line, where.column,
                         where.text);
  load.out = g_malloc0 (schema->size);
  if (!json_is_object (root))
    r = lc_error_set (error, LC_ERR_INVALID, "put the settings into one {...}",
                      "%s: $ is not an object", origin);
  else
    r = lc_settings__fill (&load, root);
  if (r == 0)
    memcpy (out, load.out, schema->size);
  g_free (load.out);
  json_decref (root);
  return r;
}

int
lc_settings_load (const LcSettingsSchema *schema, void *out, const char *path, LcError *error)
{
  gchar *text = NULL;
  gsize len = 0;
  GError *gerror = NULL;
  int r;

  if (!g_file_get_contents (path, &text, &len, &gerror))
    {
      r = lc_error_set (error, LC_ERR_IO, "give a readable file to --settings", "%s",
                        gerror->message);
      g_error_free (gerror);
      return r;
    }
  r = lc_settings_parse (schema, out, text, len, path, error);
  g_free (text);
  return r;
}

void
lc_settings_set_ports (LcSocketAddress *list, uint32_t n, uint16_t port)
{
  for (uint32_t i = 0; port != 0 && i < n; i++)
    list[i].port = port;
}

static const char *
lc_settings__kind_name (LcSettingKind kind)
{
  switch (kind)
    {
    case LC_SETTING_STRING:
      return "string";
    case LC_SETTING_BOOL:
      return "true or false";
    case LC_SETTING_U16:
    case LC_SETTING_U32:
    case LC_SETTING_U64:
      return "whole number";
    case LC_SETTING_PORT:
      return "port, or address:port";
    case LC_SETTING_PERMILLE:
      return "number";
    case LC_SETTING_IPV4:
      return "IPv4 address";
    case LC_SETTING_ADDRESS:
      return "address:port";
    case LC_SETTING_ADDRESS_LIST:
      return "list of address:port";
    case LC_SETTING_CHOICE:
      return "choice";
    }
  return "";
}

static void
lc_settings__print_range (const LcSettingsField *f, FILE *out)
{
  switch (f->kind)
    {
    case LC_SETTING_U16:
    case LC_SETTING_PORT:
    case LC_SETTING_U32:
    case LC_SETTING_U64:
      (void)fprintf (out, "%" PRIu64 " to %" PRIu64, f->min, lc_settings__max_of (f));
      break;
    case LC_SETTING_PERMILLE:
      (void)fprintf (out, "%g to %g", (double)f->min / 1000, (double)f->max / 1000);
      break;
    case LC_SETTING_STRING:
      (void)fprintf (out, "up to %zu bytes", f->size - 1);
      break;
    case LC_SETTING_ADDRESS_LIST:
      (void)fprintf (out, "%" PRIu64 " to %zu entries", f->min, f->size / sizeof (LcSocketAddress));
      break;
    case LC_SETTING_CHOICE:
      for (size_t i = 0; f->choices[i] != NULL; i++)
        (void)fprintf (out, "%s%s", i > 0 ? ", " : "", f->choices[i]);
      break;
    default:
      break;
    }
}

static void
lc_settings__print_default (const LcSettingsField *f, FILE *out)
{
  if (f->is_required)
    (void)fputs ("required", out);
  else if (f->kind == LC_SETTING_BOOL)
    (void)fputs (f->default_u64 != 0 ? "true" : "false", out);
  else if (f->kind == LC_SETTING_CHOICE)
    (void)fputs (f->choices[f->default_u64], out);
  else if (f->kind == LC_SETTING_PERMILLE)
    (void)fprintf (out, "%g", (double)f->default_u64 / 1000);
  else if (f->kind == LC_SETTING_U16 || f->kind == LC_SETTING_PORT || f->kind == LC_SETTING_U32 ||
           f->kind == LC_SETTING_U64)
    (void)fprintf (out, "%" PRIu64, f->default_u64);
  else
    (void)fputs (f->default_str != NULL ? f->default_str : "empty", out);
}

void
lc_settings_print (const LcSettingsSchema *schema, FILE *out)
{
  (void)fprintf (out, "# Settings of %s\n\n", schema->program);
  (void)fputs ("| field | type | range | unit | default | meaning |\n|---|---|---|---|---|---|\n",
               out);
  for (size_t i = 0; i < schema->n_fields; i++)
    {
      const LcSettingsField *f = &schema->fields[i];

      (void)fprintf (out, "| `%s` | %s | ", f->path, lc_settings__kind_name (f->kind));
      lc_settings__print_range (f, out);
      (void)fprintf (out, " | %s | ", f->unit != NULL ? f->unit : "");
      lc_settings__print_default (f, out);
      (void)fprintf (out, " | %s |\n", f->help);
    }
}

int
lc_settings_parse_ipv4 (const char *text, uint32_t *ipv4)
{
  struct in_addr address;

  if (inet_pton (AF_INET, text, &address) != 1)
    return LC_ERR_INVALID;
  *ipv4 = ntohl (address.s_addr);
  return 0;
}

int
lc_settings_parse_address (const char *text, LcSocketAddress *address)
{
  const char *colon = strrchr (text, ':');
  char host[32];
  guint64 port = 0;

  if (colon == NULL || (size_t)(colon - text) >= sizeof host)
    return LC_ERR_INVALID;
  memcpy (host, text, (size_t)(colon - text));
  host[colon - text] = '\0';
  if (!g_ascii_string_to_unsigned (colon + 1, 10, 1, UINT16_MAX, &port, NULL))
    return LC_ERR_INVALID;
  address->port = (uint16_t)port;
  return lc_settings_parse_ipv4 (host, &address->ipv4);
}
