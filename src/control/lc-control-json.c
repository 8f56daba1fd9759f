#include "lc-control-json.h"

#include "io/lc-settings.h"

#include <string.h>

/* === private: reading fields ================================================================ */

static int
lc_json__set_expected (const char *path, const char *expected, LcError *error)
{
  return lc_error_set (error, LC_ERR_INVALID, "see docs/operating/declarations.md for the fields",
                       "%s must be %s", path, expected);
}

/* Refuses unknown fields: a misspelt limit must not be ignored silently. */
static int
lc_json__check_fields (const json_t *object,
                       const char *path,
                       const char *const *known,
                       LcError *error)
{
  const char *key;
  json_t *value;

  if (!json_is_object (object))
    return lc_json__set_expected (path, "an object", error);
  json_object_foreach ((json_t *)object, key, value)
  {
    bool is_known = false;

    for (size_t i = 0; known[i] != NULL && !is_known; i++)
      is_known = strcmp (known[i], key) == 0;
    if (!is_known)
      return lc_error_set (error, LC_ERR_INVALID, "remove it or correct its spelling",
                           "%s.%s is not a known field", path, key);
  }
  return 0;
}

static int
lc_json__read_string (const json_t *object,
                      const char *key,
                      const char *path,
                      bool is_required,
                      char *out,
                      size_t size,
                      LcError *error)
{
  const json_t *value = json_object_get (object, key);
  char where[LC_PATH_MAX];

  (void)g_snprintf (where, sizeof where, "%s.%s", path, key);
  out[0] = '\0';
  if (value == NULL && !is_required)
    return 0;
  if (!json_is_string (value) || json_string_length (value) >= size ||
      strlen (json_string_value (value)) != json_string_length (value))
    return lc_json__set_expected (where, "a string that is not too long", error);
  (void)g_strlcpy (out, json_string_value (value), size);
  return 0;
}

static int
lc_json__read_u32 (const json_t *object,
                   const char *key,
                   const char *path,
                   uint32_t *out,
                   bool *is_there,
                   LcError *error)
{
  const json_t *value = json_object_get (object, key);
  char where[LC_PATH_MAX];

  *is_there = value != NULL;
  if (value == NULL)
    return 0;
  (void)g_snprintf (where, sizeof where, "%s.%s", path, key);
  if (!json_is_integer (value) || json_integer_value (value) < 0 ||
      json_integer_value (value) > UINT32_MAX)
    return lc_json__set_expected (where, "a whole number", error);
  *out = (uint32_t)json_integer_value (value);
  return 0;
}

static int
lc_json__read_array (
    const json_t *object, const char *key, const char *path, const json_t **array, LcError *error)
{
  char where[LC_PATH_MAX];

  (void)g_snprintf (where, sizeof where, "%s.%s", path, key);
  *array = json_object_get (object, key);
  if (*array == NULL)
    return 0;
  if (!json_is_array (*array) || json_array_size (*array) > LC_DECLARATION_MAX)
    return lc_json__set_expected (where, "a list of at most 1024", error);
  return 0;
}

/* === private: declarations ================================================================== */

/* "a.b.c.d:port/udp" */
static int
lc_json__read_socket_address (const json_t *value,
                              const char *path,
                              LcDeclaredAddress *address,
                              LcError *error)
{
  const char *text = json_string_value (value);
  const char *slash = text != NULL ? strrchr (text, '/') : NULL;
  LcSocketAddress socket = { 0 };
  char *host;
  int r;

  if (slash == NULL || (strcmp (slash, "/udp") != 0 && strcmp (slash, "/tcp") != 0))
    return lc_json__set_expected (path, "\"a.b.c.d:port/udp\" or \"a.b.c.d:port/tcp\"", error);
  host = g_strndup (text, (gsize)(slash - text));
  r = lc_settings_parse_address (host, &socket);
  g_free (host);
  if (r < 0)
    return lc_json__set_expected (path, "\"a.b.c.d:port/udp\" or \"a.b.c.d:port/tcp\"", error);
  address->ipv4 = socket.ipv4;
  address->port = socket.port;
  address->protocol = strcmp (slash, "/udp") == 0 ? LC_PROTOCOL_UDP : LC_PROTOCOL_TCP;
  return 0;
}

