/* Parser, envelope, destination NAT, candidate choice, flow table, endpoint selection, steering. */
#include "core/flow/lc-assign.h"
#include "core/flow/lc-candidates.h"
#include "core/flow/lc-envelope.h"
#include "core/flow/lc-flow-key.h"
#include "core/flow/lc-flow-table.h"
#include "core/flow/lc-packet-buffer.h"
#include "core/flow/lc-dnat.h"
#include "core/flow/lc-steer.h"
#include "io/lc-flow-wire.h"
#include "tests/fakes/lc-fake-run.h"

#include <check.h>
#include <string.h>

enum
{
  UDP_LEN = 32,
  TCP_LEN = 40,
};

static void
put16 (uint8_t *p, uint16_t v)
{
  p[0] = (uint8_t)(v >> 8);
  p[1] = (uint8_t)v;
}

static uint16_t
sum16 (const uint8_t *p, size_t len, uint32_t sum)
{
  for (size_t i = 0; i + 1 < len; i += 2)
    sum += (uint32_t)((p[i] << 8) | p[i + 1]);
  while (sum >> 16)
    sum = (sum & 0xffff) + (sum >> 16);
  return (uint16_t)sum;
}

/* 127.9.0.1:1000 -> 127.9.0.2:53, with right checksums. */
static void
make_packet (uint8_t *p, uint8_t protocol, uint8_t tcp_flags)
{
  size_t len = protocol == LC_PROTOCOL_UDP ? UDP_LEN : TCP_LEN;
  uint8_t *sum = p + 20 + (protocol == LC_PROTOCOL_UDP ? 6 : 16);

  memset (p, 0, len);
  p[0] = 0x45;
  put16 (p + 2, (uint16_t)len);
  p[8] = 64;
  p[9] = protocol;
  memcpy (p + 12, "\x7f\x09\x00\x01\x7f\x09\x00\x02", 8);
  put16 (p + 20, 1000);
  put16 (p + 22, 53);
  if (protocol == LC_PROTOCOL_UDP)
    put16 (p + 24, (uint16_t)(len - 20));
  else
    {
      p[32] = 0x50;
      p[33] = tcp_flags;
    }
  put16 (p + 10, (uint16_t)~sum16 (p, 20, 0));
  put16 (sum, (uint16_t)~sum16 (p + 12, len - 12, protocol + (uint32_t)len - 20));
}

START_TEST (test_parse)
{
  static const struct
  {
    const char *what;
    uint8_t protocol;
    uint8_t flags;
    int at; /* byte to overwrite, -1: none */
    uint8_t value;
    size_t cut;
    int expected;
    bool may_open;
    bool is_last;
  } CASES[] = {
    { "udp", 17, 0, -1, 0, 0, LC_OK, true, false },
    { "syn", 6, 0x02, -1, 0, 0, LC_OK, true, false },
    { "syn-ack", 6, 0x12, -1, 0, 0, LC_OK, false, false },
    { "ack", 6, 0x10, -1, 0, 0, LC_OK, false, false },
    { "fin", 6, 0x11, -1, 0, 0, LC_OK, false, true },
    { "rst", 6, 0x04, -1, 0, 0, LC_OK, false, true },
    { "ipv6", 17, 0, 0, 0x65, 0, LC_ERR_INVALID, false, false },
    { "short header", 17, 0, 0, 0x44, 0, LC_ERR_INVALID, false, false },
    { "header beyond packet", 17, 0, 0, 0x4f, 0, LC_ERR_INVALID, false, false },
    { "icmp", 17, 0, 9, 1, 0, LC_ERR_INVALID, false, false },
    { "later fragment", 17, 0, 7, 1, 0, LC_ERR_INVALID, false, false },
    { "first fragment", 17, 0, 6, 0x20, 0, LC_ERR_INVALID, false, false },
    { "cut", 17, 0, -1, 0, 1, LC_ERR_TRUNCATED, false, false },
    { "empty", 17, 0, -1, 0, UDP_LEN, LC_ERR_TRUNCATED, false, false },
    { "total length too small", 17, 0, 3, 21, 0, LC_ERR_TRUNCATED, false, false },
    { "tcp data offset beyond", 6, 0x02, 32, 0xf0, 0, LC_ERR_INVALID, false, false },
    { "tcp data offset short", 6, 0x02, 32, 0x40, 0, LC_ERR_INVALID, false, false },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (CASES); i++)
    {
      uint8_t bytes[TCP_LEN];
      LcPacket packet;
      size_t len = CASES[i].protocol == 17 ? UDP_LEN : TCP_LEN;
      uint8_t *exact;
      int r;

      make_packet (bytes, CASES[i].protocol, CASES[i].flags);
      if (CASES[i].at >= 0)
        bytes[CASES[i].at] = CASES[i].value;
      /* Exact size: ASan finds a read beyond. */
      exact = g_memdup2 (bytes, len - CASES[i].cut);
      r = lc_packet_parse (&packet, exact, len - CASES[i].cut);
      g_free (exact);
      ck_assert_msg (r == CASES[i].expected, "%s: %d", CASES[i].what, r);
      if (r == LC_OK)
        ck_assert_msg (packet.may_open == CASES[i].may_open && packet.is_last == CASES[i].is_last &&
                           packet.key.source_port == 1000 && packet.key.target_port == 53 &&
                           packet.key.source_ipv4 == 0x7f090001,
                       "%s", CASES[i].what);
    }
}
END_TEST

