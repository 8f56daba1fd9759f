#include "lc-control-settings.h"

#include "io/lc-settings-common.h"

#include <glib.h>

#define FIELD(member) .offset = offsetof (LcControlSettings, member)

static const LcSettingsField LC_CONTROL_FIELDS[] = {
  LC_SETTING_ROW_NAME (LcControlSettings, "unique name of this control VM"),
  LC_SETTING_ROW_DATA_CENTRE (LcControlSettings),
  LC_SETTING_ROW_ADDRESS (LcControlSettings),
  { .path = "peer_port",
    .kind = LC_SETTING_PORT,
    FIELD (peer_port),
    .min = 1,
    .default_u64 = 7000,
    .unit = "port",
    .help = "TCP frames from control VMs and balancers" },
  { .path = "http_port",
    .kind = LC_SETTING_PORT,
    FIELD (http_port),
    .min = 1,
    .default_u64 = 8080,
    .unit = "port",
    .help = "HTTP from operators" },
  { .path = "admin_port",
    .kind = LC_SETTING_PORT,
    FIELD (admin_port),
    .default_u64 = 9100,
    .unit = "port",
    .help = "metrics and health; 0: they are served at http_port" },
  { .path = "regions",
    .kind = LC_SETTING_STRING,
    FIELD (regions),
    .size = sizeof ((LcControlSettings *)0)->regions,
    .help =
        "names of regions, joined by commas, that addresses may have as homes before a balancer "
        "there has announced itself" },
  { .path = "data_folder",
    .kind = LC_SETTING_STRING,
    FIELD (data_folder),
    .size = sizeof ((LcControlSettings *)0)->data_folder,
    .help = "folder of the log and snapshots, on a disk of its own; left out: this VM has no disk, "
            "never votes and passes calls on to those that do" },
  { .path = "members",
    .kind = LC_SETTING_ADDRESS_LIST,
    FIELD (members),
    .size = sizeof ((LcControlSettings *)0)->members,
    .count_offset = offsetof (LcControlSettings, n_members),
    .min = 1,
    .is_required = true,
    .help = "peer addresses of the control VMs that form the cluster, this one too" },
  { .path = "members_peer_port",
    .kind = LC_SETTING_PORT,
    FIELD (members_peer_port),
    .unit = "port",
    .help = "stands for the ports in `members`; 0: they count" },
  { .path = "may_form",
    .kind = LC_SETTING_BOOL,
    FIELD (may_form),
    .default_u64 = 1,
    .help = "whether an empty data folder may form a new cluster with the other members" },
  { .path = "heals",
    .kind = LC_SETTING_BOOL,
    FIELD (heals),
    .default_u64 = 0,
    .help =
        "whether members that lost their disks, or stay silent while an empty one stands by, are "
        "replaced without an operator" },
  { .path = "disks_lost_at_once",
    .kind = LC_SETTING_U32,
    FIELD (disks_lost_at_once),
    .max = (LC_CONTROL_MEMBERS_MAX - 1) / 2,
    .default_u64 = 0,
    .unit = "VMs",
    .help = "how many control VMs may lose their disks at the same time: a cluster that heals "
            "grows to twice as many voters and one, from VMs that stand by; 0: it keeps as many "
            "voters as `members` has" },
  { .path = "heartbeat_ms",
    .kind = LC_SETTING_U32,
    FIELD (heartbeat_ms),
    .min = 5,
    .max = 10000,
    .default_u64 = 50,
    .unit = "ms",
    .help = "between the leader's heartbeats" },
  { .path = "election_min_ms",
    .kind = LC_SETTING_U32,
    FIELD (election_min_ms),
    .min = 50,
    .max = 60000,
    .default_u64 = 500,
    .unit = "ms",
    .help = "shortest silence of a leader after which another may stand" },
  { .path = "election_max_ms",
    .kind = LC_SETTING_U32,
    FIELD (election_max_ms),
    .min = 60,
    .max = 120000,
    .default_u64 = 900,
    .unit = "ms",
    .help = "longest silence of a leader before another stands" },
  { .path = "snapshot_every",
    .kind = LC_SETTING_U32,
    FIELD (snapshot_every),
    .min = 16,
    .max = 10000000,
    .default_u64 = 4096,
    .unit = "entries",
    .help = "entries of the log between snapshots" },
  { .path = "snapshot_every_kb",
    .kind = LC_SETTING_U32,
    FIELD (snapshot_every_kb),
    .min = 64,
    .max = 4194304,
    .default_u64 = 8192,
    .unit = "KiB",
    .help = "commands of the log between snapshots: with a segment of 8 MiB, the disk needs three "
            "times that" },
  { .path = "request_timeout_ms",
    .kind = LC_SETTING_U32,
    FIELD (request_timeout_ms),
    .min = 100,
    .max = 60000,
    .default_u64 = 5000,
    .unit = "ms",
    .help = "longest wait of an operator's request for its commit" },
  { .path = "lease_ms",
    .kind = LC_SETTING_U32,
    FIELD (lease_ms),
    .min = 200,
    .max = 60000,
    .default_u64 = 3000,
    .unit = "ms",
    .help = "a balancer not heard for this long is lost" },
  { .path = "max_flow_s",
    .kind = LC_SETTING_U32,
    FIELD (max_flow_s),
    .max = 604800,
    .default_u64 = 0,
    .unit = "s",
    .help = "no flow is older: former services of a moved address and former idle timeouts are "
            "dropped after twice that time; 0: they are kept" },
  LC_SETTING_ROW_CONNECT_TIMEOUT (LcControlSettings),
  { .path = "drain_limit_ms",
    .kind = LC_SETTING_U32,
    FIELD (drain_limit_ms),
    .min = 100,
    .max = 600000,
    .default_u64 = 5000,
    .unit = "ms",
    .help = "longest wait for requests in flight at a planned stop" },
};

const LcSettingsSchema LC_CONTROL_SCHEMA = { .program = "lychee-control",
                                             .fields = LC_CONTROL_FIELDS,
                                             .n_fields = G_N_ELEMENTS (LC_CONTROL_FIELDS),
                                             .size = sizeof (LcControlSettings) };

uint32_t
lc_control_settings_voters (const LcControlSettings *settings)
{
  return settings->disks_lost_at_once > 0 ? 2 * settings->disks_lost_at_once + 1
                                          : settings->n_members;
}

const char *
lc_control_settings_check (const void *settings)
{
  const LcControlSettings *s = settings;

  if (s->election_min_ms < 4 * s->heartbeat_ms)
    return "election_min_ms must be at least four times heartbeat_ms";
  if (s->election_max_ms < s->election_min_ms + s->heartbeat_ms)
    return "election_max_ms must exceed election_min_ms by at least heartbeat_ms";
  if (s->disks_lost_at_once > 0 && !s->heals)
    return "disks_lost_at_once needs heals, which lets VMs that stand by in";
  return NULL;
}
