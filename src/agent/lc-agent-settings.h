/* lc-agent-settings: settings of lychee-agent, from its JSON file. */
#ifndef LC_AGENT_SETTINGS_H
#define LC_AGENT_SETTINGS_H

#include "io/lc-settings.h"

enum
{
  LC_AGENT_MAX_BALANCERS = 16,
};

typedef enum
{
  LC_AGENT_DELIVERY_RELAY = 0,    /* UDP relay: the backend server sees the agent's address */
  LC_AGENT_DELIVERY_INJECT = 1,   /* raw IP: the backend server sees the caller's address */
  LC_AGENT_DELIVERY_DATAGRAM = 2, /* as payload of a datagram; answers come to outbound_port */
} LcAgentDelivery;

typedef struct
{
  char name[LC_NAME_MAX];
  char data_centre[LC_NAME_MAX];
  char service[LC_NAME_MAX];
  uint32_t ipv4;
  uint16_t peer_port;
  uint16_t flow_port;
  uint16_t admin_port;
  uint32_t n_balancers;
  LcSocketAddress balancers[LC_AGENT_MAX_BALANCERS]; /* peer addresses for the first contact */
  LcSocketAddress backend_http;
  LcSocketAddress backend_feed;
  uint32_t delivery;            /* LcAgentDelivery */
  uint32_t packet_format;       /* LcPacketFormat */
  uint16_t outbound_port;       /* 0: the backend server answers callers directly */
  uint16_t report_port;         /* 0: the backend server sends no reports */
  bool has_requests;            /* serves the request plane */
  uint32_t report_interval_ms;  /* usual interval of reports */
  uint16_t balancers_peer_port; /* 0: the ports in `balancers` */
  char data_folder[256];        /* "": claims are kept in memory only */
  uint32_t slots;
  uint32_t connection_limit;
  uint32_t weight_percent;
  uint32_t ramp_ms;
  uint32_t cold_overshoot_permille; /* of the service's rate for cold servers */
  uint32_t cold_slack;              /* requests a second beyond that */
  uint32_t late_answer_ms;          /* later answers are logged and counted */
  uint32_t udp_idle_ms;
  uint32_t tcp_idle_ms;
  uint32_t drain_limit_ms;
  uint32_t connect_timeout_ms;
  uint32_t reconnect_max_ms;
} LcAgentSettings;

extern const LcSettingsSchema LC_AGENT_SCHEMA;

#endif /* LC_AGENT_SETTINGS_H */
