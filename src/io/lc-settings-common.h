/* lc-settings-common: settings that several programs share, as rows for their tables.
 *
 * HOW TO USE IT
 *     static const LcSettingsField FIELDS[] = {
 *       LC_SETTING_ROW_NAME (LcAgentSettings, "unique name of this endpoint"),
 *       ...
 *     };
 *   Each row fills a fixed member of the program's struct, which the struct must have.
 */
#ifndef LC_SETTINGS_COMMON_H
#define LC_SETTINGS_COMMON_H

#include "lc-packet-format.h"
#include "lc-settings.h"

#define LC_SETTING_ROW_NAME(type, meaning)                                                         \
  {                                                                                                \
    .path = "name", .kind = LC_SETTING_STRING, .offset = offsetof (type, name),                    \
    .size = LC_NAME_MAX, .is_required = true, .help = (meaning)                                    \
  }

#define LC_SETTING_ROW_DATA_CENTRE(type)                                                           \
  {                                                                                                \
    .path = "data_centre", .kind = LC_SETTING_STRING, .offset = offsetof (type, data_centre),      \
    .size = LC_NAME_MAX, .is_required = true, .help = "name of the data centre it stands in"       \
  }

#define LC_SETTING_ROW_ADDRESS(type)                                                               \
  {                                                                                                \
    .path = "address", .kind = LC_SETTING_IPV4, .offset = offsetof (type, ipv4),                   \
    .is_required = true, .help = "IPv4 address of this VM"                                         \
  }

#define LC_SETTING_ROW_CONNECT_TIMEOUT(type)                                                       \
  {                                                                                                \
    .path = "connect_timeout_ms", .kind = LC_SETTING_U32,                                          \
    .offset = offsetof (type, connect_timeout_ms), .min = 10, .max = 60000, .default_u64 = 1000,   \
    .unit = "ms", .help = "an attempt to connect to another process is given up after this"        \
  }

#define LC_SETTING_ROW_RECONNECT_MAX(type)                                                         \
  {                                                                                                \
    .path = "reconnect_max_ms", .kind = LC_SETTING_U32,                                            \
    .offset = offsetof (type, reconnect_max_ms), .min = 10, .max = 60000, .default_u64 = 2000,     \
    .unit = "ms",                                                                                  \
    .help = "longest wait between attempts to reach an upstream; less finds it sooner, at the "    \
            "price of more attempts by everybody while it is away"                                 \
  }

#define LC_SETTING_ROW_PACKET_FORMAT(type)                                                         \
  {                                                                                                \
    .path = "packet_format", .kind = LC_SETTING_CHOICE, .offset = offsetof (type, packet_format),  \
    .choices = LC_PACKET_FORMAT_NAMES, .default_u64 = LC_PACKET_IPV4,                              \
    .help = "packets of callers: raw IPv4, or a head whose flows the backend server answers for"   \
  }

#endif /* LC_SETTINGS_COMMON_H */
