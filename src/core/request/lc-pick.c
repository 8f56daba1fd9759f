#include "lc-pick.h"

#include <string.h>

enum
{
  LC_PICK_ALL_UP_TO = 8,
  LC_PICK_CHOICES = 4,
  LC_PICK_RAMP_FLOOR_PERCENT = 10,
  LC_PICK_MAX_HALVINGS = 20,
  LC_PICK_SMOOTHING = 8,
  /* slow endpoints free their slots late: they get a little less */
  LC_PICK_SERVICE_TIME_DIVISOR = 24,
};

#define LC_PICK_DISTANCE_US (2 * LC_US_PER_MS)
#define LC_PICK_HALF_LIFE_US (250 * LC_US_PER_MS)
#define LC_PICK_SILENCE_US (100 * LC_US_PER_MS)
#define LC_PICK_RAMP_US (10 * LC_US_PER_S)
#define LC_PICK_SERVICE_US (10 * LC_US_PER_MS)
/* Connecting within a data centre takes under a millisecond, on a busy host tens of them. */
#define LC_PICK_CONNECT_US (100 * LC_US_PER_MS)

/* === private: the table ===================================================================== */

static void
lc_pick__fill_target (LcPickTarget *target, const LcEndpoint *e)
{
  target->ref = (LcMemberRef){ e->id, e->instance };
  target->dc = e->dc;
  target->ipv4 = e->ipv4;
  target->peer_port = e->peer_port;
  target->slots = e->slots > 0 ? e->slots : 1;
  target->weight_percent = e->weight_percent;
}

static LcPickTarget
lc_pick__make_target (LcPick *pick, const LcEndpoint *e, int64_t now_us)
{
  const LcPickTarget *known = lc_pick_find (pick, e->instance);
  LcPickTarget target = { .is_reachable = true };

  if (known != NULL)
    target = *known;
  else if (pick->has_view || e->state == LC_ENDPOINT_JOINING)
    target.joined_us = now_us;
  lc_pick__fill_target (&target, e);
  return target;
}

/* === private: the score ===================================================================== */

/* Slow start: the share of an endpoint's capacity that may be used, in percent. */
static int64_t
lc_pick__ramp_percent (const LcPick *pick, const LcPickTarget *target, int64_t now_us)
{
  int64_t age_us = now_us - target->joined_us;
  int64_t percent;

  if (target->joined_us == 0 || age_us >= pick->desc.ramp_us)
    return 100;
  percent = age_us > 0 ? 100 * age_us / pick->desc.ramp_us : 0;
  return percent > LC_PICK_RAMP_FLOOR_PERCENT ? percent : LC_PICK_RAMP_FLOOR_PERCENT;
}

/* The load of other balancers, halved each half-life since the report; in 1/256 of a request. */
static int64_t
lc_pick__others_load (const LcPick *pick, const LcPickTarget *target, int64_t now_us)
{
  int64_t age_us = now_us > target->last_report_us ? now_us - target->last_report_us : 0;
  int64_t halvings = age_us / pick->desc.half_life_us;
  int64_t rest_us = age_us % pick->desc.half_life_us;
  int64_t others_load;

  if (halvings > LC_PICK_MAX_HALVINGS)
    return 0;
  others_load = ((int64_t)target->others_load << 8) >> halvings;
  return others_load - others_load * rest_us / pick->desc.half_life_us / 2;
}

/* The load of all balancers, in 1/256 of a request. */
static int64_t
lc_pick__load (const LcPick *pick, const LcPickTarget *target, int64_t now_us)
{
  return (int64_t)target->outstanding * 256 + lc_pick__others_load (pick, target, now_us);
}