static int
lc_json__read_homes (const json_t *object,
                     const char *path,
                     char homes[LC_HOME_REGIONS_BYTES],
                     LcError *error)
{
  const json_t *array;
  int r = lc_json__read_array (object, "homes", path, &array, error);

  for (size_t i = 0; i < json_array_size (array) && r == 0; i++)
    {
      const char *region = json_string_value (json_array_get (array, i));

      r = lc_home_regions_add (homes, region != NULL ? region : "", error);
    }
  return r;
}

/* A string, or an object that also has the home regions, which alone get its new flows. */
static int
lc_json__read_address (const json_t *value,
                       const char *path,
                       LcDeclaredAddress *address,
                       LcError *error)
{
  static const char *const KNOWN[] = { "address", "homes", NULL };
  int r;

  if (!json_is_object (value))
    return lc_json__read_socket_address (value, path, address, error);
  r = lc_json__check_fields (value, path, KNOWN, error);
  if (r == 0)
    r = lc_json__read_socket_address (json_object_get (value, "address"), path, address, error);
  return r < 0 ? r : lc_json__read_homes (value, path, address->homes, error);
}

static int
lc_json__read_addresses (const json_t *object,
                         const char *path,
                         LcDeclaredService *s,
                         LcError *error)
{
  const json_t *array;
  int r = lc_json__read_array (object, "addresses", path, &array, error);

  if (r < 0 || array == NULL)
    return r;
  s->fields |= LC_DECLARED_ADDRESSES;
  s->n_addresses = (uint32_t)json_array_size (array);
  s->addresses = g_new0 (LcDeclaredAddress, MAX (s->n_addresses, 1));
  for (uint32_t i = 0; i < s->n_addresses && r == 0; i++)
    {
      char where[LC_PATH_MAX];

      (void)g_snprintf (where, sizeof where, "%s.addresses[%u]", path, i);
      r = lc_json__read_address (json_array_get (array, i), where, &s->addresses[i], error);
    }
  return r;
}

static int
lc_json__read_routes (const json_t *object, const char *path, LcDeclaredService *s, LcError *error)
{
  static const char *const KNOWN[] = { "host", "path_prefix", NULL };
  const json_t *array;
  int r = lc_json__read_array (object, "routes", path, &array, error);

  if (r < 0 || array == NULL)
    return r;
  s->fields |= LC_DECLARED_ROUTES;
  s->n_routes = (uint32_t)json_array_size (array);
  s->routes = g_new0 (LcDeclaredRoute, MAX (s->n_routes, 1));
  for (uint32_t i = 0; i < s->n_routes && r == 0; i++)
    {
      const json_t *route = json_array_get (array, i);
      char where[LC_PATH_MAX];

      (void)g_snprintf (where, sizeof where, "%s.routes[%u]", path, i);
      r = lc_json__check_fields (route, where, KNOWN, error);
      if (r == 0)
        r = lc_json__read_string (route, "host", where, false, s->routes[i].host, LC_PATH_MAX,
                                  error);
      if (r == 0)
        r = lc_json__read_string (route, "path_prefix", where, true, s->routes[i].path_prefix,
                                  LC_PATH_MAX, error);
    }
  return r;
}

static int
lc_json__read_cold_rate (const json_t *limits,
                         const char *path,
                         LcDeclaredService *s,
                         LcError *error)
{
  const json_t *rate = json_object_get (limits, "cold_requests_per_s");
  char where[LC_PATH_MAX];

  if (rate == NULL)
    return 0;
  (void)g_snprintf (where, sizeof where, "%s.cold_requests_per_s", path);
  if (!lc_intent_cold_rate (json_number_value (rate), &s->cold_rate_mrps) || !json_is_number (rate))
    return lc_json__set_expected (where, "a number from 0 to 1000000", error);
  s->fields |= LC_DECLARED_COLD_RATE;
  return 0;
}

