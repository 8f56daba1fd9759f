#include "lc-control-private.h"

/* The first service, by id, that would lose its last endpoint, or NULL. */
static const LcService *
lc_control__find_emptied (const LcControlState *state, LcDcId dc)
{
  GPtrArray *services = lc_control_state_services (state);
  const LcService *found = NULL;

  for (guint i = 0; i < services->len && found == NULL; i++)
    {
      const LcService *s = g_ptr_array_index (services, i);

      if (lc_evacuation_n_candidates (&state->view, s, 0) > 0 &&
          lc_evacuation_n_candidates (&state->view, s, dc) == 0)
        found = s;
    }
  g_ptr_array_unref (services);
  return found;
}

static int
lc_control__check_evacuation (const LcControlState *state,
                              const LcEvacuation *order,
                              const LcDataCentre *dc,
                              LcError *error)
{
  const LcService *emptied =
      order->is_wanted && !order->allow_empty ? lc_control__find_emptied (state, dc->id) : NULL;

  if (emptied == NULL)
    return 0;
  return lc_error_set (error, LC_ERR_REFUSED,
                       "bring endpoints up elsewhere first, or give the order with --allow-empty",
                       "service %s would have no endpoint: its new requests and flows fail",
                       emptied->name);
}

static void
lc_control__put_evacuation (LcControlState *state,
                            LcRevision revision,
                            const LcDataCentre *dc,
                            const LcControlCommand *c)
{
  LcViewOp op = { .kind = LC_VIEW_DC };

  op.dc = *dc;
  op.dc.is_evacuated = c->evacuation.is_wanted;
  op.dc.evacuation_revision = revision;
  op.dc.evacuation_wall_us = c->wall_us;
  lc_control__emit (state, revision, &op);
}

int
lc_control__evacuate (LcControlState *state,
                      LcRevision revision,
                      const LcControlCommand *c,
                      LcError *error)
{
  const LcEvacuation *order = &c->evacuation;
  const LcDataCentre *dc = lc_view_dc_by_name (&state->view, order->data_centre);
  int r;

  if (dc == NULL)
    return lc_error_set (error, LC_ERR_NOT_FOUND, "look at `lychee status` for the known names",
                         "there is no data centre %s", order->data_centre);
  switch (lc_evacuation_decide (order, dc))
    {
    case LC_EVACUATION_IN_FORCE:
      return 0;
    case LC_EVACUATION_SUPERSEDED:
      return lc_error_set (error, LC_ERR_UNAVAILABLE,
                           "look at `lychee history`; give the order again if it is still wanted",
                           "the evacuation of %s was changed while this order was on its way",
                           dc->name);
    case LC_EVACUATION_CHANGE:
    default:
      break;
    }
  r = lc_control__check_evacuation (state, order, dc, error);
  if (r == 0)
    lc_control__put_evacuation (state, revision, dc, c);
  return r;
}