int64_t
lc_pick_score (const LcPick *pick, const LcPickTarget *target, int64_t now_us)
{
  int64_t service_us = target->service_us > 0 ? target->service_us : LC_PICK_SERVICE_US;
  int64_t ramp = lc_pick__ramp_percent (pick, target, now_us);
  int64_t capacity = (int64_t)target->slots * 256 * target->weight_percent * ramp / 10000;
  int64_t load = lc_pick__load (pick, target, now_us);
  int64_t over = load + 256 - capacity;
  int64_t score;

  if (capacity < 1)
    capacity = 1;
  /* Among endpoints with free slots the less loaded one is better, whatever its service time: slots
   * fill evenly, and a slow endpoint's stay taken longer.  Only waiting for a slot costs time. */
  score = LC_PICK_SERVICE_US * load / capacity;
  if (over > 0)
    score += service_us * over / capacity;
  if (target->dc != pick->desc.own_dc && pick->desc.own_dc != 0)
    score += pick->desc.distance_us;
  score += service_us / LC_PICK_SERVICE_TIME_DIVISOR;
  return score + LC_PICK_SERVICE_US * target->shed_share / 256;
}

/* === private: choosing ====================================================================== */

static bool
lc_pick__is_usable (const LcPickTarget *target, const LcInstance *tried, uint32_t n_tried)
{
  if (target->is_draining || target->is_evacuated || !target->is_reachable)
    return false;
  for (uint32_t i = 0; i < n_tried; i++)
    if (tried[i] == target->ref.instance)
      return false;
  return true;
}

/* Ejected, or silent with open attempts: disconnected or frozen. */
static bool
lc_pick__is_avoided (const LcPick *pick, const LcPickTarget *target, int64_t now_us)
{
  bool is_silent =
      target->outstanding > 0 && now_us - target->last_message_us > pick->desc.silence_us;

  return is_silent || lc_outlier_is_ejected (&target->outlier, now_us);
}

/* Panic threshold: none is avoided unless at least half of the endpoints are left. */
static bool
lc_pick__may_avoid (const LcPick *pick, int64_t now_us)
{
  uint32_t avoided = 0;

  for (uint32_t i = 0; i < pick->n_targets; i++)
    avoided += lc_pick__is_avoided (pick, &pick->targets[i], now_us);
  return 2 * avoided <= pick->n_targets;
}

static uint32_t
lc_pick__list_usable (
    const LcPick *pick, const LcInstance *tried, uint32_t n_tried, int64_t now_us, uint32_t *out)
{
  bool may_avoid = lc_pick__may_avoid (pick, now_us);
  uint32_t n = 0;

  for (uint32_t i = 0; i < pick->n_targets; i++)
    if (lc_pick__is_usable (&pick->targets[i], tried, n_tried) &&
        !(may_avoid && lc_pick__is_avoided (pick, &pick->targets[i], now_us)))
      out[n++] = i;
  return n;
}

static uint64_t
lc_pick__next_random (uint64_t *random)
{
  /* splitmix64 */
  uint64_t z = (*random += UINT64_C (0x9e3779b97f4a7c15));

  z = (z ^ (z >> 30)) * UINT64_C (0xbf58476d1ce4e5b9);
  z = (z ^ (z >> 27)) * UINT64_C (0x94d049bb133111eb);
  return z ^ (z >> 31);
}

static uint32_t
lc_pick__n_choices (const LcPick *pick, uint32_t n)
{
  uint32_t choices = pick->desc.choices;

  if (choices == 0)
    choices = n <= LC_PICK_ALL_UP_TO ? n : LC_PICK_CHOICES;
  return choices < n ? choices : n;
}

/* === public ================================================================================= */

void
lc_pick_init (LcPick *pick, const LcPickDesc *desc)
{
  memset (pick, 0, sizeof *pick);
  pick->desc = *desc;
  if (pick->desc.distance_us == 0)
    pick->desc.distance_us = LC_PICK_DISTANCE_US;
  if (pick->desc.half_life_us == 0)
    pick->desc.half_life_us = LC_PICK_HALF_LIFE_US;
  if (pick->desc.silence_us == 0)
    pick->desc.silence_us = LC_PICK_SILENCE_US;
  if (pick->desc.ramp_us == 0)
    pick->desc.ramp_us = LC_PICK_RAMP_US;
}

void
lc_pick_finish (LcPick *pick)
{
  g_free (pick->targets);
  pick->targets = NULL;
  pick->n_targets = 0;
}

