/* lc-control-settings: the settings of lychee-control.
 *
 * `members` lists the peer addresses of every control VM that the cluster is formed with, this one
 * too.  Once formed, the members in the replicated log are in force and the list is
 * only used to find peers before that.  lc_control_settings_voters gives the number of voters that
 * a cluster that heals grows to.
 */
#ifndef LC_CONTROL_SETTINGS_H
#define LC_CONTROL_SETTINGS_H

#include "io/lc-settings.h"

enum
{
  LC_CONTROL_MEMBERS_MAX = 9,
  LC_CONTROL_REGIONS_BYTES = 4096, /* a region for each of some hundred data centres */
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
  char data_folder[256]; /* empty: no disk; this VM neither votes nor stores, it passes calls on */
  LcSocketAddress members[LC_CONTROL_MEMBERS_MAX];
  uint32_t n_members;
  uint16_t members_peer_port; /* 0: as in `members` */
  bool may_form; /* false: the cluster was formed before, whatever the data folder says */
  bool heals;    /* lost members are replaced without an operator */
  uint32_t disks_lost_at_once; /* voters: twice that and one; 0: as many as `members` */
  uint32_t heartbeat_ms;
  uint32_t election_min_ms;
  uint32_t election_max_ms;
  uint32_t snapshot_every;
  uint32_t snapshot_every_kb;
  uint32_t request_timeout_ms;
  uint32_t lease_ms;
  uint32_t drain_limit_ms;
  uint32_t connect_timeout_ms;
} LcControlSettings;

extern const LcSettingsSchema LC_CONTROL_SCHEMA;

/* How many members are to vote. */
uint32_t lc_control_settings_voters (const LcControlSettings *settings);
/* Cross-field check for lc_app_init: NULL or what is wrong. */
const char *lc_control_settings_check (const void *settings);

#endif /* LC_CONTROL_SETTINGS_H */
