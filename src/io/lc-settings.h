/* lc-settings: loads and validates JSON settings by a schema.
 *
 * WHAT IT IS
 *   A program describes its settings by a table: path, type, range, unit, default, help, and where
 *   the value goes in its own struct.  An unknown field, a wrong type, a duplicate name or a number
 *   out of range gives an LcError with file, JSON path, what is wrong and the remedy; the struct is
 *   then unchanged.
 *
 * HOW TO USE IT
 *     typedef struct { char name[LC_NAME_MAX]; uint16_t port; } Mine;
 *     static const LcSettingsField FIELDS[] = {
 *       { .path = "name", .kind = LC_SETTING_STRING, .offset = offsetof (Mine, name),
 *         .size = LC_NAME_MAX, .is_required = true, .help = "unique name of this process" },
 *       { .path = "peer_port", .kind = LC_SETTING_U16, .offset = offsetof (Mine, port), .min = 1,
 *         .max = 65535, .default_u64 = 7000, .unit = "port", .help = "TCP frames" },
 *     };
 *     LcSettingsSchema schema = { .program = "lychee-agent", .fields = FIELDS,
 *                                 .n_fields = G_N_ELEMENTS (FIELDS), .size = sizeof (Mine) };
 *     int r = lc_settings_load (&schema, &mine, "agent.json", &error);
 *   A dotted path ("control.heartbeat_ms") addresses nested objects.  LC_SETTING_ADDRESS_LIST reads
 *   an array of "a.b.c.d:port" strings into an LcSocketAddress array of `size` bytes whose count
 *   (uint32_t) is at count_offset.
 *
 * LIFETIME
 *   Values are copied into the caller's struct; nothing is allocated that outlives the call.
 */
#ifndef LC_SETTINGS_H
#define LC_SETTINGS_H

#include "core/lc-error.h"
#include "core/lc-types.h"

typedef struct
{
  uint32_t ipv4;
  uint16_t port;
} LcSocketAddress;

typedef enum
{
  LC_SETTING_STRING,       /* char[size] */
  LC_SETTING_BOOL,         /* bool */
  LC_SETTING_U16,          /* uint16_t */
  LC_SETTING_PORT,         /* uint16_t, a number or the port of "a.b.c.d:port" */
  LC_SETTING_U32,          /* uint32_t */
  LC_SETTING_U64,          /* uint64_t */
  LC_SETTING_IPV4,         /* uint32_t from "a.b.c.d" */
  LC_SETTING_ADDRESS,      /* LcSocketAddress from "a.b.c.d:port" */
  LC_SETTING_ADDRESS_LIST, /* LcSocketAddress[] */
  LC_SETTING_PERMILLE,     /* uint32_t, a number such as 1.5 in thousandths */
  LC_SETTING_CHOICE,       /* uint32_t index into `choices` */
} LcSettingKind;

typedef struct
{
  const char *path;
  LcSettingKind kind;
  size_t offset;
  size_t size;         /* bytes of a string or of an address array */
  size_t count_offset; /* address lists only */
  uint64_t min;
  uint64_t max; /* 0: the type's limit */
  uint64_t default_u64;
  const char *default_str;
  const char *const *choices; /* NULL-terminated */
  bool is_required;
  const char *unit;
  const char *help;
} LcSettingsField;

typedef struct
{
  const char *program;
  const LcSettingsField *fields;
  size_t n_fields;
  size_t size; /* of the caller's struct */
} LcSettingsSchema;

/* Loads a file; `out` is written only on success. */
int lc_settings_load (const LcSettingsSchema *schema, void *out, const char *path, LcError *error);
/* The same from memory; `origin` replaces the file's name in messages. */
int lc_settings_parse (const LcSettingsSchema *schema,
                       void *out,
                       const char *json,
                       size_t len,
                       const char *origin,
                       LcError *error);
/* Sets the port of every address of a list, unless `port` is 0. */
void lc_settings_set_ports (LcSocketAddress *list, uint32_t n, uint16_t port);
/* Prints the schema as a Markdown table. */
void lc_settings_print (const LcSettingsSchema *schema, FILE *out);
/* Parse "a.b.c.d" and "a.b.c.d:port": 0 or LC_ERR_INVALID. */
int lc_settings_parse_ipv4 (const char *text, uint32_t *ipv4);
int lc_settings_parse_address (const char *text, LcSocketAddress *address);

#endif /* LC_SETTINGS_H */