void
lc_pick_set_service (LcPick *pick, const LcService *service, int64_t now_us)
{
  uint32_t n = service != NULL ? service->n_endpoints : 0;
  LcPickTarget *targets = g_new0 (LcPickTarget, n + 1);
  uint32_t n_targets = 0;

  for (uint32_t i = 0; i < n; i++)
    if (lc_endpoint_is_candidate (&service->endpoints[i]))
      targets[n_targets++] = lc_pick__make_target (pick, &service->endpoints[i], now_us);
  g_free (pick->targets);
  pick->targets = targets;
  pick->n_targets = n_targets;
  pick->has_view = n_targets > 0;
}

void
lc_pick_set_evacuated (LcPick *pick, const LcView *view)
{
  for (uint32_t i = 0; i < pick->n_targets; i++)
    pick->targets[i].is_evacuated = lc_view_is_evacuated (view, pick->targets[i].dc);
}

LcPickTarget *
lc_pick_find (LcPick *pick, LcInstance instance)
{
  for (uint32_t i = 0; i < pick->n_targets; i++)
    if (pick->targets[i].ref.instance == instance)
      return &pick->targets[i];
  return NULL;
}

void
lc_pick_begin_attempt (LcPickTarget *target, int64_t now_us)
{
  if (target->outstanding == 0)
    target->last_message_us = now_us;
  target->outstanding++;
}

void
lc_pick_end_attempt (LcPickTarget *target)
{
  if (target->outstanding > 0)
    target->outstanding--;
}

void
lc_pick_record_shed (LcPickTarget *target, bool is_shed)
{
  target->shed_share -= target->shed_share / LC_PICK_SMOOTHING;
  if (is_shed)
    target->shed_share += 256 / LC_PICK_SMOOTHING;
}

void
lc_pick_apply_report (LcPick *pick, LcInstance instance, const LcPickReport *report, int64_t now_us)
{
  LcPickTarget *target = lc_pick_find (pick, instance);
  uint32_t all = report->running + report->queued;

  if (target == NULL)
    return;
  target->others_load = all > target->outstanding ? all - target->outstanding : 0;
  target->last_report_us = now_us;
  target->last_message_us = now_us;
  target->service_us = report->service_us;
  target->is_draining = report->is_draining;
  if (report->limit > 0)
    target->slots = report->limit;
}

bool
lc_pick_is_full (const LcPick *pick, const LcPickTarget *target, int64_t now_us)
{
  return lc_pick__load (pick, target, now_us) >= (int64_t)target->slots * 256;
}

void
lc_pick_set_connecting (LcPickTarget *target, int64_t now_us)
{
  if (target->is_reachable)
    target->connecting_us = now_us;
  target->is_reachable = false;
}

bool
lc_pick_is_connecting (const LcPickTarget *target, int64_t now_us)
{
  return target->connecting_us != 0 && now_us - target->connecting_us < LC_PICK_CONNECT_US;
}

void
lc_pick_set_reachable (LcPickTarget *target, bool is_reachable)
{
  target->is_reachable = is_reachable;
  target->connecting_us = 0;
}

LcPickTarget *
lc_pick_choose (
    LcPick *pick, uint64_t random, const LcInstance *tried, uint32_t n_tried, int64_t now_us)
{
  uint32_t stack[64];
  uint32_t *usable = pick->n_targets <= 64 ? stack : g_new (uint32_t, pick->n_targets);
  uint32_t n = lc_pick__list_usable (pick, tried, n_tried, now_us, usable);
  uint32_t choices = lc_pick__n_choices (pick, n);
  LcPickTarget *best = NULL;
  int64_t best_score = 0;

  for (uint32_t i = 0; i < choices; i++)
    {
      uint32_t at = i + (uint32_t)(lc_pick__next_random (&random) % (n - i));
      uint32_t drawn = usable[at];
      int64_t score = lc_pick_score (pick, &pick->targets[drawn], now_us);

      usable[at] = usable[i];
      if (best == NULL || score < best_score)
        {
          best = &pick->targets[drawn];
          best_score = score;
        }
    }
  if (usable != stack)
    g_free (usable);
  return best;
}
