#include "lc-intent.h"

#include <glib.h>
#include <string.h>

static const char *const LC_INTENT_NAMES[] = {
  [LC_INTENT_OPEN_MARKET] = "open-market",
  [LC_INTENT_APPLY] = "apply",
  [LC_INTENT_CHANGE_RULE] = "change-rule",
  [LC_INTENT_RETIRE_DATA_CENTRE] = "retire-data-centre",
  [LC_INTENT_RESTORE_DATA_CENTRE] = "restore-data-centre",
  [LC_INTENT_DRAIN] = "drain",
  [LC_INTENT_UNDRAIN] = "undrain",
  [LC_INTENT_REPLACE_CONTROL_VM] = "replace-control-vm",
};

enum
{
  LC_INTENT_PERCENT_MAX = 100,
  LC_INTENT_PPM_MAX = 1000000,
  LC_INTENT_CALLER_LIMIT_MAX = 1000000,
};

/* === names ================================================================================== */

const char *
lc_intent_kind_name (LcIntentKind kind)
{
  if (kind < LC_INTENT_OPEN_MARKET || kind > LC_INTENT_REPLACE_CONTROL_VM)
    return "unknown";
  return LC_INTENT_NAMES[kind];
}

LcIntentKind
lc_intent_kind_parse (const char *word)
{
  for (int kind = LC_INTENT_OPEN_MARKET; kind <= LC_INTENT_REPLACE_CONTROL_VM; kind++)
    if (strcmp (word, LC_INTENT_NAMES[kind]) == 0)
      return (LcIntentKind)kind;
  return (LcIntentKind)0;
}

/* === copies ================================================================================= */

void
lc_intent_copy (LcIntent *to, const LcIntent *from)
{
  LcDeclaration *d = &to->declaration;

  *to = *from;
  d->dcs = g_memdup2 (d->dcs, d->n_dcs * sizeof *d->dcs);
  d->services = g_memdup2 (d->services, d->n_services * sizeof *d->services);
  for (uint32_t i = 0; i < d->n_services; i++)
    {
      LcDeclaredService *s = &d->services[i];

      s->addresses = g_memdup2 (s->addresses, s->n_addresses * sizeof *s->addresses);
      s->routes = g_memdup2 (s->routes, s->n_routes * sizeof *s->routes);
    }
}

void
lc_intent_drop_declaration (LcIntent *intent)
{
  LcDeclaration *d = &intent->declaration;

  for (uint32_t i = 0; i < d->n_services; i++)
    {
      g_free (d->services[i].addresses);
      g_free (d->services[i].routes);
    }
  g_free (d->services);
  g_free (d->dcs);
  memset (d, 0, sizeof *d);
}

void
lc_intent_finish (LcIntent *intent)
{
  lc_intent_drop_declaration (intent);
  memset (intent, 0, sizeof *intent);
}

/* === checks ================================================================================= */

static int
lc_intent__check_name (const char *name, const char *what, LcError *error)
{
  size_t len = strlen (name);
  static const char ALLOWED[] = "abcdefghijklmnopqrstuvwxyz0123456789.-_";

  if (len == 0 || len >= LC_NAME_MAX || strspn (name, ALLOWED) != len)
    return lc_error_set (error, LC_ERR_INVALID,
                         "use 1 to 47 of a-z, 0-9, '.', '-' and '_' for names",
                         "\"%.60s\" is no name of a %s", name, what);
  return 0;
}

static int
lc_intent__check_range (
    const char *service, const char *field, uint32_t value, uint32_t max, LcError *error)
{
  if (value <= max)
    return 0;
  return lc_error_set (error, LC_ERR_INVALID, "give a value within the documented range",
                       "service %s: %s is %u, over %u", service, field, value, max);
}

/* A rate over 0 is never rounded down to 0, which means unset. */
bool
lc_intent_cold_rate (double requests_per_s, uint32_t *rate_mrps)
{
  double mrps = requests_per_s * LC_INTENT_MILLI;

  if (!(mrps >= 0 && mrps <= LC_INTENT_COLD_RATE_MRPS_MAX))
    return false;
  *rate_mrps = mrps > 0 && mrps < 1 ? 1 : (uint32_t)mrps;
  return true;
}

static int
lc_intent__check_routes (const LcDeclaredService *s, LcError *error)
{
  for (uint32_t i = 0; i < s->n_routes; i++)
    {
      if (s->routes[i].path_prefix[0] != '/')
        return lc_error_set (error, LC_ERR_INVALID, "start path_prefix with '/'",
                             "service %s: path_prefix \"%s\" is no path", s->name,
                             s->routes[i].path_prefix);
      for (uint32_t k = 0; k < i; k++)
        if (strcmp (s->routes[i].path_prefix, s->routes[k].path_prefix) == 0 &&
            g_ascii_strcasecmp (s->routes[i].host, s->routes[k].host) == 0)
          return lc_error_set (error, LC_ERR_INVALID, "name each route once",
                               "service %s: route \"%s%s\" is there twice", s->name,
                               s->routes[i].host, s->routes[i].path_prefix);
    }
  return 0;
}

