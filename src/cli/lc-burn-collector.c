#include "lc-burn-collector.h"

#include "io/lc-clock.h"
#include "lc-cli-client.h"

#include <string.h>

typedef struct
{
  char name[LC_NAME_MAX];
  LcSocketAddress address;
  json_t *answer; /* NULL: none */
  int64_t at_us;
} LcBurnProcess;

void
lc_burn_collector_init (LcBurnCollector *collector)
{
  memset (collector, 0, sizeof *collector);
  collector->merge = lc_burn_merge_new ();
  collector->services = g_array_new (FALSE, TRUE, sizeof (LcBurnServiceRow));
  collector->data_centres = g_ptr_array_new_with_free_func (g_free);
  collector->unanswered = g_ptr_array_new_with_free_func (g_free);
  collector->now_us = lc_clock_wall_us ();
}

void
lc_burn_collector_finish (LcBurnCollector *collector)
{
  lc_burn_merge_free (collector->merge);
  g_array_free (collector->services, TRUE);
  g_ptr_array_free (collector->data_centres, TRUE);
  g_ptr_array_free (collector->unanswered, TRUE);
}

/* === private: one answer ==================================================================== */

static const char *
lc_burn_collector__text (const json_t *object, const char *key)
{
  return json_string_value (json_object_get (object, key));
}

/* An answer names its counters in order, so that another version may have more of them. */
static bool
lc_burn_collector__find_columns (const json_t *answer, size_t columns[LC_N_BURN_COUNTERS])
{
  const json_t *names = json_object_get (answer, "counters");

  for (int i = 0; i < LC_N_BURN_COUNTERS; i++)
    {
      size_t at = 0;

      while (at < json_array_size (names) &&
             g_strcmp0 (json_string_value (json_array_get (names, at)),
                        lc_burn_counter_name ((LcBurnCounter)i)) != 0)
        at++;
      if (at == json_array_size (names))
        return false;
      columns[i] = at + 1; /* the first number of a sample is its uptime */
    }
  return true;
}

static bool
lc_burn_collector__read_sample (LcBurnSample *sample, const json_t *row, const size_t *columns)
{
  if (!json_is_integer (json_array_get (row, 0)))
    return false;
  sample->uptime_us = json_integer_value (json_array_get (row, 0));
  for (int i = 0; i < LC_N_BURN_COUNTERS; i++)
    {
      const json_t *value = json_array_get (row, columns[i]);

      if (!json_is_integer (value) || json_integer_value (value) < 0)
        return false;
      sample->counts.values[i] = (uint64_t)json_integer_value (value);
    }
  return true;
}

static bool
lc_burn_collector__add_samples (LcBurnCollector *collector,
                                const json_t *service,
                                LcBurnKey *key,
                                const size_t *columns,
                                int64_t at_us,
                                int64_t uptime_us)
{
  const json_t *samples = json_object_get (service, "samples");
  size_t i;
  json_t *row;

  key->service = lc_burn_collector__text (service, "name");
  if (key->service == NULL || !json_is_array (samples))
    return false;
  json_array_foreach (samples, i, row)
  {
    LcBurnSample sample;

    if (!lc_burn_collector__read_sample (&sample, row, columns))
      return false;
    (void)lc_burn_merge_add (collector->merge, key, at_us, uptime_us, &sample);
  }
  return true;
}

bool
lc_burn_collector_add_answer (LcBurnCollector *collector, const json_t *answer, int64_t at_us)
{
  const json_t *services = json_object_get (answer, "services");
  const char *instance = lc_burn_collector__text (answer, "instance");
  LcBurnKey key = { .process = lc_burn_collector__text (answer, "process"),
                    .data_centre = lc_burn_collector__text (answer, "data_centre") };
  int64_t uptime_us = json_integer_value (json_object_get (answer, "uptime_us"));
  size_t columns[LC_N_BURN_COUNTERS];
  size_t i;
  json_t *service;

  if (instance == NULL || key.process == NULL || key.data_centre == NULL ||
      !lc_burn_collector__find_columns (answer, columns))
    return false;
  key.instance = g_ascii_strtoull (instance, NULL, 16);
  key.weight_percent = (uint32_t)json_integer_value (json_object_get (answer, "weight_percent"));
  json_array_foreach (services, i, service)
  {
    if (!lc_burn_collector__add_samples (collector, service, &key, columns, at_us, uptime_us))
      return false;
  }
  return true;
}