/* A receiver drops packets with a wrong checksum. */
START_TEST (test_retarget_keeps_checksums_valid)
{
  static const uint8_t PROTOCOLS[] = { LC_PROTOCOL_UDP, LC_PROTOCOL_TCP };

  for (size_t i = 0; i < G_N_ELEMENTS (PROTOCOLS); i++)
    for (uint32_t k = 0; k < 500; k++)
      {
        uint8_t p[TCP_LEN];
        size_t len = PROTOCOLS[i] == LC_PROTOCOL_UDP ? UDP_LEN : TCP_LEN;
        LcPacket packet;

        make_packet (p, PROTOCOLS[i], 0x02);
        ck_assert_int_eq (lc_packet_parse (&packet, p, len), 0);
        lc_dnat_rewrite (p, &packet, 0x7f000001 + k * 77777U, (uint16_t)(k * 131));
        ck_assert_uint_eq (sum16 (p, 20, 0), 0xffff);
        ck_assert_uint_eq (sum16 (p + 12, len - 12, PROTOCOLS[i] + (uint32_t)len - 20), 0xffff);
        ck_assert_int_eq (lc_packet_parse (&packet, p, len), 0);
        ck_assert_uint_eq (packet.key.target_ipv4, 0x7f000001 + k * 77777U);
        ck_assert_uint_eq (packet.key.source_ipv4, 0x7f090001);
      }
}
END_TEST

static LcEnvelope
make_envelope (void)
{
  LcEnvelope e = { .mode = LC_MODE_WALK,
                   .hop = 1,
                   .hops_left = 9,
                   .n = 3,
                   .assigner = 2,
                   .dc = 4,
                   .service_id = 5,
                   .revision = UINT64_C (0x1122334455667788),
                   .set_rank = UINT64_MAX,
                   .target_id = 11,
                   .target_instance = 0xabcdef };

  for (uint32_t i = 0; i < e.n; i++)
    e.candidates[i] = (LcCandidate){ 10 + i, 0x7f000001 + i, 100 + i, (uint16_t)(7100 + i) };
  return e;
}

/* Also with a truncated datagram or a short buffer. */
START_TEST (test_envelope_round_trip)
{
  uint8_t bytes[LC_ENVELOPE_MAX_BYTES];
  LcEnvelope e = make_envelope ();
  LcEnvelope out;
  size_t len = lc_envelope_encode (&e, bytes, sizeof bytes);

  ck_assert_uint_eq (len, LC_ENVELOPE_FIXED_BYTES + 3 * LC_ENVELOPE_CANDIDATE_BYTES);
  ck_assert_int_eq (lc_envelope_decode (&out, bytes, len), (int)len);
  ck_assert_uint_eq (out.revision, e.revision);
  ck_assert_uint_eq (out.set_rank, e.set_rank);
  ck_assert_uint_eq (out.target_instance, e.target_instance);
  for (uint32_t i = 0; i < e.n; i++)
    ck_assert (lc_candidate_equal (&out.candidates[i], &e.candidates[i]));
  for (size_t cut = 0; cut < len; cut++)
    {
      uint8_t *exact = g_memdup2 (bytes, cut);

      ck_assert_int_lt (lc_envelope_decode (&out, exact, cut), 0);
      g_free (exact);
    }
  ck_assert_uint_eq (lc_envelope_encode (&e, bytes, len - 1), 0);
}
END_TEST

