#include "lc-cli-attention.h"

#include <stdbool.h>
#include <string.h>

enum
{
  LC_CLI_MEMBER_SILENT_MS = 10000,
  LC_CLI_DC_SILENT_MS = 9000,
};

static json_int_t
lc_cli_attention__int (const json_t *object, const char *key)
{
  return json_integer_value (json_object_get (object, key));
}

static const char *
lc_cli_attention__text (const json_t *object, const char *key)
{
  const char *text = json_string_value (json_object_get (object, key));

  return text != NULL ? text : "";
}

static bool
lc_cli_attention__is_true (const json_t *object, const char *key)
{
  return json_is_true (json_object_get (object, key));
}

static void G_GNUC_PRINTF (2, 3) lc_cli_attention__add (GPtrArray *lines, const char *format, ...)
{
  va_list args;

  va_start (args, format);
  g_ptr_array_add (lines, g_strdup_vprintf (format, args));
  va_end (args);
}

/* === rules ================================================================================== */

static void
lc_cli_attention__check_control (GPtrArray *lines, const json_t *status)
{
  size_t i;
  json_t *m;

  if (lc_cli_attention__text (status, "leader")[0] == '\0')
    lc_cli_attention__add (lines, "no control VM leads: nothing can change until a majority of "
                                  "them runs (docs/operating/lost-quorum.md)");
  else if (!lc_cli_attention__is_true (status, "is_leader") &&
           !lc_cli_attention__is_true (status, "is_newest"))
    lc_cli_attention__add (lines, "%s answered, which does not lead: ask %s for the newest state",
                           lc_cli_attention__text (status, "name"),
                           lc_cli_attention__text (status, "leader"));
  if (lc_cli_attention__is_true (status, "disk_full"))
    lc_cli_attention__add (lines,
                           "the disk of %s is full: free space "
                           "(docs/operating/control-disk-full.md)",
                           lc_cli_attention__text (status, "name"));
  json_array_foreach (json_object_get (status, "members"), i, m)
  {
    json_int_t silent_ms = lc_cli_attention__int (m, "silent_ms");

    if (silent_ms >= LC_CLI_MEMBER_SILENT_MS)
      lc_cli_attention__add (lines,
                             "control VM %s is silent for %" JSON_INTEGER_FORMAT
                             " s: start it again, or replace it "
                             "(docs/operating/replace-control-vm.md)",
                             lc_cli_attention__text (m, "name"), silent_ms / 1000);
  }
}

static void
lc_cli_attention__check_dcs (GPtrArray *lines, const json_t *status)
{
  const json_t *guard = json_object_get (status, "guard");
  size_t i;
  json_t *dc;

  if (lc_cli_attention__is_true (guard, "is_holding"))
    lc_cli_attention__add (lines,
                           "the guard keeps %s in the view, because too much vanished at once: "
                           "look whether they run, then drain what is really gone",
                           lc_cli_attention__text (guard, "what"));
  json_array_foreach (json_object_get (status, "data_centres"), i, dc)
  {
    json_int_t silent_ms = lc_cli_attention__int (dc, "silent_ms");

    if (json_object_get (dc, "evacuated_for_ms") != NULL)
      lc_cli_attention__add (lines,
                             "data centre %s is evacuated for %" JSON_INTEGER_FORMAT
                             " s: `lychee evacuate --end %s` when it may take work again",
                             lc_cli_attention__text (dc, "name"),
                             lc_cli_attention__int (dc, "evacuated_for_ms") / 1000,
                             lc_cli_attention__text (dc, "name"));
    if (silent_ms >= LC_CLI_DC_SILENT_MS)
      lc_cli_attention__add (lines,
                             "data centre %s is cut off for %" JSON_INTEGER_FORMAT
                             " s: it works on by revision %" JSON_INTEGER_FORMAT
                             "; look at the network to it",
                             lc_cli_attention__text (dc, "name"), silent_ms / 1000,
                             lc_cli_attention__int (dc, "in_force"));
  }
}

static void
lc_cli_attention__check_services (GPtrArray *lines, const json_t *status)
{
  size_t i;
  json_t *one;

  json_array_foreach (json_object_get (status, "services"), i, one)
  {
    /* An older control VM does not say how many take work. */
    json_int_t taking =
        json_object_get (one, "taking") != NULL
            ? lc_cli_attention__int (one, "taking")
            : lc_cli_attention__int (one, "active") + lc_cli_attention__int (one, "joining");

    if (taking == 0)
      lc_cli_attention__add (lines, "no backend server of %s takes work: start one, or undrain one",
                             lc_cli_attention__text (one, "name"));
    else if (taking == 1)
      lc_cli_attention__add (lines, "%s has one backend server left: its loss would be an outage",
                             lc_cli_attention__text (one, "name"));
  }
  json_array_foreach (json_object_get (status, "endpoints"), i, one)
  {
    if (strcmp (lc_cli_attention__text (one, "state"), "lost") == 0)
      lc_cli_attention__add (lines, "%s of %s is lost: start its agent again, or drain it for good",
                             lc_cli_attention__text (one, "name"),
                             lc_cli_attention__text (one, "service"));
  }
}

GPtrArray *
lc_cli_attention_list (const json_t *status)
{
  GPtrArray *lines = g_ptr_array_new_with_free_func (g_free);

  lc_cli_attention__check_control (lines, status);
  lc_cli_attention__check_dcs (lines, status);
  lc_cli_attention__check_services (lines, status);
  return lines;
}
