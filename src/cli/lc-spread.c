#include "lc-spread.h"

#include "lc-explain.h"

#include <jansson.h>
#include <string.h>

/* === private: processes ===================================================================== */

static void
lc_spread__free_process (gpointer data)
{
  LcSpreadProcess *p = data;

  g_array_unref (p->points);
  g_free (p);
}

static LcSpreadProcess *
lc_spread__get_process (LcSpread *s, const char *program, const char *name)
{
  LcSpreadRole role;
  LcSpreadProcess *p;
  char key[2 * LC_NAME_MAX + 2];

  if (strcmp (program, "lychee-balancer") == 0)
    role = LC_SPREAD_BALANCER;
  else if (strcmp (program, "lychee-agent") == 0)
    role = LC_SPREAD_AGENT;
  else
    return NULL;
  (void)g_snprintf (key, sizeof key, "%s %s", program, name);
  p = g_hash_table_lookup (s->processes, key);
  if (p != NULL)
    return p;
  p = g_new0 (LcSpreadProcess, 1);
  p->role = role;
  p->first_us = INT64_MAX;
  p->points = g_array_new (FALSE, FALSE, sizeof (LcSpreadPoint));
  g_hash_table_insert (s->processes, g_strdup (key), p);
  return p;
}

static void
lc_spread__add_point (LcSpread *s, LcSpreadProcess *p, int64_t at_us, uint64_t revision)
{
  LcSpreadPoint point = { at_us, revision };

  if (s->n_points >= LC_SPREAD_POINTS_MAX)
    {
      s->n_left_out++;
      return;
    }
  s->n_points++;
  g_array_append_val (p->points, point);
}

/* === private: changes ======================================================================= */

/* Several control VMs may log one change: the earliest line counts. */
static void
lc_spread__add_change (LcSpread *s, const LcSpreadChange *change, const char *key)
{
  guint position = GPOINTER_TO_UINT (g_hash_table_lookup (s->index, key));
  LcSpreadChange *known;

  if (position == 0)
    {
      if (s->changes->len >= LC_SPREAD_CHANGES_MAX)
        {
          s->n_left_out++;
          return;
        }
      g_array_append_vals (s->changes, change, 1);
      (void)g_hash_table_insert (s->index, g_strdup (key), GUINT_TO_POINTER (s->changes->len));
      return;
    }
  known = &g_array_index (s->changes, LcSpreadChange, position - 1);
  if (change->at_us < known->at_us)
    *known = *change;
}

static uint64_t
lc_spread__number (const json_t *line, const char *field)
{
  json_int_t value = json_integer_value (json_object_get (line, field));

  return value > 0 ? (uint64_t)value : 0;
}

static void
lc_spread__add_proposed (LcSpread *s, const json_t *line, int64_t at_us)
{
  LcSpreadChange change = { .at_us = at_us, .revision = lc_spread__number (line, "revision") + 1 };
  char key[3 * LC_NAME_MAX];

  (void)g_strlcpy (change.what, lc_explain_text (line, "what"), sizeof change.what);
  (void)g_strlcpy (change.member, lc_explain_text (line, "member"), sizeof change.member);
  (void)g_snprintf (key, sizeof key, "%s %s %" G_GUINT64_FORMAT, change.what, change.member,
                    (guint64)lc_spread__number (line, "instance"));
  lc_spread__add_change (s, &change, key);
}

static void
lc_spread__add_declared (LcSpread *s, const json_t *line, int64_t at_us)
{
  LcSpreadChange change = { .what = "declaration",
                            .at_us = at_us,
                            .revision = lc_spread__number (line, "revision") };
  char key[2 * LC_NAME_MAX];

  (void)g_snprintf (change.member, sizeof change.member, "%" G_GUINT64_FORMAT,
                    (guint64)lc_spread__number (line, "in_force"));
  (void)g_snprintf (key, sizeof key, "declaration %s", change.member);
  if (change.revision > 0)
    lc_spread__add_change (s, &change, key);
}

/* === private: lines that only show that a process runs ====================================== */

