#include "lc-codec-private.h"

#include "io/lc-wire-view.h"

/* === intents ================================================================================ */

static void
lc_codec__write_service (LcArena *arena, Lc__Wire__DeclaredService *m, const LcDeclaredService *s)
{
  Lc__Wire__DeclaredAddress *addresses = lc_codec__alloc (arena, s->n_addresses, sizeof *addresses);
  Lc__Wire__DeclaredRoute *routes = lc_codec__alloc (arena, s->n_routes, sizeof *routes);

  lc__wire__declared_service__init (m);
  m->name = (char *)s->name;
  m->fields = s->fields;
  m->request_timeout_ms = s->request_timeout_ms;
  m->caller_limit = s->caller_limit;
  m->retry_percent = s->retry_percent;
  m->objective_ppm = s->objective_ppm;
  m->objective_latency_ms = s->objective_latency_ms;
  m->cold_rate_mrps = s->cold_rate_mrps;
  m->returns_packets = s->returns_packets;
  m->idle_timeout_ms = s->idle_timeout_ms;
  m->n_addresses = s->n_addresses;
  m->addresses = lc_codec__alloc_pointers (arena, s->n_addresses);
  for (uint32_t i = 0; i < s->n_addresses; i++)
    {
      lc__wire__declared_address__init (&addresses[i]);
      addresses[i].ipv4 = s->addresses[i].ipv4;
      addresses[i].port = s->addresses[i].port;
      addresses[i].protocol = s->addresses[i].protocol;
      addresses[i].homes = (char *)s->addresses[i].homes;
      m->addresses[i] = &addresses[i];
    }
  m->n_routes = s->n_routes;
  m->routes = lc_codec__alloc_pointers (arena, s->n_routes);
  for (uint32_t i = 0; i < s->n_routes; i++)
    {
      lc__wire__declared_route__init (&routes[i]);
      routes[i].host = s->routes[i].host;
      routes[i].path_prefix = s->routes[i].path_prefix;
      m->routes[i] = &routes[i];
    }
}

Lc__Wire__Intent *
lc_codec__write_intent (LcArena *arena, const LcIntent *intent)
{
  const LcDeclaration *d = &intent->declaration;
  Lc__Wire__Intent *m = lc_codec__alloc (arena, 1, sizeof *m);
  Lc__Wire__DeclaredDc *dcs = lc_codec__alloc (arena, d->n_dcs, sizeof *dcs);
  Lc__Wire__DeclaredService *services = lc_codec__alloc (arena, d->n_services, sizeof *services);

  lc__wire__intent__init (m);
  m->kind = intent->kind;
  m->target = (char *)intent->target;
  m->allow_empty = intent->allow_empty;
  m->allow_cut = intent->allow_cut;
  m->replacement_name = (char *)intent->replacement.name;
  m->replacement_ipv4 = intent->replacement.ipv4;
  m->replacement_peer_port = intent->replacement.peer_port;
  m->replacement_http_port = intent->replacement.http_port;
  m->n_dcs = d->n_dcs;
  m->dcs = lc_codec__alloc_pointers (arena, d->n_dcs);
  for (uint32_t i = 0; i < d->n_dcs; i++)
    {
      lc__wire__declared_dc__init (&dcs[i]);
      dcs[i].name = d->dcs[i].name;
      dcs[i].region = d->dcs[i].region;
      m->dcs[i] = &dcs[i];
    }
  m->n_services = d->n_services;
  m->services = lc_codec__alloc_pointers (arena, d->n_services);
  for (uint32_t i = 0; i < d->n_services; i++)
    {
      lc_codec__write_service (arena, &services[i], &d->services[i]);
      m->services[i] = &services[i];
    }
  return m;
}