static int
lc_json__read_limits (const json_t *object, const char *path, LcDeclaredService *s, LcError *error)
{
  static const char *const KNOWN[] = { "request_timeout_ms", "caller_limit", "retry_percent",
                                       "cold_requests_per_s", NULL };
  const json_t *limits = json_object_get (object, "limits");
  bool is_there = false;
  int r;

  if (limits == NULL)
    return 0;
  r = lc_json__check_fields (limits, path, KNOWN, error);
  if (r == 0)
    r = lc_json__read_u32 (limits, "request_timeout_ms", path, &s->request_timeout_ms, &is_there,
                           error);
  s->fields |= r == 0 && is_there ? LC_DECLARED_REQUEST_TIMEOUT : 0U;
  if (r == 0)
    r = lc_json__read_u32 (limits, "caller_limit", path, &s->caller_limit, &is_there, error);
  s->fields |= r == 0 && is_there ? LC_DECLARED_CALLER_LIMIT : 0U;
  if (r == 0)
    r = lc_json__read_u32 (limits, "retry_percent", path, &s->retry_percent, &is_there, error);
  s->fields |= r == 0 && is_there ? LC_DECLARED_RETRY_PERCENT : 0U;
  if (r == 0)
    r = lc_json__read_cold_rate (limits, path, s, error);
  return r;
}

static int
lc_json__read_objectives (const json_t *object,
                          const char *path,
                          LcDeclaredService *s,
                          LcError *error)
{
  static const char *const KNOWN[] = { "good_ppm", "latency_ms", NULL };
  const json_t *objectives = json_object_get (object, "objectives");
  bool is_there = false;
  int r;

  if (objectives == NULL)
    return 0;
  r = lc_json__check_fields (objectives, path, KNOWN, error);
  if (r == 0)
    r = lc_json__read_u32 (objectives, "good_ppm", path, &s->objective_ppm, &is_there, error);
  s->fields |= r == 0 && is_there ? LC_DECLARED_OBJECTIVE_PPM : 0U;
  if (r == 0)
    r = lc_json__read_u32 (objectives, "latency_ms", path, &s->objective_latency_ms, &is_there,
                           error);
  s->fields |= r == 0 && is_there ? LC_DECLARED_OBJECTIVE_LATENCY : 0U;
  return r;
}

static int
lc_json__read_service (const json_t *object, uint32_t index, LcDeclaredService *s, LcError *error)
{
  static const char *const KNOWN[] = { "name",       "addresses",       "routes", "limits",
                                       "objectives", "returns_packets", NULL };
  const json_t *returns = json_object_get (object, "returns_packets");
  char path[LC_PATH_MAX];
  int r;

  (void)g_snprintf (path, sizeof path, "$.services[%u]", index);
  r = lc_json__check_fields (object, path, KNOWN, error);
  if (r == 0)
    r = lc_json__read_string (object, "name", path, true, s->name, sizeof s->name, error);
  if (r == 0)
    r = lc_json__read_limits (object, path, s, error);
  if (r == 0)
    r = lc_json__read_objectives (object, path, s, error);
  if (r == 0 && returns != NULL && !json_is_boolean (returns))
    r = lc_error_set (error, LC_ERR_INVALID, "write true or false",
                      "%s.returns_packets is neither true nor false", path);
  s->fields |= returns != NULL ? LC_DECLARED_RETURNS_PACKETS : 0U;
  s->returns_packets = json_is_true (returns);
  if (r == 0)
    r = lc_json__read_addresses (object, path, s, error);
  return r < 0 ? r : lc_json__read_routes (object, path, s, error);
}