static void
lc_spread__extend_lifetime (LcSpreadProcess *p, int64_t at_us)
{
  p->first_us = MIN (p->first_us, at_us);
  p->last_us = MAX (p->last_us, at_us);
}

/* Reads a header field, which lc-log writes without escapes, before all others. */
static bool
lc_spread__read_header (const char *text, const char *key, char *out, size_t size)
{
  const char *at = strstr (text, key);
  const char *end = at != NULL ? strchr (at + strlen (key), '"') : NULL;
  size_t len = end != NULL ? (size_t)(end - at) - strlen (key) : 0;

  if (end == NULL || len >= size)
    return false;
  memcpy (out, at + strlen (key), len);
  out[len] = '\0';
  return true;
}

/* Most lines are of this kind, so the JSON is not parsed.  Returns whether it has the headers. */
static bool
lc_spread__add_header (LcSpread *s, const char *text)
{
  char time[LC_NAME_MAX];
  char program[LC_NAME_MAX];
  char name[LC_NAME_MAX];
  LcSpreadProcess *p;
  int64_t at_us;

  if (!lc_spread__read_header (text, "\"time\":\"", time, sizeof time) ||
      !lc_spread__read_header (text, "\"program\":\"", program, sizeof program) ||
      !lc_spread__read_header (text, "\"name\":\"", name, sizeof name))
    return false;
  at_us = lc_explain_parse_time (time);
  if (at_us < 0)
    return false;
  p = lc_spread__get_process (s, program, name);
  if (p != NULL)
    lc_spread__extend_lifetime (p, at_us);
  return true;
}

/* === private: lines ========================================================================= */

static void
lc_spread__skip_line (LcSpread *s, const char *path, uint64_t number, const char *why)
{
  if (s->n_skipped++ < LC_SPREAD_SKIPPED_LISTED)
    g_ptr_array_add (s->skipped,
                     g_strdup_printf ("%s:%" G_GUINT64_FORMAT ": %s", path, (guint64)number, why));
}

static void
lc_spread__add_event (LcSpread *s, const json_t *line, int64_t at_us)
{
  const char *event = lc_explain_text (line, "event");
  LcSpreadProcess *p =
      lc_spread__get_process (s, lc_explain_text (line, "program"), lc_explain_text (line, "name"));

  if (strcmp (event, "member.proposed") == 0)
    lc_spread__add_proposed (s, line, at_us);
  else if (strcmp (event, "declaration.answered") == 0)
    lc_spread__add_declared (s, line, at_us);
  if (p == NULL)
    return;
  lc_spread__extend_lifetime (p, at_us);
  if (strcmp (event, "view.applied") == 0)
    lc_spread__add_point (s, p, at_us, lc_spread__number (line, "revision"));
  else if (strcmp (event, "app.started") == 0)
    lc_spread__add_point (s, p, at_us, 0);
}

/* Whether the line may contain a view or a change. */
static bool
lc_spread__needs_parsing (const char *text)
{
  return strstr (text, "\"view.applied\"") != NULL || strstr (text, "\"app.started\"") != NULL ||
         strstr (text, "\"member.proposed\"") != NULL ||
         strstr (text, "\"declaration.answered\"") != NULL;
}

typedef struct
{
  LcSpread *spread;
  const char *path;
} LcSpreadFile;

static void
lc_spread__add_line (void *user, uint64_t number, const char *text)
{
  LcSpread *s = ((LcSpreadFile *)user)->spread;
  const char *path = ((LcSpreadFile *)user)->path;
  const char *brace = strchr (text, '{');
  int64_t at_us = -1;
  json_t *line;

  s->n_lines++;
  if (brace == NULL || strchr (brace, '}') == NULL)
    {
      lc_spread__skip_line (s, path, number, "no JSON object");
      return;
    }
  if (!lc_spread__needs_parsing (brace))
    {
      if (!lc_spread__add_header (s, brace))
        lc_spread__skip_line (s, path, number, "no time, program or name");
      return;
    }
  line = json_loads (brace, JSON_DISABLE_EOF_CHECK, NULL);
  if (line != NULL)
    at_us = lc_explain_parse_time (lc_explain_text (line, "time"));
  if (at_us < 0)
    lc_spread__skip_line (s, path, number, line == NULL ? "no JSON object" : "no time");
  else
    lc_spread__add_event (s, line, at_us);
  json_decref (line);
}