START_TEST (test_envelope_rejects_invalid_fields)
{
  static const struct
  {
    const char *what;
    size_t at;
    uint8_t value;
    int expected;
  } CASES[] = {
    { "magic", 0, 0, LC_ERR_CORRUPT },
    { "version", 2, 9, LC_ERR_VERSION },
    { "kind", 3, 7, LC_ERR_CORRUPT },
    { "mode", 4, 0, LC_ERR_CORRUPT },
    { "hop", 5, 3, LC_ERR_CORRUPT },
    { "hops left", 6, 255, LC_ERR_CORRUPT },
    { "no candidates", 7, 0, LC_ERR_CORRUPT },
    { "too many", 7, 200, LC_ERR_CORRUPT },
    { "more than sent", 7, 4, LC_ERR_TRUNCATED },
    { "assigner", 8, 3, LC_ERR_CORRUPT },
    { "refusal", 9, 200, LC_ERR_CORRUPT },
  };
  LcEnvelope e = make_envelope ();

  for (size_t i = 0; i < G_N_ELEMENTS (CASES); i++)
    {
      uint8_t bytes[LC_ENVELOPE_MAX_BYTES];
      size_t len = lc_envelope_encode (&e, bytes, sizeof bytes);
      LcEnvelope out;

      bytes[CASES[i].at] = CASES[i].value;
      ck_assert_msg (lc_envelope_decode (&out, bytes, len) == CASES[i].expected, "%s",
                     CASES[i].what);
    }
}
END_TEST

START_TEST (test_message_round_trip)
{
  LcFlowMessage m = { .kind = LC_FLOW_HAND_OVER, .service_id = 3, .n = LC_FLOW_BATCH_MAX };
  LcFlowMessage out;
  uint8_t bytes[LC_FLOW_WIRE_MAX];
  size_t len;

  m.load.agent = (LcCandidate){ 7, 0x7f000001, 0x1234567890abcdef, 7100 };
  m.load.open_flows = 99;
  m.to.id = 8;
  for (uint32_t i = 0; i < m.n; i++)
    m.entries[i] = (LcFlowEntry){ .key = { 0x7f000001 + i, 0x7f000002, (uint16_t)(i + 1), 53, 17 },
                                  .backend_id = 7,
                                  .backend_instance = 5,
                                  .idle_ms = i + 1 };
  len = lc_flow_wire_write (&m, bytes, sizeof bytes);
  ck_assert_uint_gt (len, 0);
  ck_assert_int_eq (lc_flow_wire_read (&out, bytes, len), 0);
  ck_assert_uint_eq (out.n, m.n);
  ck_assert (lc_candidate_equal (&out.load.agent, &m.load.agent));
  ck_assert (lc_flow_key_equal (&out.entries[31].key, &m.entries[31].key));
  ck_assert_uint_eq (out.entries[31].idle_ms, 32);
  ck_assert_int_eq (lc_flow_wire_read (&out, bytes, len - 1), LC_ERR_CORRUPT);
}
END_TEST

/* === candidates ============================================================================= */

static void
apply_endpoint (LcView *view, LcRevision revision, LcEndpointId id, uint8_t state, uint16_t weight)
{
  LcViewOp op = { .revision = revision, .kind = LC_VIEW_ENDPOINT };

  op.endpoint = (LcEndpoint){ .id = id,
                              .service_id = 1,
                              .instance = 100 + id,
                              .state = state,
                              .weight_percent = weight,
                              .ipv4 = 0x7f000000 + id,
                              .flow_port = 7100,
                              .connection_limit = 100 };
  ck_assert_int_eq (lc_view_apply (view, &op, NULL), 0);
}