/* === private: queries ======================================================================= */

static void
lc_burn_collector__query (gpointer data, gpointer user)
{
  LcBurnProcess *process = data;
  LcCliClient client = { .addresses = { process->address },
                         .n_addresses = 1,
                         .timeout_ms = LC_BURN_QUERY_TIMEOUT_MS };
  LcError error = { 0 };

  (void)user;
  if (lc_cli_client_call (&client, "GET", "/v1/burn", NULL, &process->answer, &error) < 0)
    process->answer = NULL;
  process->at_us = lc_clock_wall_us ();
}

static void
lc_burn_collector__list_processes (GArray *processes, const json_t *list, uint16_t admin_port)
{
  size_t i;
  json_t *one;

  json_array_foreach (list, i, one)
  {
    LcBurnProcess process = { 0 };
    const char *address = lc_burn_collector__text (one, "address");
    const char *name = lc_burn_collector__text (one, "name");

    if (address == NULL || lc_settings_parse_address (address, &process.address) < 0)
      continue;
    process.address.port = admin_port;
    (void)g_strlcpy (process.name, name != NULL ? name : "", sizeof process.name);
    g_array_append_val (processes, process);
  }
}

static void
lc_burn_collector__query_list (GArray *processes)
{
  GThreadPool *pool =
      g_thread_pool_new (lc_burn_collector__query, NULL, LC_BURN_THREADS_MAX, FALSE, NULL);

  for (guint i = 0; i < processes->len; i++)
    (void)g_thread_pool_push (pool, &g_array_index (processes, LcBurnProcess, i), NULL);
  g_thread_pool_free (pool, FALSE, TRUE); /* waits for all answers */
}

static void
lc_burn_collector__add_result (LcBurnCollector *collector, LcBurnProcess *process)
{
  char text[16];

  collector->n_queried++;
  if (process->answer == NULL)
    {
      (void)g_snprintf (text, sizeof text, "%u.%u.%u.%u", process->address.ipv4 >> 24,
                        (process->address.ipv4 >> 16) & 255, (process->address.ipv4 >> 8) & 255,
                        process->address.ipv4 & 255);
      g_ptr_array_add (collector->unanswered,
                       g_strdup_printf ("%s at %s:%u", process->name, text, process->address.port));
      return;
    }
  if (!lc_burn_collector_add_answer (collector, process->answer, process->at_us))
    collector->n_malformed++;
  json_decref (process->answer);
}

static void
lc_burn_collector__add_services (LcBurnCollector *collector, const json_t *list)
{
  size_t i;
  json_t *one;

  json_array_foreach (list, i, one)
  {
    LcBurnServiceRow row = { 0 };
    const char *name = lc_burn_collector__text (one, "name");

    if (name == NULL)
      continue;
    (void)g_strlcpy (row.name, name, sizeof row.name);
    row.objective.good_ppm = (uint32_t)json_integer_value (json_object_get (one, "objective_ppm"));
    row.objective.latency_ms =
        (uint32_t)json_integer_value (json_object_get (one, "objective_latency_ms"));
    g_array_append_val (collector->services, row);
  }
  for (guint s = 0; s < collector->services->len; s++)
    {
      LcBurnServiceRow *row = &g_array_index (collector->services, LcBurnServiceRow, s);

      row->objective.service = row->name;
    }
}

void
lc_burn_collector_query_all (LcBurnCollector *collector, const json_t *status, uint16_t admin_port)
{
  GArray *processes = g_array_new (FALSE, TRUE, sizeof (LcBurnProcess));
  const json_t *dcs = json_object_get (status, "data_centres");

  lc_burn_collector__add_services (collector, json_object_get (status, "services"));
  for (size_t i = 0; i < json_array_size (dcs); i++)
    g_ptr_array_add (collector->data_centres,
                     g_strdup (lc_burn_collector__text (json_array_get (dcs, i), "name")));
  lc_burn_collector__list_processes (processes, json_object_get (status, "balancers"), admin_port);
  lc_burn_collector__list_processes (processes, json_object_get (status, "endpoints"), admin_port);
  lc_burn_collector__query_list (processes);
  for (guint i = 0; i < processes->len; i++)
    lc_burn_collector__add_result (collector, &g_array_index (processes, LcBurnProcess, i));
  g_array_free (processes, TRUE);
  collector->now_us = lc_clock_wall_us ();
}