/* === public: reading ======================================================================== */

void
lc_spread_init (LcSpread *s)
{
  memset (s, 0, sizeof *s);
  s->processes = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, lc_spread__free_process);
  s->changes = g_array_new (FALSE, FALSE, sizeof (LcSpreadChange));
  s->index = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  s->skipped = g_ptr_array_new_with_free_func (g_free);
}

void
lc_spread_finish (LcSpread *s)
{
  g_hash_table_unref (s->processes);
  g_array_unref (s->changes);
  g_hash_table_unref (s->index);
  g_ptr_array_unref (s->skipped);
  memset (s, 0, sizeof *s);
}

int
lc_spread_read (LcSpread *s, const char *path, LcError *error)
{
  LcSpreadFile file = { s, path };

  return lc_explain_each_line (path, lc_spread__add_line, &file, error);
}

static gint
lc_spread__compare_points (gconstpointer a, gconstpointer b)
{
  const LcSpreadPoint *x = a;
  const LcSpreadPoint *y = b;

  return (x->at_us > y->at_us) - (x->at_us < y->at_us);
}

static gint
lc_spread__compare_changes (gconstpointer a, gconstpointer b)
{
  const LcSpreadChange *x = a;
  const LcSpreadChange *y = b;

  return (x->at_us > y->at_us) - (x->at_us < y->at_us);
}

/* === private: times ========================================================================= */

typedef enum
{
  LC_SPREAD_REACHED,
  LC_SPREAD_EXCLUDED,
  LC_SPREAD_MISSING,
} LcSpreadReach;

/* Index of the first point at or after that time. */
static guint
lc_spread__first_from (const GArray *points, int64_t at_us)
{
  guint low = 0;
  guint high = points->len;

  while (low < high)
    {
      guint mid = low + (high - low) / 2;

      if (g_array_index (points, LcSpreadPoint, mid).at_us < at_us)
        low = mid + 1;
      else
        high = mid;
    }
  return low;
}

/* Finds when the process had the change; by a clock that is behind, that may be before it. */
static LcSpreadReach
lc_spread__find_reach (const LcSpreadProcess *p, const LcSpreadChange *change, int64_t *after_us)
{
  guint at = lc_spread__first_from (p->points, change->at_us);

  *after_us = 0;
  if (p->first_us > change->at_us || p->last_us < change->at_us)
    return LC_SPREAD_EXCLUDED;
  if (at > 0 && g_array_index (p->points, LcSpreadPoint, at - 1).revision >= change->revision)
    return LC_SPREAD_REACHED;
  for (; at < p->points->len; at++)
    {
      const LcSpreadPoint *point = &g_array_index (p->points, LcSpreadPoint, at);

      if (point->revision == 0)
        return LC_SPREAD_EXCLUDED;
      if (point->revision < change->revision)
        continue;
      *after_us = point->at_us - change->at_us;
      return LC_SPREAD_REACHED;
    }
  return LC_SPREAD_MISSING;
}

static gint
lc_spread__compare_times (gconstpointer a, gconstpointer b)
{
  int64_t x = *(const int64_t *)a;
  int64_t y = *(const int64_t *)b;

  return (x > y) - (x < y);
}

static int64_t
lc_spread__median (GArray *times)
{
  g_array_sort (times, lc_spread__compare_times);
  return times->len > 0 ? g_array_index (times, int64_t, (times->len - 1) / 2) : -1;
}

static int64_t
lc_spread__max (const GArray *times)
{
  return times->len > 0 ? g_array_index (times, int64_t, times->len - 1) : -1;
}