static void
open_service (LcView *view)
{
  LcViewOp op = { .revision = 1, .kind = LC_VIEW_SERVICE, .service = { .id = 1 } };

  lc_view_init (view);
  ck_assert_int_eq (lc_view_apply (view, &op, NULL), 0);
}

static uint64_t
hash_of (uint32_t i)
{
  LcFlowKey key = { i, 0x7f000002, (uint16_t)i, 53, LC_PROTOCOL_UDP, { 0 } };

  return lc_flow_key_hash (&key);
}

START_TEST (test_flows_are_shared_by_weight)
{
  static const uint16_t WEIGHTS[][3] = { { 100, 100, 100 }, { 100, 200, 300 }, { 50, 50, 400 } };

  for (size_t c = 0; c < G_N_ELEMENTS (WEIGHTS); c++)
    {
      LcCandidateSets sets = { 0 };
      uint32_t won[3] = { 0 };
      uint32_t total = 0;
      LcView view;

      open_service (&view);
      for (uint32_t i = 0; i < 3; i++)
        apply_endpoint (&view, 2, 10 + i, LC_ENDPOINT_ACTIVE, WEIGHTS[c][i]);
      apply_endpoint (&view, 2, 13, LC_ENDPOINT_DRAINING, 100);
      lc_candidate_sets_compile (&sets, lc_view_service (&view, 1));
      for (uint32_t i = 0; i < 30000; i++)
        {
          const LcSetMember *homes[LC_HOMES];

          ck_assert_uint_eq (lc_candidates_homes (&sets, 0, hash_of (i), LC_REGIONS_ALL, homes), 2);
          ck_assert_ptr_ne (homes[0], homes[1]);
          won[homes[0]->candidate.id - 10]++;
        }
      for (uint32_t i = 0; i < 3; i++)
        total += WEIGHTS[c][i];
      for (uint32_t i = 0; i < 3; i++)
        ck_assert_double_eq_tol (won[i] / 30000.0, (double)WEIGHTS[c][i] / total, 0.015);
      lc_candidate_sets_finish (&sets);
      lc_view_finish (&view);
    }
}
END_TEST

/* Else a flow that opens through two views at once gets two owners. */
START_TEST (test_unsettled_views_name_the_same_assigner)
{
  LcView view;
  LcCandidateSets sets = { 0 };
  LcCandidateSets old = { 0 };

  open_service (&view);
  for (uint32_t i = 0; i < 5; i++)
    apply_endpoint (&view, 2, 10 + i, LC_ENDPOINT_ACTIVE, 100);
  LcViewOp settled = { .revision = 3, .kind = LC_VIEW_SETTLED, .settled_revision = 2 };
  ck_assert_int_eq (lc_view_apply (&view, &settled, NULL), 0);
  lc_candidate_sets_compile (&old, lc_view_service (&view, 1));
  for (uint32_t i = 0; i < 20; i++) /* more unsettled sets than fit into a list */
    apply_endpoint (&view, 10 + i, 20 + i, LC_ENDPOINT_ACTIVE, 100);
  lc_candidate_sets_compile (&sets, lc_view_service (&view, 1));
  for (uint32_t i = 0; i < 500; i++)
    {
      LcCandidateList now;
      LcCandidateList before;

      lc_candidates_pick (&sets, hash_of (i), LC_REGIONS_ALL, &now);
      lc_candidates_pick (&old, hash_of (i), LC_REGIONS_ALL, &before);
      ck_assert_uint_le (now.n, LC_CANDIDATES_MAX);
      ck_assert_uint_eq (before.n, 2);
      ck_assert_uint_eq (before.assigner, 0);
      ck_assert (lc_candidate_equal (&now.items[now.assigner], &before.items[0]));
      ck_assert_uint_lt (now.set_rank, before.set_rank);
    }
  lc_candidate_sets_finish (&sets);
  lc_candidate_sets_finish (&old);
  lc_view_finish (&view);
}
END_TEST

/* === table ================================================================================== */

