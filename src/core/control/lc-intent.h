/* lc-intent: a configuration change that an operator requests.
 *
 * WHAT IT IS
 *   A kind with its arguments: the name of an object, or a declaration, which describes services
 *   (addresses, routes, limits, objectives) and data centres.
 *
 * HOW TO USE IT
 *     LcIntent intent = { .kind = LC_INTENT_DRAIN };
 *     g_strlcpy (intent.target, "order-3", sizeof intent.target);
 *     lc_intent_check (&intent, &error);
 *     lc_intent_finish (&intent);
 *
 * LIFETIME
 *   An intent owns its declaration's arrays; lc_intent_copy makes an independent one.
 *
 * LIMITS
 *   LC_DECLARATION_MAX services, data centres, and addresses or routes of one service.
 */
#ifndef LC_INTENT_H
#define LC_INTENT_H

#include "core/lc-error.h"
#include "core/lc-home-regions.h"
#include "core/lc-types.h"

#ifdef __cplusplus
extern "C"
{
#endif

  enum
  {
    LC_DECLARATION_MAX = 8192,
    LC_INTENT_TIMEOUT_MS_MAX = 3600000, /* one hour; timeouts and latency objectives */
    LC_INTENT_IDLE_MS_MAX = 604800000,  /* one week; longer idle timeouts of flows are cut to it */
    LC_INTENT_MILLI = 1000,
    LC_INTENT_COLD_RATE_MRPS_MAX = 1000000 * LC_INTENT_MILLI,
  };

  typedef enum
  {
    LC_INTENT_OPEN_MARKET = 1,         /* declaration; all its services are new */
    LC_INTENT_APPLY = 2,               /* declaration; its services become exactly as declared */
    LC_INTENT_CHANGE_RULE = 3,         /* declaration; only its fields are changed */
    LC_INTENT_RETIRE_DATA_CENTRE = 4,  /* target: data centre */
    LC_INTENT_RESTORE_DATA_CENTRE = 5, /* target: data centre; undoes retiring */
    LC_INTENT_DRAIN = 6,               /* target: endpoint */
    LC_INTENT_UNDRAIN = 7,             /* target: endpoint */
    LC_INTENT_REPLACE_CONTROL_VM = 8,  /* target: old member; replacement */
  } LcIntentKind;

  /* The fields that a declared service sets. */
  enum
  {
    LC_DECLARED_ADDRESSES = 1 << 0,
    LC_DECLARED_ROUTES = 1 << 1,
    LC_DECLARED_REQUEST_TIMEOUT = 1 << 2,
    LC_DECLARED_CALLER_LIMIT = 1 << 3,
    LC_DECLARED_RETRY_PERCENT = 1 << 4,
    LC_DECLARED_OBJECTIVE_PPM = 1 << 5,
    LC_DECLARED_OBJECTIVE_LATENCY = 1 << 6,
    LC_DECLARED_RETURNS_PACKETS = 1 << 7,
    LC_DECLARED_COLD_RATE = 1 << 8,
  };

  typedef struct
  {
    char name[LC_NAME_MAX];
    char region[LC_NAME_MAX];
  } LcDeclaredDc;

  typedef struct
  {
    uint32_t ipv4;
    uint16_t port;
    uint8_t protocol;                  /* LcProtocol */
    char homes[LC_HOME_REGIONS_BYTES]; /* lc-home-regions.h */
  } LcDeclaredAddress;

  typedef struct
  {
    char host[LC_PATH_MAX];
    char path_prefix[LC_PATH_MAX];
  } LcDeclaredRoute;

  typedef struct
  {
    char name[LC_NAME_MAX];
    uint32_t fields; /* set of LC_DECLARED_... */
    uint32_t request_timeout_ms;
    uint32_t caller_limit;
    uint32_t retry_percent;
    uint32_t objective_ppm;
    uint32_t objective_latency_ms;
    uint32_t cold_rate_mrps;
    bool returns_packets;
    uint32_t idle_timeout_ms; /* of numbered declarations (lc-numbered.h); 0: not set */
    LcDeclaredAddress *addresses;
    uint32_t n_addresses;
    LcDeclaredRoute *routes;
    uint32_t n_routes;
  } LcDeclaredService;

  typedef struct
  {
    LcDeclaredDc *dcs;
    uint32_t n_dcs;
    LcDeclaredService *services;
    uint32_t n_services;
  } LcDeclaration;

  typedef struct
  {
    char name[LC_NAME_MAX];
    uint32_t ipv4;
    uint16_t peer_port;
    uint16_t http_port;
  } LcControlAddress;

  typedef struct
  {
    LcIntentKind kind;
    char target[LC_NAME_MAX];
    bool allow_empty; /* even if a service is left with no endpoint */
    bool allow_cut;   /* even if established flows are cut */
    LcControlAddress replacement;
    LcDeclaration declaration;
  } LcIntent;

  void lc_intent_copy (LcIntent *to, const LcIntent *from);
  void lc_intent_finish (LcIntent *intent);
  /* Frees the declaration, when the intent is only kept for display. */
  void lc_intent_drop_declaration (LcIntent *intent);
  /* Checks everything that needs no state: names, ranges, duplicates. */
  int lc_intent_check (const LcIntent *intent, LcError *error);
  /* Converts the rate that a cold endpoint can take to thousandths; false: out of range. */
  bool lc_intent_cold_rate (double requests_per_s, uint32_t *rate_mrps);
  /* "open-market" and so on. */
  const char *lc_intent_kind_name (LcIntentKind kind);
  /* 0: unknown word. */
  LcIntentKind lc_intent_kind_parse (const char *word);

#ifdef __cplusplus
}
#endif

#endif /* LC_INTENT_H */