static void
lc_spread__compute_times (const LcSpread *s, LcSpreadChange *change)
{
  LcSpreadTimes *times = change->times;
  GArray *reached[LC_SPREAD_N_ROLES];
  GHashTableIter iter;
  gpointer value;

  for (int role = 0; role < LC_SPREAD_N_ROLES; role++)
    reached[role] = g_array_new (FALSE, FALSE, sizeof (int64_t));
  g_hash_table_iter_init (&iter, s->processes);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const LcSpreadProcess *p = value;
      int64_t after_us;

      switch (lc_spread__find_reach (p, change, &after_us))
        {
        case LC_SPREAD_REACHED:
          g_array_append_val (reached[p->role], after_us);
          break;
        case LC_SPREAD_EXCLUDED:
          times[p->role].n_excluded++;
          break;
        case LC_SPREAD_MISSING:
          times[p->role].n_missing++;
          break;
        }
    }
  for (int role = 0; role < LC_SPREAD_N_ROLES; role++)
    {
      times[role].n_reached = reached[role]->len;
      times[role].median_us = lc_spread__median (reached[role]);
      times[role].last_us = lc_spread__max (reached[role]);
      g_array_unref (reached[role]);
    }
}

/* === public: the end of reading ============================================================= */

void
lc_spread_compute (LcSpread *s)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, s->processes);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    g_array_sort (((LcSpreadProcess *)value)->points, lc_spread__compare_points);
  g_array_sort (s->changes, lc_spread__compare_changes);
  g_hash_table_remove_all (s->index); /* sorting has changed the indexes */
  for (guint i = 0; i < s->changes->len; i++)
    lc_spread__compute_times (s, &g_array_index (s->changes, LcSpreadChange, i));
}

const char *
lc_spread_role_name (LcSpreadRole role)
{
  return role == LC_SPREAD_BALANCER ? "balancer" : "agent";
}

/* === public: kinds of changes =============================================================== */

static gint
lc_spread__compare_kinds (gconstpointer a, gconstpointer b)
{
  return strcmp (((const LcSpreadKind *)a)->what, ((const LcSpreadKind *)b)->what);
}

static LcSpreadKind *
lc_spread__get_kind (GArray *kinds, const char *what)
{
  LcSpreadKind fresh = { .n = 0 };

  for (guint i = 0; i < kinds->len; i++)
    if (strcmp (g_array_index (kinds, LcSpreadKind, i).what, what) == 0)
      return &g_array_index (kinds, LcSpreadKind, i);
  (void)g_strlcpy (fresh.what, what, sizeof fresh.what);
  g_array_append_val (kinds, fresh);
  return &g_array_index (kinds, LcSpreadKind, kinds->len - 1);
}

static void
lc_spread__summarize_kind (const LcSpread *s, LcSpreadKind *kind)
{
  GArray *last[LC_SPREAD_N_ROLES];

  for (int role = 0; role < LC_SPREAD_N_ROLES; role++)
    last[role] = g_array_new (FALSE, FALSE, sizeof (int64_t));
  for (guint i = 0; i < s->changes->len; i++)
    {
      const LcSpreadChange *change = &g_array_index (s->changes, LcSpreadChange, i);

      if (strcmp (change->what, kind->what) != 0)
        continue;
      for (int role = 0; role < LC_SPREAD_N_ROLES; role++)
        if (change->times[role].n_reached > 0)
          g_array_append_val (last[role], change->times[role].last_us);
    }
  for (int role = 0; role < LC_SPREAD_N_ROLES; role++)
    {
      kind->median_us[role] = lc_spread__median (last[role]);
      kind->worst_us[role] = lc_spread__max (last[role]);
      g_array_unref (last[role]);
    }
}

GArray *
lc_spread_summarize (const LcSpread *s)
{
  GArray *kinds = g_array_new (FALSE, FALSE, sizeof (LcSpreadKind));

  for (guint i = 0; i < s->changes->len; i++)
    lc_spread__get_kind (kinds, g_array_index (s->changes, LcSpreadChange, i).what)->n++;
  g_array_sort (kinds, lc_spread__compare_kinds);
  for (guint i = 0; i < kinds->len; i++)
    lc_spread__summarize_kind (s, &g_array_index (kinds, LcSpreadKind, i));
  return kinds;
}