/* No entry is lost, found after its removal, or expired more than a second late. */
START_TEST (test_table_matches_a_model)
{
  LcFlowTable table;
  GRand *random = g_rand_new_with_seed (4);
  int64_t deadline[2000] = { 0 }; /* 0: not in the table */
  uint32_t n = 0;

  lc_flow_table_init (&table, 1500, 0);
  for (int64_t now = 0; now < 2000 * LC_US_PER_S; now += LC_US_PER_S / 10)
    {
      uint32_t i = (uint32_t)g_rand_int_range (random, 0, 2000);
      LcFlowKey key = { i, 7, 1, 2, 17, { 0 } };
      LcFlow *f = lc_flow_table_find (&table, &key, lc_flow_key_hash (&key));

      ck_assert_int_eq (f != NULL, deadline[i] != 0);
      if (f == NULL)
        {
          f = lc_flow_table_add (&table, &key, lc_flow_key_hash (&key));
          ck_assert_int_eq (f != NULL, n < 1500);
          n += f != NULL;
        }
      else if (i % 5 == 0)
        {
          lc_flow_table_remove (&table, f);
          deadline[i] = 0;
          n--;
          f = NULL;
        }
      if (f != NULL)
        {
          deadline[i] = now + g_rand_int_range (random, 1, 900) * LC_US_PER_S;
          lc_flow_table_set_deadline (&table, f, deadline[i]);
        }
      while ((f = lc_flow_table_next_expired (&table, now)) != NULL)
        {
          ck_assert_int_le (deadline[f->key.source_ipv4], now);
          ck_assert_int_gt (deadline[f->key.source_ipv4], now - LC_US_PER_S);
          deadline[f->key.source_ipv4] = 0;
          lc_flow_table_remove (&table, f);
          n--;
        }
      ck_assert_uint_eq (table.n_flows, n);
    }
  ck_assert_uint_gt (n, 100);
  g_rand_free (random);
  lc_flow_table_finish (&table);
}
END_TEST

/* === assignment ============================================================================= */

START_TEST (test_assign_chooses_least_loaded)
{
  static const struct
  {
    const char *what;
    uint32_t flows[4]; /* of endpoints 10 (self), 11, 12, 13 */
    uint16_t weight[4];
    uint8_t bad;      /* bits */
    uint8_t refusing; /* bits */
    uint8_t leaving;  /* bits: not a candidate in the view */
    LcDcId dc;        /* endpoints 10 and 11 are in 1, the others in 2 */
    int expected;     /* endpoint or -1 */
    LcDropReason failure;
  } CASES[] = {
    { "self among equals", { 50, 50, 50, 50 }, { 100, 100, 100, 100 }, 0, 0, 0, 0, 10, 0 },
    { "self within a flow", { 51, 50, 50, 50 }, { 100, 100, 100, 100 }, 0, 0, 0, 0, 10, 0 },
    { "lowest", { 60, 55, 50, 56 }, { 100, 100, 100, 100 }, 0, 0, 0, 0, 12, 0 },
    { "lowest by capacity", { 60, 60, 60, 90 }, { 100, 100, 100, 200 }, 0, 0, 0, 0, 13, 0 },
    { "one bad is excluded", { 60, 9, 50, 56 }, { 100, 100, 100, 100 }, 2, 0, 0, 0, 12, 0 },
    { "most bad: none excluded", { 60, 9, 50, 56 }, { 100, 100, 100, 100 }, 14, 0, 0, 0, 11, 0 },
    { "refusing", { 60, 9, 50, 56 }, { 100, 100, 100, 100 }, 0, 2, 0, 0, 12, 0 },
    { "leaving", { 60, 9, 50, 56 }, { 100, 100, 100, 100 }, 0, 0, 2, 0, 12, 0 },
    { "all at the limit",
      { 100, 100, 100, 100 },
      { 100, 100, 100, 100 },
      0,
      0,
      0,
      0,
      -1,
      LC_DROP_LIMIT },
    { "none left", { 1, 1, 1, 1 }, { 100, 100, 100, 100 }, 0, 0, 15, 0, -1, LC_DROP_NO_ENDPOINT },
    { "own data centre", { 60, 54, 50, 56 }, { 100, 100, 100, 100 }, 0, 0, 0, 1, 11, 0 },
    { "spillover", { 70, 64, 50, 56 }, { 100, 100, 100, 100 }, 0, 0, 0, 1, 12, 0 },
  };

  for (size_t c = 0; c < G_N_ELEMENTS (CASES); c++)
    {
      LcAssignDesc desc = { 0 };
      LcAssign assign;
      LcView view;
      int i;

      open_service (&view);
      for (uint32_t k = 0; k < 4; k++)
        apply_endpoint (&view, 2, 10 + k,
                        (CASES[c].leaving & (1U << k)) != 0 ? LC_ENDPOINT_DRAINING
                                                            : LC_ENDPOINT_ACTIVE,
                        CASES[c].weight[k]);
      lc_assign_init (&assign, &desc);
      lc_assign_set_members (&assign, lc_view_service (&view, 1), 10, 0);
      for (uint32_t k = 0; k < 4; k++)
        {
          LcFlowLoad load = { .agent = { 10 + k, 0, 110 + k, 0 },
                              .open_flows = CASES[c].flows[k],
                              .is_accepting = true,
                              .looks_bad = (CASES[c].bad & (1U << k)) != 0 };

          lc_assign_record_load (&assign, &load, 0);
          assign.peers[k].dc = k < 2 ? 1 : 2;
          if ((CASES[c].refusing & (1U << k)) != 0)
            lc_assign_record_refusal (&assign, 10 + k, 0);
        }
      i = lc_assign_choose (&assign, hash_of (1), CASES[c].dc, LC_REGIONS_ALL, 1);
      ck_assert_msg ((i < 0 ? -1 : (int)assign.peers[i].agent.id) == CASES[c].expected, "%s: %d",
                     CASES[c].what, i);
      if (i < 0)
        ck_assert_uint_eq (assign.failure, CASES[c].failure);
      lc_assign_finish (&assign);
      lc_view_finish (&view);
    }
}
END_TEST