static bool
lc_codec__read_service (LcDeclaredService *s, const Lc__Wire__DeclaredService *m)
{
  bool ok = lc_codec__copy (s->name, sizeof s->name, m->name) &&
            m->n_addresses <= LC_DECLARATION_MAX && m->n_routes <= LC_DECLARATION_MAX;

  if (!ok)
    return false;
  s->fields = m->fields;
  s->request_timeout_ms = m->request_timeout_ms;
  s->caller_limit = m->caller_limit;
  s->retry_percent = m->retry_percent;
  s->objective_ppm = m->objective_ppm;
  s->objective_latency_ms = m->objective_latency_ms;
  s->cold_rate_mrps = m->cold_rate_mrps;
  s->returns_packets = m->returns_packets;
  s->idle_timeout_ms = m->idle_timeout_ms;
  s->n_addresses = (uint32_t)m->n_addresses;
  s->addresses = g_new0 (LcDeclaredAddress, m->n_addresses);
  for (size_t i = 0; i < m->n_addresses; i++)
    {
      s->addresses[i].ipv4 = m->addresses[i]->ipv4;
      s->addresses[i].port = (uint16_t)m->addresses[i]->port;
      s->addresses[i].protocol = (uint8_t)m->addresses[i]->protocol;
      ok = ok &&
           lc_codec__copy (s->addresses[i].homes, LC_HOME_REGIONS_BYTES, m->addresses[i]->homes);
    }
  s->n_routes = (uint32_t)m->n_routes;
  s->routes = g_new0 (LcDeclaredRoute, m->n_routes);
  for (size_t i = 0; i < m->n_routes; i++)
    ok = ok && lc_codec__copy (s->routes[i].host, LC_PATH_MAX, m->routes[i]->host) &&
         lc_codec__copy (s->routes[i].path_prefix, LC_PATH_MAX, m->routes[i]->path_prefix);
  return ok;
}

bool
lc_codec__read_intent (LcIntent *intent, const Lc__Wire__Intent *m)
{
  LcDeclaration *d = &intent->declaration;
  bool ok = m != NULL && m->n_dcs <= LC_DECLARATION_MAX && m->n_services <= LC_DECLARATION_MAX;

  if (!ok)
    return false;
  intent->kind = (LcIntentKind)m->kind;
  intent->allow_empty = m->allow_empty;
  intent->allow_cut = m->allow_cut;
  intent->replacement.ipv4 = m->replacement_ipv4;
  intent->replacement.peer_port = (uint16_t)m->replacement_peer_port;
  intent->replacement.http_port = (uint16_t)m->replacement_http_port;
  ok = lc_codec__copy (intent->target, sizeof intent->target, m->target) &&
       lc_codec__copy (intent->replacement.name, LC_NAME_MAX, m->replacement_name);
  d->n_dcs = (uint32_t)m->n_dcs;
  d->dcs = g_new0 (LcDeclaredDc, m->n_dcs);
  for (size_t i = 0; i < m->n_dcs; i++)
    ok = ok && lc_codec__copy (d->dcs[i].name, LC_NAME_MAX, m->dcs[i]->name) &&
         lc_codec__copy (d->dcs[i].region, LC_NAME_MAX, m->dcs[i]->region);
  d->n_services = (uint32_t)m->n_services;
  d->services = g_new0 (LcDeclaredService, m->n_services);
  for (size_t i = 0; i < m->n_services && ok; i++)
    ok = lc_codec__read_service (&d->services[i], m->services[i]);
  return ok;
}

/* === commands =============================================================================== */