static int
lc_intent__check_addresses (const LcDeclaredService *s, LcError *error)
{
  for (uint32_t i = 0; i < s->n_addresses; i++)
    {
      const LcDeclaredAddress *a = &s->addresses[i];

      if (a->ipv4 == 0 || a->port == 0 ||
          (a->protocol != LC_PROTOCOL_TCP && a->protocol != LC_PROTOCOL_UDP))
        return lc_error_set (error, LC_ERR_INVALID, "write addresses as \"a.b.c.d:port/udp\"",
                             "service %s: address %u is incomplete", s->name, i + 1);
      for (uint32_t k = 0; k < i; k++)
        if (a->ipv4 == s->addresses[k].ipv4 && a->port == s->addresses[k].port &&
            a->protocol == s->addresses[k].protocol)
          return lc_error_set (error, LC_ERR_INVALID, "name each address once",
                               "service %s: address %u is there twice", s->name, i + 1);
    }
  return 0;
}

static int
lc_intent__check_service (const LcDeclaredService *s, LcError *error)
{
  int r = lc_intent__check_name (s->name, "service", error);

  if (r == 0)
    r = lc_intent__check_range (s->name, "request_timeout_ms", s->request_timeout_ms,
                                LC_INTENT_TIMEOUT_MS_MAX, error);
  if (r == 0)
    r = lc_intent__check_range (s->name, "caller_limit", s->caller_limit,
                                LC_INTENT_CALLER_LIMIT_MAX, error);
  if (r == 0)
    r = lc_intent__check_range (s->name, "retry_percent", s->retry_percent, LC_INTENT_PERCENT_MAX,
                                error);
  if (r == 0)
    r = lc_intent__check_range (s->name, "good_ppm", s->objective_ppm, LC_INTENT_PPM_MAX, error);
  if (r == 0)
    r = lc_intent__check_range (s->name, "latency_ms", s->objective_latency_ms,
                                LC_INTENT_TIMEOUT_MS_MAX, error);
  if (r == 0)
    r = lc_intent__check_range (s->name, "cold_requests_per_s", s->cold_rate_mrps,
                                LC_INTENT_COLD_RATE_MRPS_MAX, error);
  if (r == 0)
    r = lc_intent__check_routes (s, error);
  /* At-most-once execution of requests rests on claims, which follow the former sets of members. */
  if (r == 0 && s->returns_packets && s->n_routes > 0)
    r = lc_error_set (error, LC_ERR_INVALID, "give the routes to a service of their own",
                      "service %s: its backend servers return packets, so it takes no routes",
                      s->name);
  return r < 0 ? r : lc_intent__check_addresses (s, error);
}

static int
lc_intent__check_declaration (const LcDeclaration *d, LcError *error)
{
  int r = 0;

  if (d->n_services == 0 && d->n_dcs == 0)
    return lc_error_set (error, LC_ERR_INVALID, "name services or data centres in the file",
                         "the declaration is empty");
  for (uint32_t i = 0; i < d->n_dcs && r == 0; i++)
    {
      r = lc_intent__check_name (d->dcs[i].name, "data centre", error);
      for (uint32_t k = 0; k < i && r == 0; k++)
        if (strcmp (d->dcs[i].name, d->dcs[k].name) == 0)
          r = lc_error_set (error, LC_ERR_INVALID, "name each data centre once",
                            "data centre %s is there twice", d->dcs[i].name);
    }
  for (uint32_t i = 0; i < d->n_services && r == 0; i++)
    {
      r = lc_intent__check_service (&d->services[i], error);
      for (uint32_t k = 0; k < i && r == 0; k++)
        if (strcmp (d->services[i].name, d->services[k].name) == 0)
          r = lc_error_set (error, LC_ERR_INVALID, "name each service once",
                            "service %s is there twice", d->services[i].name);
    }
  return r;
}

int
lc_intent_check (const LcIntent *intent, LcError *error)
{
  int r;

  switch (intent->kind)
    {
    case LC_INTENT_OPEN_MARKET:
    case LC_INTENT_APPLY:
    case LC_INTENT_CHANGE_RULE:
      return lc_intent__check_declaration (&intent->declaration, error);
    case LC_INTENT_RETIRE_DATA_CENTRE:
    case LC_INTENT_RESTORE_DATA_CENTRE:
      return lc_intent__check_name (intent->target, "data centre", error);
    case LC_INTENT_DRAIN:
    case LC_INTENT_UNDRAIN:
      return lc_intent__check_name (intent->target, "endpoint", error);
    case LC_INTENT_REPLACE_CONTROL_VM:
      r = lc_intent__check_name (intent->target, "control VM", error);
      if (r == 0)
        r = lc_intent__check_name (intent->replacement.name, "control VM", error);
      if (r == 0 && (intent->replacement.ipv4 == 0 || intent->replacement.peer_port == 0))
        r = lc_error_set (error, LC_ERR_INVALID, "give --with NAME=ADDRESS:PORT",
                          "the replacement has no address");
      return r;
    }
  return lc_error_set (error, LC_ERR_INVALID, "see `lychee plan --help` for the intents",
                       "intent %d is unknown", (int)intent->kind);
}
