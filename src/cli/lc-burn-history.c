#include "lc-burn-collector.h"

#include <inttypes.h>
#include <string.h>

/* One JSON object per line and sample:
 * {"instance":"...","process":"...","service":"...","data_centre":"...","weight_percent":0,
 *  "started_at_us":0,"sample":[uptime_us, counts ...]} */

#define LC_BURN_HISTORY_MAX_AGE_US (INT64_C (3) * 24 * 3600 * LC_US_PER_S)

/* === loading ================================================================================ */

static bool
lc_burn_history__add_line (LcBurnCollector *collector, const json_t *line)
{
  LcBurnKey key = { .process = json_string_value (json_object_get (line, "process")),
                    .service = json_string_value (json_object_get (line, "service")),
                    .data_centre = json_string_value (json_object_get (line, "data_centre")) };
  const char *instance = json_string_value (json_object_get (line, "instance"));
  const json_t *row = json_object_get (line, "sample");
  int64_t started_at_us = json_integer_value (json_object_get (line, "started_at_us"));
  LcBurnSample sample;

  if (instance == NULL || key.process == NULL || key.service == NULL || key.data_centre == NULL ||
      json_array_size (row) != LC_N_BURN_COUNTERS + 1)
    return false;
  key.instance = g_ascii_strtoull (instance, NULL, 16);
  key.weight_percent = (uint32_t)json_integer_value (json_object_get (line, "weight_percent"));
  sample.uptime_us = json_integer_value (json_array_get (row, 0));
  for (size_t i = 0; i < LC_N_BURN_COUNTERS; i++)
    sample.counts.values[i] = (uint64_t)json_integer_value (json_array_get (row, i + 1));
  (void)lc_burn_merge_add (collector->merge, &key, started_at_us, 0, &sample);
  return true;
}

int
lc_burn_history_load (LcBurnCollector *collector, const char *path, LcError *error)
{
  gchar *text = NULL;
  gchar **lines;
  int r = 0;

  if (!g_file_test (path, G_FILE_TEST_EXISTS))
    return 0;
  if (!g_file_get_contents (path, &text, NULL, NULL))
    return lc_error_set (error, LC_ERR_IO, "give a readable file to --history", "can't read %s",
                         path);
  lines = g_strsplit (text, "\n", -1);
  for (guint i = 0; lines[i] != NULL && r == 0; i++)
    {
      json_t *line = lines[i][0] != '\0' ? json_loads (lines[i], 0, NULL) : NULL;

      if (lines[i][0] != '\0' && !lc_burn_history__add_line (collector, line))
        r = lc_error_set (error, LC_ERR_CORRUPT, "move the file away; a new one is begun",
                          "%s: line %u is no sample", path, i + 1);
      json_decref (line);
    }
  g_strfreev (lines);
  g_free (text);
  return r;
}

/* === saving ================================================================================= */

typedef struct
{
  GString *text;
  int64_t oldest_us;
} LcBurnHistoryWriter;

static void
lc_burn_history__append (void *user,
                         const LcBurnKey *key,
                         int64_t started_at_us,
                         const LcBurnSample *sample)
{
  LcBurnHistoryWriter *save = user;
  json_t *row = json_array ();
  json_t *line;
  char *text;

  if (started_at_us + sample->uptime_us >= save->oldest_us)
    {
      (void)json_array_append_new (row, json_integer (sample->uptime_us));
      for (int i = 0; i < LC_N_BURN_COUNTERS; i++)
        (void)json_array_append_new (row, json_integer ((json_int_t)sample->counts.values[i]));
      line = json_pack ("{s:o?,s:s,s:s,s:s,s:i,s:I,s:O}", "instance",
                        json_sprintf ("%016" PRIx64, key->instance), "process", key->process,
                        "service", key->service, "data_centre", key->data_centre, "weight_percent",
                        (int)key->weight_percent, "started_at_us", (json_int_t)started_at_us,
                        "sample", row);
      text = json_dumps (line, JSON_COMPACT);
      if (text != NULL)
        g_string_append_printf (save->text, "%s\n", text);
      free (text);
      json_decref (line);
    }
  json_decref (row);
}

int
lc_burn_history_save (const LcBurnCollector *collector, const char *path, LcError *error)
{
  LcBurnHistoryWriter save = { .text = g_string_new (NULL),
                               .oldest_us = collector->now_us - LC_BURN_HISTORY_MAX_AGE_US };
  GError *gerror = NULL;
  int r = 0;

  lc_burn_merge_each (collector->merge, lc_burn_history__append, &save);
  /* Writes a temporary file, syncs it and renames it over the old one. */
  if (!g_file_set_contents_full (path, save.text->str, (gssize)save.text->len,
                                 G_FILE_SET_CONTENTS_CONSISTENT | G_FILE_SET_CONTENTS_DURABLE, 0644,
                                 &gerror))
    {
      r = lc_error_set (error, LC_ERR_IO, "give a writable file to --history", "%s",
                        gerror->message);
      g_error_free (gerror);
    }
  g_string_free (save.text, TRUE);
  return r;
}