START_TEST (test_slow_start_ramp)
{
  static const struct
  {
    int64_t age_us;
    uint32_t capacity;
  } CASES[] = {
    { 0, 100 }, { 5 * LC_US_PER_S, 550 }, { 10 * LC_US_PER_S, 1000 }, { 99 * LC_US_PER_S, 1000 }
  };
  LcAssignDesc desc = { 0 };
  LcAssign assign;
  LcView view;

  open_service (&view);
  apply_endpoint (&view, 2, 10, LC_ENDPOINT_JOINING, 100);
  lc_assign_init (&assign, &desc);
  lc_assign_set_members (&assign, lc_view_service (&view, 1), 10, 1000);
  for (size_t i = 0; i < G_N_ELEMENTS (CASES); i++)
    ck_assert_uint_eq (lc_assign_capacity (&assign, &assign.peers[0], 1000 + CASES[i].age_us),
                       CASES[i].capacity);
  lc_assign_finish (&assign);
  lc_view_finish (&view);
}
END_TEST

/* === steering =============================================================================== */

START_TEST (test_steer_rules)
{
  static const struct
  {
    const char *what;
    uint8_t mode;
    uint8_t hop;
    LcServiceId service;
    LcInstance instance; /* of the target */
    bool may_open;
    bool is_settled; /* list and own view */
    bool is_leaving;
    LcFlowKind kind;
    LcEndpointId other;
    bool is_confirmed;
    LcRevision rank;
    LcEndpointId stray;
    LcSteerKind expected;
    int detail; /* hop, endpoint or reason */
  } CASES[] = {
    /* Agent 11 of service 5, instance 111; list 10, 11, 12; assigner 10 settled, 12 else. */
    { "owner", 1, 1, 5, 111, false, true, true, LC_FLOW_OWNED, 0, 0, 0, 0, LC_STEER_DELIVER, 0 },
    { "other service", 1, 1, 6, 111, true, true, 0, LC_FLOW_OWNED, 0, 0, 0, 0, LC_STEER_NEXT, 2 },
    { "other instance", 1, 1, 5, 99, true, true, 0, LC_FLOW_OWNED, 0, 0, 0, 0, LC_STEER_NEXT, 2 },
    { "open to an earlier instance", 4, 1, 5, 99, true, true, 0, LC_FLOW_OWNED, 0, 0, 0, 0,
      LC_STEER_DROP, LC_DROP_WRONG_INSTANCE },
    { "pointer", 1, 1, 5, 111, false, true, 0, LC_FLOW_POINTER, 13, true, 0, 0, LC_STEER_OWNER,
      13 },
    { "pointer not confirmed", 1, 1, 5, 111, true, true, 0, LC_FLOW_POINTER, 13, false, 0, 0,
      LC_STEER_OPEN, 13 },
    { "stale pointer", 1, 1, 5, 111, true, false, 0, LC_FLOW_POINTER, 13, true, 0, 13,
      LC_STEER_NEXT, 2 },
    { "no entry", 1, 1, 5, 111, false, true, 0, 0, 0, 0, 0, 0, LC_STEER_NEXT, 2 },
    { "no entry, end of the list", 1, 2, 5, 111, false, true, 0, 0, 0, 0, 0, 0, LC_STEER_DROP,
      LC_DROP_NO_OWNER },
    { "new, end of the list", 1, 2, 5, 111, true, true, 0, 0, 0, 0, 0, 0, LC_STEER_DEFER, 10 },
    { "new at the settled assigner", 1, 0, 5, 111, true, true, 0, 0, 0, 0, 0, 0, LC_STEER_ASSIGN,
      0 },
    { "new at the last assigner", 1, 2, 5, 111, true, false, 0, 0, 0, 0, 0, 0, LC_STEER_ASSIGN, 0 },
    { "ASSIGN", 2, 1, 5, 111, true, false, 0, 0, 0, 0, 0, 0, LC_STEER_ASSIGN, 0 },
    { "ASSIGN, an older assigner is pending", 2, 1, 5, 111, true, true, 0, LC_FLOW_PENDING, 14, 0,
      7, 0, LC_STEER_DEFER, 14 },
    { "ASSIGN, not a first packet", 2, 1, 5, 111, false, false, 0, 0, 0, 0, 0, 0, LC_STEER_DROP,
      LC_DROP_NO_OWNER },
    { "OPEN", 4, 1, 5, 111, true, true, false, 0, 0, 0, 0, 0, LC_STEER_TAKE, 0 },
    { "OPEN while leaving", 4, 1, 5, 111, true, true, true, 0, 0, 0, 0, 0, LC_STEER_REFUSE,
      LC_DROP_LEAVING },
    { "OPEN, another agent owns it", 4, 1, 5, 111, true, true, 0, LC_FLOW_POINTER, 13, true, 0, 0,
      LC_STEER_OWNER, 13 },
    { "OWNER, not owned here", 3, 0, 5, 111, false, true, 0, 0, 0, 0, 0, 0, LC_STEER_NEXT, 1 },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (CASES); i++)
    {
      LcSteerSelf self = { .agent = { 11, 0, 111, 0 },
                           .service_id = 5,
                           .is_leaving = CASES[i].is_leaving,
                           .is_settled = CASES[i].is_settled };
      LcEnvelope e = make_envelope ();
      LcPacket packet = { .may_open = CASES[i].may_open };
      LcSteerEntry known = { .kind = CASES[i].kind,
                             .other = { CASES[i].other, 0, 100, 0 },
                             .is_live = true,
                             .is_confirmed = CASES[i].is_confirmed,
                             .rank = CASES[i].rank };
      LcSteerDecision s;
      int detail;

      e.mode = CASES[i].mode;
      e.hop = CASES[i].hop;
      e.service_id = CASES[i].service;
      e.target_instance = CASES[i].instance;
      e.assigner = CASES[i].is_settled ? 0 : 2;
      e.set_rank = CASES[i].is_settled ? UINT64_MAX : 50;
      e.stray_id = CASES[i].stray;
      e.stray_instance = 100;
      s = lc_steer_decide (&self, &e, &packet, &known);
      detail = s.kind == LC_STEER_NEXT                                ? s.next.hop
               : s.kind == LC_STEER_DROP || s.kind == LC_STEER_REFUSE ? (int)s.reason
               : s.kind >= LC_STEER_DEFER && s.kind <= LC_STEER_OPEN  ? (int)s.to.id
                                                                      : 0;
      ck_assert_msg (s.kind == CASES[i].expected && detail == CASES[i].detail, "%s: %d, %d",
                     CASES[i].what, (int)s.kind, detail);
    }
}
END_TEST

