#include "lc-address.h"

#include <string.h>

static void
lc_address__remove_former (LcAddress *a, LcServiceId id)
{
  uint8_t n = 0;

  for (uint8_t i = 0; i < a->n_former; i++)
    if (a->former[i] != id)
      a->former[n++] = a->former[i];
  a->n_former = n;
}

static void
lc_address__put_former (LcAddress *a, LcServiceId id)
{
  bool is_full = a->n_former == LC_ADDRESS_FORMER_MAX;

  if (is_full)
    a->n_former--;
  memmove (&a->former[1], &a->former[0], a->n_former * sizeof a->former[0]);
  a->former[0] = id;
  a->n_former++;
  if (is_full)
    a->former[a->n_former - 1] = LC_ADDRESS_FORMER_OTHERS;
}

void
lc_address_move (LcAddress *a, LcServiceId service_id, LcRevision revision)
{
  LcServiceId before = a->service_id;

  if (before == service_id)
    return;
  lc_address__remove_former (a, service_id);
  lc_address__put_former (a, before);
  a->service_id = service_id;
  a->moved_revision = revision;
}

void
lc_address_drop_former (LcAddress *a)
{
  memset (a->former, 0, sizeof a->former);
  a->n_former = 0;
  a->moved_revision = 0;
}
