/* lc-control-settings: settings schema of lychee-control.
 *
 * `members` lists the peer addresses of all control VMs that form the cluster, this one too.  Once
 * it is formed, the members in the replicated log count; the list is then only used to find peers.
 */
#ifndef LC_CONTROL_SETTINGS_H
#define LC_CONTROL_SETTINGS_H

#include "io/lc-settings.h"

enum
{
  LC_CONTROL_MEMBERS_MAX = 9,
  LC_CONTROL_REGIONS_BYTES = 4096, /* one per data centre, for some hundred */
};

typedef struct
{
  char name[LC_NAME_MAX];
  char data_centre[LC_NAME_MAX];
  uint32_t ipv4;
  uint16_t peer_port;
  uint16_t http_port;
  uint16_t admin_port;
  char regions[LC_CONTROL_REGIONS_BYTES]; /* names joined by commas, repeats allowed */
  char data_folder[256];                  /* empty: no disk; it never votes, and redirects calls */
  LcSocketAddress members[LC_CONTROL_MEMBERS_MAX];
  uint32_t n_members;
  uint16_t members_peer_port;  /* 0: as in `members` */
  bool may_form;               /* false: the cluster exists; an empty data folder forms none */
  bool heals;                  /* lost members are replaced automatically */
  uint32_t disks_lost_at_once; /* 2 n + 1 voters; 0: as many as `members` */
  uint32_t heartbeat_ms;
  uint32_t election_min_ms;
  uint32_t election_max_ms;
  uint32_t snapshot_every;
  uint32_t snapshot_every_kb;
  uint32_t request_timeout_ms;
  uint32_t lease_ms;
  uint32_t max_flow_s; /* greatest age of a flow; 0: no limit */
  uint32_t drain_limit_ms;
  uint32_t connect_timeout_ms;
} LcControlSettings;

extern const LcSettingsSchema LC_CONTROL_SCHEMA;

/* The number of voters that a cluster with `heals` grows to. */
uint32_t lc_control_settings_voters (const LcControlSettings *settings);
/* Cross-field check for lc_app_init: NULL, or the error. */
const char *lc_control_settings_check (const void *settings);

#endif /* LC_CONTROL_SETTINGS_H */