static int
lc_json__read_dcs (const json_t *object, LcDeclaration *d, LcError *error)
{
  static const char *const KNOWN[] = { "name", "region", NULL };
  const json_t *array;
  int r = lc_json__read_array (object, "data_centres", "$", &array, error);

  if (r < 0 || array == NULL)
    return r;
  d->n_dcs = (uint32_t)json_array_size (array);
  d->dcs = g_new0 (LcDeclaredDc, MAX (d->n_dcs, 1));
  for (uint32_t i = 0; i < d->n_dcs && r == 0; i++)
    {
      const json_t *dc = json_array_get (array, i);
      char path[LC_PATH_MAX];

      (void)g_snprintf (path, sizeof path, "$.data_centres[%u]", i);
      r = lc_json__check_fields (dc, path, KNOWN, error);
      if (r == 0)
        r = lc_json__read_string (dc, "name", path, true, d->dcs[i].name, LC_NAME_MAX, error);
      if (r == 0)
        r = lc_json__read_string (dc, "region", path, false, d->dcs[i].region, LC_NAME_MAX, error);
    }
  return r;
}

static int
lc_json__read_declaration (const json_t *object, LcDeclaration *d, LcError *error)
{
  static const char *const KNOWN[] = { "data_centres", "services", NULL };
  const json_t *array = NULL;
  int r = lc_json__check_fields (object, "$", KNOWN, error);

  if (r == 0)
    r = lc_json__read_dcs (object, d, error);
  if (r == 0)
    r = lc_json__read_array (object, "services", "$", &array, error);
  if (r < 0 || array == NULL)
    return r;
  d->n_services = (uint32_t)json_array_size (array);
  d->services = g_new0 (LcDeclaredService, MAX (d->n_services, 1));
  for (uint32_t i = 0; i < d->n_services && r == 0; i++)
    r = lc_json__read_service (json_array_get (array, i), i, &d->services[i], error);
  return r;
}

/* === private: requests ====================================================================== */

static int
lc_json__read_replacement (const json_t *object, LcControlAddress *out, LcError *error)
{
  static const char *const KNOWN[] = { "name", "address", "http_port", NULL };
  LcSocketAddress address = { 0 };
  uint32_t http_port = 0;
  bool is_there = false;
  char text[LC_NAME_MAX];
  int r = lc_json__check_fields (object, "with", KNOWN, error);

  if (r == 0)
    r = lc_json__read_string (object, "name", "with", true, out->name, sizeof out->name, error);
  if (r == 0)
    r = lc_json__read_string (object, "address", "with", true, text, sizeof text, error);
  if (r == 0 && lc_settings_parse_address (text, &address) < 0)
    r = lc_json__set_expected ("with.address", "\"a.b.c.d:port\"", error);
  if (r == 0)
    r = lc_json__read_u32 (object, "http_port", "with", &http_port, &is_there, error);
  out->ipv4 = address.ipv4;
  out->peer_port = address.port;
  out->http_port = (uint16_t)http_port;
  return r;
}

static int
lc_json__read_intent (const json_t *root, LcIntent *intent, LcError *error)
{
  const json_t *declaration = json_object_get (root, "declaration");
  const json_t *with = json_object_get (root, "with");
  char word[LC_NAME_MAX];
  int r = lc_json__read_string (root, "intent", "request", true, word, sizeof word, error);

  if (r < 0)
    return r;
  intent->kind = lc_intent_kind_parse (word);
  intent->allow_empty = json_is_true (json_object_get (root, "allow_empty"));
  intent->allow_cut = json_is_true (json_object_get (root, "allow_cut"));
  r = lc_json__read_string (root, "target", "request", false, intent->target, LC_NAME_MAX, error);
  if (r == 0 && declaration != NULL)
    r = lc_json__read_declaration (declaration, &intent->declaration, error);
  if (r == 0 && with != NULL)
    r = lc_json__read_replacement (with, &intent->replacement, error);
  return r < 0 ? r : lc_intent_check (intent, error);
}

