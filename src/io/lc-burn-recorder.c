#include "lc-burn-recorder.h"

#include "lc-clock.h"

#include <inttypes.h>
#include <string.h>

enum
{
  LC_BURN_TICK_MS = 1000,
};

static const char LC_BURN_OTHER[] = "(other)";

typedef struct
{
  LcBurnCounts counts;
  LcBurnRing ring;
} LcBurnService;

static int64_t
lc_burn__uptime_us (const LcBurnRecorder *burn)
{
  return lc_clock_now_us () - burn->started_us;
}

static void
lc_burn__on_tick (void *user)
{
  LcBurnRecorder *burn = user;
  int64_t uptime_us = lc_burn__uptime_us (burn);
  GHashTableIter iter;
  gpointer value;

  g_mutex_lock (&burn->lock);
  g_hash_table_iter_init (&iter, burn->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      LcBurnService *service = value;

      lc_burn_ring_tick (&service->ring, uptime_us, &service->counts);
    }
  g_mutex_unlock (&burn->lock);
  lc_timer_start (&burn->timer, LC_BURN_TICK_MS);
}

/* Gets or adds a service.  Its first sample is zero at the process's start, so that rates over its
 * first minute are exact. */
static LcBurnService *
lc_burn__get_service (LcBurnRecorder *burn, const char *name)
{
  LcBurnService *service = g_hash_table_lookup (burn->services, name);

  if (service != NULL)
    return service;
  if (g_hash_table_size (burn->services) >= LC_BURN_MAX_SERVICES &&
      strcmp (name, LC_BURN_OTHER) != 0)
    return lc_burn__get_service (burn, LC_BURN_OTHER);
  service = g_new0 (LcBurnService, 1);
  lc_burn_ring_tick (&service->ring, 0, &service->counts);
  g_hash_table_insert (burn->services, g_strdup (name), service);
  return service;
}

void
lc_burn_recorder_init (LcBurnRecorder *burn, h2o_loop_t *loop)
{
  memset (burn, 0, sizeof *burn);
  g_mutex_init (&burn->lock);
  burn->services = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  burn->started_us = lc_clock_now_us ();
  lc_timer_init (&burn->timer, loop, lc_burn__on_tick, burn);
  lc_timer_start (&burn->timer, LC_BURN_TICK_MS);
}

void
lc_burn_recorder_finish (LcBurnRecorder *burn)
{
  if (burn->services == NULL)
    return;
  lc_timer_finish (&burn->timer);
  g_hash_table_destroy (burn->services);
  burn->services = NULL;
  g_mutex_clear (&burn->lock);
}

void
lc_burn_identify (LcBurnRecorder *burn,
                  LcInstance instance,
                  const char *process,
                  const char *data_centre,
                  uint32_t weight_percent)
{
  burn->instance = instance;
  burn->weight_percent = weight_percent;
  (void)g_strlcpy (burn->process, process, sizeof burn->process);
  (void)g_strlcpy (burn->data_centre, data_centre, sizeof burn->data_centre);
}

void
lc_burn_add (LcBurnRecorder *burn, const char *service, LcBurnCounter counter, uint64_t n)
{
  g_mutex_lock (&burn->lock);
  lc_burn__get_service (burn, service)->counts.values[counter] += n;
  g_mutex_unlock (&burn->lock);
}

/* === private: JSON ========================================================================== */

/* Names are validated on entry; characters that JSON would have to escape become '_'. */
static void
lc_burn__append_name (GString *out, const char *name)
{
  g_string_append_c (out, '"');
  for (const char *p = name; *p != '\0'; p++)
    g_string_append_c (out, *p == '"' || *p == '\\' || (unsigned char)*p < 0x20 ? '_' : *p);
  g_string_append_c (out, '"');
}

static void
lc_burn__append_sample (GString *out, const LcBurnSample *sample)
{
  g_string_append_printf (out, "[%" PRId64, sample->uptime_us);
  for (int i = 0; i < LC_N_BURN_COUNTERS; i++)
    g_string_append_printf (out, ",%" PRIu64, sample->counts.values[i]);
  g_string_append_c (out, ']');
}

static void
lc_burn__append_service (GString *out, const char *name, const LcBurnService *s, int64_t uptime_us)
{
  LcBurnSample samples[LC_BURN_RING_SAMPLES];
  size_t n = lc_burn_ring_read (&s->ring, samples, G_N_ELEMENTS (samples));
  LcBurnSample now = { uptime_us, s->counts };

  g_string_append (out, "{\"name\":");
  lc_burn__append_name (out, name);
  g_string_append (out, ",\"samples\":[");
  for (size_t i = 0; i < n && samples[i].uptime_us < uptime_us; i++)
    {
      lc_burn__append_sample (out, &samples[i]);
      g_string_append_c (out, ',');
    }
  lc_burn__append_sample (out, &now);
  g_string_append (out, "]}");
}

static void
lc_burn__append_head (GString *out, const LcBurnRecorder *burn, int64_t uptime_us)
{
  g_string_append_printf (out, "{\"instance\":\"%016" PRIx64 "\",\"process\":", burn->instance);
  lc_burn__append_name (out, burn->process);
  g_string_append (out, ",\"data_centre\":");
  lc_burn__append_name (out, burn->data_centre);
  g_string_append_printf (out, ",\"weight_percent\":%u,\"uptime_us\":%" PRId64 ",\"counters\":[",
                          burn->weight_percent, uptime_us);
  for (int i = 0; i < LC_N_BURN_COUNTERS; i++)
    g_string_append_printf (out, "%s\"%s\"", i > 0 ? "," : "",
                            lc_burn_counter_name ((LcBurnCounter)i));
  g_string_append (out, "],\"services\":[");
}

char *
lc_burn_json (LcBurnRecorder *burn)
{
  GString *out = g_string_sized_new (4096);
  int64_t uptime_us = lc_burn__uptime_us (burn);
  const char *comma = "";
  GHashTableIter iter;
  gpointer name;
  gpointer value;

  lc_burn__append_head (out, burn, uptime_us);
  g_mutex_lock (&burn->lock);
  g_hash_table_iter_init (&iter, burn->services);
  while (g_hash_table_iter_next (&iter, &name, &value))
    {
      g_string_append (out, comma);
      lc_burn__append_service (out, name, value, uptime_us);
      comma = ",";
    }
  g_mutex_unlock (&burn->lock);
  g_string_append (out, "]}\n");
  return g_string_free (out, FALSE);
}
