/* Guards against agents that lose their granted claims when they are killed.
 *
 *   All five agents of a service were killed within seconds and restarted two seconds later without
 *   their claims.  Nobody could tell of any key whether it had run, so the service refused every
 *   keyed order for 65 s, with all backend servers alive (soak seed 2006: 174 complete answers in
 *   77 s; 3104 with the claim file). */
#include "agent/lc-claim-file.h"
#include "tests/fakes/lc-fake-disk.h"
#include "tests/fakes/lc-fake-run.h"

#include <check.h>
#include <string.h>

enum
{
  N_KEYS = 20,
  SELF = 3,
  EARLIER = 1003, /* instance before the restart */
  LATER = 2003,
};

static const char BOOT[] = "11111111-2222-3333-4444-555555555555";
static const char OTHER_BOOT[] = "99999999-2222-3333-4444-555555555555";

static const LcClaimProgress KNOWN = { .incarnations = { { SELF, EARLIER }, { SELF, 7 } },
                                       .n_incarnations = 2,
                                       .complete = 40,
                                       .complete_from = 30 };

static LcClaimFileDesc
desc_of (LcFakeDisk *fake, const char *boot_id, const char *service)
{
  LcClaimFileDesc desc = { .disk = lc_fake_disk_interface (fake) };

  (void)g_strlcpy (desc.boot_id, boot_id, sizeof desc.boot_id);
  (void)g_strlcpy (desc.service, service, sizeof desc.service);
  return desc;
}

static void
init_agent (LcRequestAgent *agent, LcInstance instance)
{
  LcRequestAgentDesc desc = { .self = { SELF, instance }, .admission = { .slots = 1 } };

  lc_request_agent_init (agent, &desc);
}

static LcClaimRecord
hold_of (uint64_t i)
{
  return (LcClaimRecord){ .key = { i * 7919, (uint64_t)1 << 32 | i },
                          .owner = { 1, 1001 },
                          .sequence = i,
                          .expires_us = 300 * LC_US_PER_S };
}

/* One process: it has a state, grants claims, and releases the first. */
static void
live (LcFakeDisk *fake)
{
  LcClaimFileDesc desc = desc_of (fake, BOOT, "order-desk");
  LcError error = { 0 };
  LcRequestAgent agent;
  LcClaimFile file;

  lc_claim_file_init (&file, &desc);
  init_agent (&agent, EARLIER);
  ck_assert_int_eq (lc_claim_file_load (&file, &agent, 0, &error), 0);
  /* It was complete at an era, and had been restarted once. */
  agent.claim_sync.earlier[0] = (LcMemberRef){ SELF, 7 };
  agent.claim_sync.n_earlier = 1;
  agent.claim_sync.complete = KNOWN.complete;
  agent.claim_sync.complete_from = KNOWN.complete_from;
  ck_assert_int_eq (lc_claim_file_update (&file, &agent, 0, &error), 0);
  for (uint64_t i = 0; i < N_KEYS; i++)
    {
      LcClaimRecord hold = hold_of (i + 1);

      ck_assert_int_eq (lc_claim_file_append (&file, &hold, &error), 0);
    }
  ck_assert_int_eq (
      lc_claim_file_append (&file, &(LcClaimRecord){ .key = hold_of (1).key }, &error), 0);
  lc_claim_file_finish (&file);
  lc_request_agent_finish (&agent);
}

typedef enum
{
  DAMAGE_NONE,
  DAMAGE_TAIL,   /* the last entry is truncated */
  DAMAGE_MIDDLE, /* an entry is overwritten */
  DAMAGE_HEAD,   /* only half of the head is left */
} Damage;

static const struct
{
  const char *what;
  const char *boot_id;
  const char *service;
  Damage damage;
  uint32_t n_claims;
  bool is_resumed;
} STARTS[] = {
  { "after a kill", BOOT, "order-desk", DAMAGE_NONE, N_KEYS - 1, true },
  { "killed in the middle of a write", BOOT, "order-desk", DAMAGE_TAIL, N_KEYS, true },
  { "after a reboot of the VM", OTHER_BOOT, "order-desk", DAMAGE_NONE, 0, false },
  { "for another service", BOOT, "ticket-vault", DAMAGE_NONE, 0, false },
  { "overwritten in the middle", BOOT, "order-desk", DAMAGE_MIDDLE, 0, false },
  { "truncated within the head", BOOT, "order-desk", DAMAGE_HEAD, 0, false },
};

static void
damage (LcFakeDisk *fake, Damage how)
{
  LcDisk disk = lc_fake_disk_interface (fake);
  GByteArray *bytes = g_byte_array_new ();
  LcError error = { 0 };

  ck_assert_int_eq (disk.read (disk.user, "claims", bytes, &error), 0);
  if (how == DAMAGE_TAIL)
    g_byte_array_set_size (bytes, bytes->len - 5);
  if (how == DAMAGE_HEAD)
    g_byte_array_set_size (bytes, 6);
  if (how == DAMAGE_MIDDLE)
    memset (bytes->data + bytes->len / 2, 0xff, 40);
  ck_assert_int_eq (disk.truncate (disk.user, "claims", 0, &error), 0);
  ck_assert_int_eq (disk.append (disk.user, "claims", bytes->data, bytes->len, &error), 0);
  g_byte_array_free (bytes, TRUE);
}

