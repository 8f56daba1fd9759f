/* lc-balancer-settings: settings schema of lychee-balancer (JSON file). */
#ifndef LC_BALANCER_SETTINGS_H
#define LC_BALANCER_SETTINGS_H

#include "io/lc-settings.h"

typedef struct
{
  char name[LC_NAME_MAX];
  char data_centre[LC_NAME_MAX];
  char region[LC_NAME_MAX]; /* of the data centre; "": taken from a declaration */
  uint32_t ipv4;
  uint16_t peer_port;
  uint16_t flow_port;
  uint16_t http_port;
  uint16_t admin_port;
  uint32_t link_kbps; /* bandwidth of this VM's link; 0: not set */
  uint32_t n_control;
  LcSocketAddress control[LC_CONTROL_VMS_MAX]; /* peer addresses of lychee-control */
  uint16_t control_peer_port;                  /* replaces the ports in `control`; 0: doesn't */
  uint32_t packet_format;                      /* LcPacketFormat */
  uint32_t drain_limit_ms;
  uint32_t connect_timeout_ms;
  uint32_t reconnect_max_ms;
  uint32_t drain_hold_ms; /* a planned stop forwards at least this long */
  uint32_t lease_ms;
} LcBalancerSettings;

extern const LcSettingsSchema LC_BALANCER_SCHEMA;

#endif /* LC_BALANCER_SETTINGS_H */
