/* Fuzzes the settings parser: an error has a remedy and changes no setting. */
#include "io/lc-settings.h"

#include <stdlib.h>
#include <string.h>

typedef struct
{
  char name[LC_NAME_MAX];
  uint16_t port;
  uint64_t wait_ms;
  bool is_on;
  uint32_t mode;
  LcSocketAddress to;
  uint32_t n_list;
  LcSocketAddress list[4];
} LcFuzzSettings;

#define FIELD(member) .offset = offsetof (LcFuzzSettings, member)
static const char *const MODES[] = { "relay", "inject", NULL };
static const LcSettingsField FIELDS[] = {
  { .path = "name", .kind = LC_SETTING_STRING, FIELD (name), .size = LC_NAME_MAX, .help = "name" },
  { .path = "port", .kind = LC_SETTING_U16, FIELD (port), .min = 1 },
  { .path = "wait.ms", .kind = LC_SETTING_U64, FIELD (wait_ms), .max = 1000 },
  { .path = "is_on", .kind = LC_SETTING_BOOL, FIELD (is_on) },
  { .path = "mode", .kind = LC_SETTING_CHOICE, FIELD (mode), .choices = MODES },
  { .path = "to", .kind = LC_SETTING_ADDRESS, FIELD (to) },
  { .path = "list",
    .kind = LC_SETTING_ADDRESS_LIST,
    FIELD (list),
    .size = sizeof ((LcFuzzSettings *)0)->list,
    .count_offset = offsetof (LcFuzzSettings, n_list) },
};
static const LcSettingsSchema SCHEMA = { .program = "fuzz",
                                         .fields = FIELDS,
                                         .n_fields = sizeof FIELDS / sizeof FIELDS[0],
                                         .size = sizeof (LcFuzzSettings) };

int
LLVMFuzzerTestOneInput (const uint8_t *bytes, size_t len)
{
  LcFuzzSettings before;
  LcFuzzSettings parsed;
  LcError error = { 0 };

  memset (&before, 0x5a, sizeof before);
  parsed = before;
  if (lc_settings_parse (&SCHEMA, &parsed, (const char *)bytes, len, "fuzz.json", &error) < 0)
    {
      if (error.remedy[0] == '\0' || error.message[0] == '\0' ||
          memcmp (&parsed, &before, sizeof parsed) != 0)
        abort ();
      return 0;
    }
  if (parsed.wait_ms > 1000 || parsed.mode > 1 || parsed.n_list > 4 ||
      strnlen (parsed.name, LC_NAME_MAX) == LC_NAME_MAX)
    abort ();
  return 0;
}
