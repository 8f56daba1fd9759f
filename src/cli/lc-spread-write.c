#include "lc-explain.h"
#include "lc-spread.h"

#include <jansson.h>

/* === private: text ========================================================================== */

static void
lc_spread__put_ms (GString *out, int64_t us)
{
  if (us < 0)
    g_string_append_printf (out, " %8s", "-");
  else
    g_string_append_printf (out, " %8.1f", (double)us / LC_US_PER_MS);
}

static void
lc_spread__put_change (const LcSpreadChange *change, GString *out)
{
  char *clock = lc_explain_format_time (change->at_us);

  g_string_append_printf (out, "%s %-20s %-24s", clock, change->what, change->member);
  for (int role = 0; role < LC_SPREAD_N_ROLES; role++)
    {
      const LcSpreadTimes *t = &change->times[role];

      lc_spread__put_ms (out, t->median_us);
      lc_spread__put_ms (out, t->last_us);
      g_string_append_printf (out, " %5u %5u %5u ", t->n_reached, t->n_excluded, t->n_missing);
    }
  g_string_append_c (out, '\n');
  g_free (clock);
}

static void
lc_spread__put_kind (const LcSpreadKind *kind, GString *out)
{
  g_string_append_printf (out, "%-20s %6u", kind->what, kind->n);
  for (int role = 0; role < LC_SPREAD_N_ROLES; role++)
    {
      lc_spread__put_ms (out, kind->median_us[role]);
      lc_spread__put_ms (out, kind->worst_us[role]);
    }
  g_string_append_c (out, '\n');
}

static void
lc_spread__put_skipped (const LcSpread *s, GString *out)
{
  for (guint i = 0; i < s->skipped->len; i++)
    g_string_append_printf (out, "skipped %s\n", (const char *)g_ptr_array_index (s->skipped, i));
  if (s->n_skipped > s->skipped->len)
    g_string_append_printf (out, "skipped %" G_GUINT64_FORMAT " more lines\n",
                            (guint64)(s->n_skipped - s->skipped->len));
  if (s->n_left_out > 0)
    g_string_append_printf (out,
                            "left out %" G_GUINT64_FORMAT
                            " views and changes: give fewer files, or a shorter time\n",
                            (guint64)s->n_left_out);
}

/* === private: JSON ========================================================================== */

static json_t *
lc_spread__role_json (const LcSpreadTimes *t)
{
  return json_pack ("{s:I, s:I, s:i, s:i, s:i}", "middle_us", (json_int_t)t->median_us, "last_us",
                    (json_int_t)t->last_us, "reached", (int)t->n_reached, "apart",
                    (int)t->n_excluded, "missing", (int)t->n_missing);
}

static json_t *
lc_spread__change_json (const LcSpreadChange *change)
{
  json_t *out =
      json_pack ("{s:I, s:s, s:s, s:I}", "at_us", (json_int_t)change->at_us, "what", change->what,
                 "member", change->member, "revision", (json_int_t)change->revision);
  for (int role = 0; role < LC_SPREAD_N_ROLES; role++)
    (void)json_object_set_new (out, lc_spread_role_name ((LcSpreadRole)role),
                               lc_spread__role_json (&change->times[role]));
  return out;
}

/* === private: SVG =========================================================================== */

enum
{
  LC_SPREAD_SVG_WIDTH = 900,
  LC_SPREAD_SVG_HEIGHT = 360,
  LC_SPREAD_SVG_MARGIN = 50,
};

typedef struct
{
  int64_t from_us;
  int64_t span_us;
  int64_t top_us; /* the longest time */
} LcSpreadScale;

static LcSpreadScale
lc_spread__scale (const LcSpread *s)
{
  LcSpreadScale scale = { .span_us = 1, .top_us = 1 };

  for (guint i = 0; i < s->changes->len; i++)
    {
      const LcSpreadChange *change = &g_array_index (s->changes, LcSpreadChange, i);

      if (i == 0)
        scale.from_us = change->at_us;
      scale.span_us = MAX (scale.span_us, change->at_us - scale.from_us);
      for (int role = 0; role < LC_SPREAD_N_ROLES; role++)
        scale.top_us = MAX (scale.top_us, change->times[role].last_us);
    }
  return scale;
}

static double
lc_spread__x (const LcSpreadScale *scale, int64_t at_us)
{
  double width = LC_SPREAD_SVG_WIDTH - 2 * LC_SPREAD_SVG_MARGIN;

  return LC_SPREAD_SVG_MARGIN + width * (double)(at_us - scale->from_us) / (double)scale->span_us;
}

static double
lc_spread__y (const LcSpreadScale *scale, int64_t after_us)
{
  double height = LC_SPREAD_SVG_HEIGHT - 2 * LC_SPREAD_SVG_MARGIN;

  return LC_SPREAD_SVG_HEIGHT - LC_SPREAD_SVG_MARGIN -
         height * (double)after_us / (double)scale->top_us;
}