START_TEST (test_next_start)
{
  LcFakeDisk *fake = lc_fake_disk_new (1);
  LcClaimFileDesc desc = desc_of (fake, STARTS[_i].boot_id, STARTS[_i].service);
  LcClaimProgress state;
  LcError error = { 0 };
  LcRequestAgent agent;
  LcClaimFile file;

  live (fake);
  if (STARTS[_i].damage != DAMAGE_NONE)
    damage (fake, STARTS[_i].damage);
  lc_claim_file_init (&file, &desc);
  init_agent (&agent, LATER);
  ck_assert_int_eq (lc_claim_file_load (&file, &agent, 0, &error), (int)STARTS[_i].n_claims);
  ck_assert_msg (lc_claim_store_size (&agent.store) == STARTS[_i].n_claims, "%s: %u claims",
                 STARTS[_i].what, lc_claim_store_size (&agent.store));
  for (uint64_t i = N_KEYS; i > N_KEYS - STARTS[_i].n_claims; i--)
    ck_assert_uint_eq (lc_claim_store_find (&agent.store, hold_of (i).key, 0)->sequence, i);
  lc_claim_sync_progress (&agent.claim_sync, &state);
  ck_assert_uint_eq (state.complete, STARTS[_i].is_resumed ? KNOWN.complete : 0);
  ck_assert_uint_eq (state.n_incarnations, STARTS[_i].is_resumed ? 3 : 1);
  ck_assert (lc_member_ref_equal (state.incarnations[0], (LcMemberRef){ SELF, LATER }));
  if (STARTS[_i].is_resumed)
    ck_assert (lc_member_ref_equal (state.incarnations[1], KNOWN.incarnations[0]) &&
               lc_member_ref_equal (state.incarnations[2], KNOWN.incarnations[1]));
  lc_claim_file_finish (&file);
  lc_request_agent_finish (&agent);
  lc_fake_disk_free (fake);
}
END_TEST

/* A file that lacks a claim must not load: its reader would grant that claim again. */
START_TEST (test_full_disk)
{
  LcFakeDisk *fake = lc_fake_disk_new (1);
  LcClaimFileDesc desc = desc_of (fake, BOOT, "order-desk");
  LcError error = { 0 };
  LcRequestAgent agent;
  LcRequestAgent next;
  LcClaimFile file;
  LcClaimRecord hold = hold_of (N_KEYS + 1);

  live (fake);
  lc_claim_file_init (&file, &desc);
  init_agent (&agent, LATER);
  ck_assert_int_eq (lc_claim_file_load (&file, &agent, 0, &error), N_KEYS - 1);
  lc_request_agent_resume_claim (&agent, &hold);
  fake->bytes_left = 10;
  ck_assert_int_lt (lc_claim_file_append (&file, &hold, &error), 0);
  ck_assert_int_eq (lc_claim_file_append (&file, &hold, &error),
                    0); /* not written, and the error is reported once */
  init_agent (&next, LATER + 1);
  {
    LcClaimFile other;

    lc_claim_file_init (&other, &desc);
    ck_assert_int_lt (lc_claim_file_load (&other, &next, 0, &error), 0);
    ck_assert_uint_eq (lc_claim_store_size (&next.store), 0);
    lc_claim_file_finish (&other);
  }
  fake->bytes_left = -1;
  ck_assert_int_eq (lc_claim_file_update (&file, &agent, 2 * LC_CLAIM_FILE_REWRITE_US, &error), 0);
  {
    LcClaimFile other;

    lc_claim_file_init (&other, &desc);
    ck_assert_int_eq (lc_claim_file_load (&other, &next, 0, &error), N_KEYS);
    lc_claim_file_finish (&other);
  }
  lc_claim_file_finish (&file);
  lc_request_agent_finish (&agent);
  lc_request_agent_finish (&next);
  lc_fake_disk_free (fake);
}
END_TEST

/* Guards against a file that grows with every claim ever made rather than with the present ones. */
START_TEST (test_growth)
{
  LcFakeDisk *fake = lc_fake_disk_new (1);
  LcClaimFileDesc desc = desc_of (fake, BOOT, "order-desk");
  LcError error = { 0 };
  LcRequestAgent agent;
  LcClaimFile file;

  lc_claim_file_init (&file, &desc);
  init_agent (&agent, EARLIER);
  ck_assert_int_eq (lc_claim_file_load (&file, &agent, 0, &error), 0);
  for (uint64_t i = 1; i <= 100000; i++)
    {
      LcClaimRecord hold = hold_of (i);

      ck_assert_int_eq (lc_claim_file_append (&file, &hold, &error), 0);
      ck_assert_int_eq (lc_claim_file_update (&file, &agent, (int64_t)i, &error), 0);
      ck_assert_uint_lt (file.bytes, 2 * LC_CLAIM_FILE_GROWTH);
    }
  lc_claim_file_finish (&file);
  lc_request_agent_finish (&agent);
  lc_fake_disk_free (fake);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("claim-file");
  TCase *tcase = tcase_create ("restarts");

  tcase_add_loop_test (tcase, test_next_start, 0, (int)G_N_ELEMENTS (STARTS));
  tcase_add_test (tcase, test_full_disk);
  tcase_add_test (tcase, test_growth);
  suite_add_tcase (suite, tcase);
  return lc_fake_run (suite);
}