static const struct
{
  uint8_t protocol;
  bool may_open;
  bool is_first;
} FIRST[] = {
  { LC_PROTOCOL_TCP, true, true },
  { LC_PROTOCOL_TCP, false, false },
  { LC_PROTOCOL_UDP, true, false },
};

/* Any packet of a UDP flow may open it. */
START_TEST (test_udp_packet_is_never_first)
{
  LcPacket packet = { .may_open = FIRST[_i].may_open, .key.protocol = FIRST[_i].protocol };

  ck_assert (lc_packet_is_first (&packet) == FIRST[_i].is_first);
}
END_TEST

/* === packet buffer ========================================================================== */

/* `n` packets arrive, one each millisecond, and are taken out at `at_ms`. */
static const struct
{
  uint32_t n;
  size_t len;
  int64_t at_ms;
  uint32_t first; /* number of the first packet that is taken out */
  uint32_t n_out;
} BUFFERED[] = {
  { 0, 100, 0, 0, 0 },
  { 1, 100, 0, 0, 1 },
  { 3, LC_PACKET_BUFFER_BYTES, 3, 0, 3 },
  { 3, LC_PACKET_BUFFER_BYTES + 1, 3, 0, 0 },
  { LC_PACKET_BUFFER_MAX, 40, 300, 0, LC_PACKET_BUFFER_MAX },
  { LC_PACKET_BUFFER_MAX + 7, 40, 300, 7, LC_PACKET_BUFFER_MAX },
  { 10, 40, 1205, 5, 5 }, /* those that arrived within the last 1.2 s */
  { 10, 40, 1209, 9, 1 },
  { 10, 40, 1210, 0, 0 },
};