static void
lc_spread__put_dots (const LcSpreadScale *scale, const LcSpreadChange *change, GString *out)
{
  static const char *const COLOURS[] = { "#1f77b4", "#d95f02" };

  for (int role = 0; role < LC_SPREAD_N_ROLES; role++)
    if (change->times[role].n_reached > 0)
      g_string_append_printf (
          out, "<circle cx=\"%.1f\" cy=\"%.1f\" r=\"2.5\" fill=\"%s\"><title>%s</title></circle>\n",
          lc_spread__x (scale, change->at_us), lc_spread__y (scale, change->times[role].last_us),
          COLOURS[role], change->what);
}

static void
lc_spread__put_axes (const LcSpreadScale *scale, GString *out)
{
  int bottom = LC_SPREAD_SVG_HEIGHT - LC_SPREAD_SVG_MARGIN;
  int right = LC_SPREAD_SVG_WIDTH - LC_SPREAD_SVG_MARGIN;

  g_string_append_printf (
      out,
      "<path d=\"M%d %d V%d H%d\" fill=\"none\" stroke=\"#444\"/>\n"
      "<text x=\"%d\" y=\"%d\">%.1f ms until the last machine has a change"
      " (blue: balancers, orange: agents)</text>\n"
      "<text x=\"%d\" y=\"%d\">0 s</text>\n<text x=\"%d\" y=\"%d\">%.1f s</text>\n",
      LC_SPREAD_SVG_MARGIN, LC_SPREAD_SVG_MARGIN, bottom, right, LC_SPREAD_SVG_MARGIN,
      LC_SPREAD_SVG_MARGIN - 10, (double)scale->top_us / LC_US_PER_MS, LC_SPREAD_SVG_MARGIN,
      bottom + 20, right - 40, bottom + 20, (double)scale->span_us / LC_US_PER_S);
}

/* === public ================================================================================= */

void
lc_spread_write_text (const LcSpread *s, GString *out)
{
  GArray *kinds = lc_spread_summarize (s);

  g_string_append (out, "Times in ms from the change to the middle and the last machine of a role; "
                        "machines that had it, were not there, never had it.\n\n"
                        "time         what                 member                     balancers: "
                        "middle, last, had, apart, never; agents: the same\n");
  for (guint i = 0; i < s->changes->len; i++)
    lc_spread__put_change (&g_array_index (s->changes, LcSpreadChange, i), out);
  g_string_append (out, "\nkind                      n  last balancer: middle, worst; last agent: "
                        "middle, worst\n");
  for (guint i = 0; i < kinds->len; i++)
    lc_spread__put_kind (&g_array_index (kinds, LcSpreadKind, i), out);
  g_string_append_printf (out, "\n%u processes, %" G_GUINT64_FORMAT " lines\n",
                          g_hash_table_size (s->processes), (guint64)s->n_lines);
  lc_spread__put_skipped (s, out);
  g_array_unref (kinds);
}

void
lc_spread_write_json (const LcSpread *s, GString *out)
{
  json_t *changes = json_array ();
  json_t *bad = json_array ();
  json_t *root;
  char *text;

  for (guint i = 0; i < s->changes->len; i++)
    (void)json_array_append_new (
        changes, lc_spread__change_json (&g_array_index (s->changes, LcSpreadChange, i)));
  for (guint i = 0; i < s->skipped->len; i++)
    (void)json_array_append_new (bad, json_string (g_ptr_array_index (s->skipped, i)));
  root = json_pack ("{s:o, s:i, s:I, s:I, s:o, s:I}", "changes", changes, "processes",
                    (int)g_hash_table_size (s->processes), "lines", (json_int_t)s->n_lines,
                    "skipped", (json_int_t)s->n_skipped, "skipped_first", bad, "left_out",
                    (json_int_t)s->n_left_out);
  text = json_dumps (root, JSON_INDENT (1));
  g_string_append (out, text);
  g_string_append_c (out, '\n');
  free (text);
  json_decref (root);
}

void
lc_spread_write_svg (const LcSpread *s, GString *out)
{
  LcSpreadScale scale = lc_spread__scale (s);

  g_string_append_printf (out,
                          "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" height=\"%d\" "
                          "font-family=\"sans-serif\" font-size=\"12\">\n",
                          LC_SPREAD_SVG_WIDTH, LC_SPREAD_SVG_HEIGHT);
  lc_spread__put_axes (&scale, out);
  for (guint i = 0; i < s->changes->len; i++)
    lc_spread__put_dots (&scale, &g_array_index (s->changes, LcSpreadChange, i), out);
  g_string_append (out, "</svg>\n");
}