static int
lc_json__read_header (const json_t *root, LcControlCommand *command, LcError *error)
{
  int r = lc_json__read_string (root, "request_id", "request", true, command->request_id,
                                sizeof command->request_id, error);

  if (r == 0)
    r = lc_json__read_string (root, "who", "request", true, command->who, sizeof command->who,
                              error);
  if (r == 0 && command->request_id[0] == '\0')
    r = lc_json__set_expected ("request.request_id", "a unique string", error);
  return r;
}

static json_t *
lc_json__parse (const char *body, size_t len, const char *const *known, int *r, LcError *error)
{
  json_error_t where;
  json_t *root = json_loadb (body, len, JSON_REJECT_DUPLICATES, &where);

  if (root == NULL)
    *r = lc_error_set (error, LC_ERR_INVALID, "correct the JSON at that place",
                       "line %d, column %d: %s", where.line, where.column, where.text);
  else
    *r = lc_json__check_fields (root, "request", known, error);
  return root;
}

int
lc_control_json_read_plan (LcControlCommand *command, const char *body, size_t len, LcError *error)
{
  static const char *const KNOWN[] = { "request_id",  "who",         "intent",
                                       "target",      "allow_empty", "allow_cut",
                                       "declaration", "with",        NULL };
  int r = 0;
  json_t *root = lc_json__parse (body, len, KNOWN, &r, error);

  memset (command, 0, sizeof *command);
  command->kind = LC_COMMAND_PLAN;
  if (r == 0)
    r = lc_json__read_header (root, command, error);
  if (r == 0)
    r = lc_json__read_intent (root, &command->intent, error);
  json_decref (root);
  if (r < 0)
    lc_control_command_finish (command);
  return r;
}

int
lc_control_json_read_confirm (LcControlCommand *command,
                              const char *body,
                              size_t len,
                              LcError *error)
{
  static const char *const KNOWN[] = { "request_id", "who", "plan_id", NULL };
  int r = 0;
  json_t *root = lc_json__parse (body, len, KNOWN, &r, error);
  const json_t *id;

  memset (command, 0, sizeof *command);
  command->kind = LC_COMMAND_CONFIRM;
  if (r == 0)
    r = lc_json__read_header (root, command, error);
  id = json_object_get (root, "plan_id");
  if (r == 0 && (!json_is_integer (id) || json_integer_value (id) <= 0))
    r = lc_json__set_expected ("request.plan_id", "the number of a plan", error);
  if (r == 0)
    command->plan_id = (uint64_t)json_integer_value (id);
  json_decref (root);
  return r;
}

int
lc_control_json_read_evacuation (LcControlCommand *command,
                                 const char *body,
                                 size_t len,
                                 LcError *error)
{
  static const char *const KNOWN[] = { "request_id", "who",         "data_centre",
                                       "is_wanted",  "allow_empty", NULL };
  int r = 0;
  json_t *root = lc_json__parse (body, len, KNOWN, &r, error);
  const json_t *is_wanted = json_object_get (root, "is_wanted");
  LcEvacuation *order = &command->evacuation;

  memset (command, 0, sizeof *command);
  command->kind = LC_COMMAND_EVACUATE;
  if (r == 0)
    r = lc_json__read_header (root, command, error);
  if (r == 0)
    r = lc_json__read_string (root, "data_centre", "request", true, order->data_centre, LC_NAME_MAX,
                              error);
  if (r == 0 && order->data_centre[0] == '\0')
    r = lc_json__set_expected ("request.data_centre", "the name of a data centre", error);
  if (r == 0 && !json_is_boolean (is_wanted))
    r = lc_json__set_expected ("request.is_wanted", "true to begin, false to end", error);
  order->is_wanted = json_is_true (is_wanted);
  order->allow_empty = json_is_true (json_object_get (root, "allow_empty"));
  json_decref (root);
  return r;
}