static Lc__Wire__CommandMember *
lc_codec__write_member (LcArena *arena, const LcMemberChange *change)
{
  Lc__Wire__CommandMember *m = lc_codec__alloc (arena, 1, sizeof *m);

  lc__wire__command_member__init (m);
  m->kind = change->kind;
  m->data_centre = (char *)change->data_centre;
  m->service = (char *)change->service;
  m->region = (char *)change->region;
  if (change->kind == LC_MEMBER_SETTLED)
    {
      m->settled_revision = change->settled_revision;
      m->expired_revision = change->expired_revision;
    }
  else if (change->kind <= LC_MEMBER_ENDPOINT_LOST)
    {
      m->endpoint = lc_codec__alloc (arena, 1, sizeof *m->endpoint);
      lc_wire_endpoint_write (m->endpoint, &change->endpoint);
    }
  else
    {
      m->balancer = lc_codec__alloc (arena, 1, sizeof *m->balancer);
      lc_wire_balancer_write (m->balancer, &change->balancer);
    }
  return m;
}

static bool
lc_codec__read_member (LcMemberChange *change, const Lc__Wire__CommandMember *m)
{
  if (m == NULL || m->kind < LC_MEMBER_ENDPOINT_ANNOUNCED || m->kind > LC_MEMBER_SETTLED ||
      !lc_codec__copy (change->data_centre, LC_NAME_MAX, m->data_centre) ||
      !lc_codec__copy (change->service, LC_NAME_MAX, m->service) ||
      !lc_codec__copy (change->region, LC_NAME_MAX, m->region))
    return false;
  change->kind = (LcMemberChangeKind)m->kind;
  if (change->kind == LC_MEMBER_SETTLED)
    {
      change->settled_revision = m->settled_revision;
      change->expired_revision = m->expired_revision;
      return true;
    }
  if (change->kind <= LC_MEMBER_ENDPOINT_LOST)
    return m->endpoint != NULL && lc_wire_endpoint_read (&change->endpoint, m->endpoint, NULL) == 0;
  return m->balancer != NULL && lc_wire_balancer_read (&change->balancer, m->balancer, NULL) == 0;
}

static void
lc_codec__write_changes (LcArena *arena, Lc__Wire__Command *m, const LcControlCommand *command)
{
  m->n_changes = command->changes.n;
  m->changes = lc_codec__alloc_pointers (arena, command->changes.n);
  for (uint32_t i = 0; i < command->changes.n; i++)
    m->changes[i] = lc_codec__write_member (arena, &command->changes.items[i]);
}

static bool
lc_codec__read_changes (LcControlCommand *command, const Lc__Wire__Command *m)
{
  bool ok = m->n_changes > 0 && m->n_changes <= LC_MEMBER_CHANGES_MAX;

  if (!ok)
    return false;
  command->changes.items = g_new0 (LcMemberChange, m->n_changes);
  command->changes.n = (uint32_t)m->n_changes;
  for (size_t i = 0; i < m->n_changes; i++)
    ok = ok && lc_codec__read_member (&command->changes.items[i], m->changes[i]);
  return ok;
}

static Lc__Wire__NumberedDeclaration *
lc_codec__write_numbered (LcArena *arena, const LcNumberedDeclaration *n)
{
  Lc__Wire__NumberedDeclaration *m = lc_codec__alloc (arena, 1, sizeof *m);
  LcIntent intent = { .kind = LC_INTENT_APPLY, .declaration = n->declaration };

  lc__wire__numbered_declaration__init (m);
  m->number = n->number;
  m->intent = lc_codec__write_intent (arena, &intent);
  m->document = lc_codec__binary (n->document);
  return m;
}

static bool
lc_codec__read_numbered (LcNumberedDeclaration *n, const Lc__Wire__NumberedDeclaration *m)
{
  LcIntent intent = { 0 };
  bool ok;

  if (m == NULL || m->number == 0)
    return false;
  ok = lc_codec__read_intent (&intent, m->intent);
  n->number = m->number;
  n->declaration = intent.declaration;
  n->document = g_bytes_new (m->document.data, m->document.len);
  return ok;
}

static Lc__Wire__Evacuation *
lc_codec__write_evacuation (LcArena *arena, const LcEvacuation *order)
{
  Lc__Wire__Evacuation *m = lc_codec__alloc (arena, 1, sizeof *m);

  lc__wire__evacuation__init (m);
  m->data_centre = (char *)order->data_centre;
  m->is_wanted = order->is_wanted;
  m->allow_empty = order->allow_empty;
  m->seen_revision = order->seen_revision;
  return m;
}