/* The oldest, expired and oversized packets are dropped and counted. */
START_TEST (test_packet_buffer)
{
  uint8_t bytes[LC_PACKET_BUFFER_BYTES + 1] = { 0 };
  LcPacketBuffer hold = { 0 };
  LcBufferedPacket *packet;
  uint32_t n_out = 0;

  for (uint32_t i = 0; i < BUFFERED[_i].n; i++)
    {
      memcpy (bytes, &i, sizeof i);
      lc_packet_buffer_put (&hold, bytes, BUFFERED[_i].len, (int64_t)i * LC_US_PER_MS);
    }
  while ((packet = lc_packet_buffer_take (&hold, BUFFERED[_i].at_ms * LC_US_PER_MS)) != NULL)
    {
      uint32_t number;

      memcpy (&number, packet->bytes, sizeof number);
      ck_assert_uint_eq (number, BUFFERED[_i].first + n_out);
      ck_assert_uint_eq (packet->len, BUFFERED[_i].len);
      n_out++;
    }
  ck_assert_uint_eq (n_out, BUFFERED[_i].n_out);
  ck_assert_uint_eq (hold.dropped_total, BUFFERED[_i].n - n_out);
  ck_assert_ptr_null (hold.packets); /* freed */
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("flow-core");
  TCase *tcase = tcase_create ("core");

  tcase_add_test (tcase, test_parse);
  tcase_add_test (tcase, test_retarget_keeps_checksums_valid);
  tcase_add_test (tcase, test_envelope_round_trip);
  tcase_add_test (tcase, test_envelope_rejects_invalid_fields);
  tcase_add_test (tcase, test_message_round_trip);
  tcase_add_test (tcase, test_flows_are_shared_by_weight);
  tcase_add_test (tcase, test_unsettled_views_name_the_same_assigner);
  tcase_add_test (tcase, test_table_matches_a_model);
  tcase_add_test (tcase, test_assign_chooses_least_loaded);
  tcase_add_test (tcase, test_slow_start_ramp);
  tcase_add_test (tcase, test_steer_rules);
  tcase_add_loop_test (tcase, test_udp_packet_is_never_first, 0, (int)G_N_ELEMENTS (FIRST));
  tcase_add_loop_test (tcase, test_packet_buffer, 0, (int)G_N_ELEMENTS (BUFFERED));
  suite_add_tcase (suite, tcase);
  return lc_fake_run (suite);
}