static bool
lc_codec__read_evacuation (LcEvacuation *order, const Lc__Wire__Evacuation *m)
{
  if (m == NULL || m->data_centre[0] == '\0' ||
      !lc_codec__copy (order->data_centre, LC_NAME_MAX, m->data_centre))
    return false;
  order->is_wanted = m->is_wanted;
  order->allow_empty = m->allow_empty;
  order->seen_revision = m->seen_revision;
  return true;
}

GBytes *
lc_control_command_pack (const LcControlCommand *command)
{
  LcArena *arena = lc_codec__arena ();
  Lc__Wire__Command m = LC__WIRE__COMMAND__INIT;
  GBytes *bytes;

  m.kind = command->kind;
  m.request_id = (char *)command->request_id;
  m.who = (char *)command->who;
  m.wall_us = command->wall_us;
  switch (command->kind)
    {
    case LC_COMMAND_PLAN:
      m.intent = lc_codec__write_intent (arena, &command->intent);
      break;
    case LC_COMMAND_CONFIRM:
    case LC_COMMAND_REPLACED:
      m.plan_id = command->plan_id;
      break;
    case LC_COMMAND_MEMBER:
      m.member = lc_codec__write_member (arena, &command->member);
      break;
    case LC_COMMAND_CHANGES:
      lc_codec__write_changes (arena, &m, command);
      break;
    case LC_COMMAND_NUMBERED:
      m.numbered = lc_codec__write_numbered (arena, &command->numbered);
      break;
    case LC_COMMAND_EVACUATE:
      m.evacuation = lc_codec__write_evacuation (arena, &command->evacuation);
      break;
    }
  bytes = lc_codec__pack (&m.base);
  g_ptr_array_unref (arena);
  return bytes;
}

static bool
lc_codec__read_command (LcControlCommand *command, const Lc__Wire__Command *m)
{
  if (!lc_codec__copy (command->request_id, LC_NAME_MAX, m->request_id) ||
      !lc_codec__copy (command->who, LC_NAME_MAX, m->who))
    return false;
  command->kind = (LcControlCommandKind)m->kind;
  command->wall_us = m->wall_us;
  switch (m->kind)
    {
    case LC_COMMAND_PLAN:
      return command->request_id[0] != '\0' && lc_codec__read_intent (&command->intent, m->intent);
    case LC_COMMAND_CONFIRM:
      command->plan_id = m->plan_id;
      return command->request_id[0] != '\0';
    case LC_COMMAND_MEMBER:
      return lc_codec__read_member (&command->member, m->member);
    case LC_COMMAND_CHANGES:
      return lc_codec__read_changes (command, m);
    case LC_COMMAND_REPLACED:
      command->plan_id = m->plan_id;
      return true;
    case LC_COMMAND_NUMBERED:
      return lc_codec__read_numbered (&command->numbered, m->numbered);
    case LC_COMMAND_EVACUATE:
      return command->request_id[0] != '\0' &&
             lc_codec__read_evacuation (&command->evacuation, m->evacuation);
    default:
      return false;
    }
}

int
lc_control_command_unpack (LcControlCommand *command,
                           const uint8_t *bytes,
                           size_t len,
                           LcError *error)
{
  Lc__Wire__Command *m = lc__wire__command__unpack (NULL, len, bytes);
  bool ok;

  memset (command, 0, sizeof *command);
  if (m == NULL)
    return lc_codec__set_malformed (error, "a command");
  ok = lc_codec__read_command (command, m);
  lc__wire__command__free_unpacked (m, NULL);
  if (ok)
    return 0;
  lc_control_command_finish (command);
  return lc_codec__set_malformed (error, "a command");
}
