#include "lc-fake-private.h"

#include "control/lc-control-codec.h"

#include <string.h>

/* === private: operators ===================================================================== */

void
lc_fake__record_answer (LcFakeCluster *c,
                        const LcControlCommand *command,
                        const LcControlAnswer *answer)
{
  LcControlAnswer *first = g_hash_table_lookup (c->answered, command->request_id);

  c->acknowledged = MAX (c->acknowledged, answer->index);
  c->verdict.n_answers++;
  if (answer->code == LC_ERR_CONFLICT)
    c->verdict.n_conflicts++;
  if (first == NULL)
    g_hash_table_insert (c->answered, g_strdup (command->request_id),
                         g_memdup2 (answer, sizeof *answer));
  else if (first->code != answer->code || first->index != answer->index ||
           first->plan_id != answer->plan_id || first->revision != answer->revision)
    c->verdict.applied_twice++;
}

void
lc_fake__new_request (LcFakeCluster *c, LcControlCommand *command, LcControlCommandKind kind)
{
  memset (command, 0, sizeof *command);
  command->kind = kind;
  (void)g_snprintf (command->request_id, sizeof command->request_id, "r%" G_GUINT64_FORMAT,
                    (guint64)++c->next_request);
  (void)g_strlcpy (command->who, "operator", sizeof command->who);
  command->wall_us = c->now_us;
}

void
lc_fake__declare (LcFakeCluster *c, LcIntent *intent)
{
  LcDeclaration *d = &intent->declaration;

  d->n_services = 1;
  d->services = g_new0 (LcDeclaredService, 1);
  (void)g_strlcpy (d->services[0].name, "order-desk", LC_NAME_MAX);
  d->services[0].fields = LC_DECLARED_CALLER_LIMIT;
  d->services[0].caller_limit = 1 + (uint32_t)lc_fake_cluster_random (c, 100);
}

static void
lc_fake__next_plan (LcFakeCluster *c, LcControlCommand *command)
{
  LcIntent *intent = &command->intent;
  uint64_t choice = lc_fake_cluster_random (c, 4);

  lc_fake__new_request (c, command, LC_COMMAND_PLAN);
  if (choice >= 2)
    {
      intent->kind = LC_INTENT_CHANGE_RULE;
      lc_fake__declare (c, intent);
      return;
    }
  intent->kind = choice == 0 ? LC_INTENT_DRAIN : LC_INTENT_UNDRAIN;
  (void)g_snprintf (intent->target, sizeof intent->target, "order-%u",
                    (unsigned)lc_fake_cluster_random (c, c->desc.n_endpoints));
}

/* Proposes a random membership change beside the operators' plans. */
static void
lc_fake__member_change (LcFakeCluster *c, uint32_t node)
{
  static const LcMemberChangeKind KINDS[] = { LC_MEMBER_ENDPOINT_ANNOUNCED,
                                              LC_MEMBER_ENDPOINT_RAMPED, LC_MEMBER_ENDPOINT_LOST,
                                              LC_MEMBER_ENDPOINT_ANNOUNCED };
  LcControlCommand command = { .kind = LC_COMMAND_MEMBER };
  LcMemberChange *m = &command.member;
  GBytes *bytes;

  m->kind = KINDS[lc_fake_cluster_random (c, G_N_ELEMENTS (KINDS))];
  (void)g_strlcpy (m->data_centre, "hall-atl", sizeof m->data_centre);
  (void)g_strlcpy (m->service, "order-desk", sizeof m->service);
  (void)g_snprintf (m->endpoint.name, sizeof m->endpoint.name, "order-%u",
                    (unsigned)lc_fake_cluster_random (c, c->desc.n_endpoints));
  m->endpoint.instance = 1 + lc_fake_cluster_random (c, 2);
  m->endpoint.weight_percent = 100;
  bytes = lc_control_command_pack (&command);
  lc_fake__propose (c, node, bytes, true);
  g_bytes_unref (bytes);
}

static int
lc_fake__random_up_node (LcFakeCluster *c)
{
  uint32_t start = (uint32_t)lc_fake_cluster_random (c, c->n_nodes);

  for (uint32_t i = 0; i < c->n_nodes; i++)
    {
      const LcFakeNode *n = &c->nodes[(start + i) % c->n_nodes];

      if (n->is_up && n->paused_until_us <= c->now_us)
        return (int)((start + i) % c->n_nodes);
    }
  return -1;
}

/* Takes the answer from the node; false if it has none. */
static bool
lc_fake__poll_answer (LcFakeCluster *c, LcFakeOperator *o, uint32_t node)
{
  LcFakeNode *n = &c->nodes[node];
  const LcControlAnswer *answer = lc_control_state_answer (&n->state, o->command.request_id);

  if (answer == NULL)
    return false;
  o->answer = *answer;
  lc_fake__record_answer (c, &o->command, answer);
  return true;
}

static void
lc_fake__send_command (LcFakeCluster *c, LcFakeOperator *o, uint32_t node)
{
  GBytes *bytes = lc_control_command_pack (&o->command);

  o->resend_us = c->now_us + LC_FAKE_RESEND_US;
  lc_fake__propose (c, node, bytes, true);
  g_bytes_unref (bytes);
}

static void
lc_fake__begin_command (LcFakeCluster *c, LcFakeOperator *o)
{
  lc_control_command_finish (&o->command);
  if (o->answer.code == LC_OK && o->command.kind == LC_COMMAND_PLAN && o->answer.plan_id > 0)
    {
      uint64_t plan_id = o->answer.plan_id;

      lc_fake__new_request (c, &o->command, LC_COMMAND_CONFIRM);
      o->command.plan_id = plan_id;
    }
  else
    lc_fake__next_plan (c, &o->command);
  o->is_waiting = true;
  o->asked_us = c->now_us;
  o->resend_us = c->now_us;
}

void
lc_fake__on_operator (LcFakeCluster *c, uint32_t index)
{
  LcFakeOperator *o = &c->operators[index];
  int node = lc_fake__random_up_node (c);
  int64_t again_us = MAX (c->desc.think_us / 20, 500);

  if (!o->is_waiting && c->desc.think_us > 0)
    lc_fake__begin_command (c, o);
  if (o->is_waiting && node >= 0)
    {
      if (lc_fake__poll_answer (c, o, (uint32_t)node))
        {
          int64_t took_us = c->now_us - o->asked_us;

          g_array_append_val (c->commit_us, took_us);
          o->is_waiting = false;
          again_us = MAX (c->desc.think_us, 1000);
          if (lc_fake_cluster_random (c, 4) == 0)
            lc_fake__member_change (c, (uint32_t)node);
        }
      else if (c->now_us >= o->resend_us)
        lc_fake__send_command (c, o, (uint32_t)node);
    }
  lc_fake__schedule (c, c->now_us + again_us, LC_FAKE_OPERATOR, index, NULL);
}

/* === private: replacing a member ============================================================ */

static void
lc_fake__propose_change (LcFakeCluster *c,
                         LcFakeNode *leader,
                         LcRaftChange change,
                         const LcFakeNode *who)
{
  LcRaftMember member = { .id = who->id };

  (void)g_strlcpy (member.name, who->name, sizeof member.name);
  (void)lc_raft_propose_change (&leader->raft, change, &member, lc_fake__clock (c, leader), NULL);
  lc_fake__pump (c, leader);
}

void
lc_fake__on_leader_step (LcFakeCluster *c)
{
  int at = lc_fake_cluster_leader (c);
  LcFakeNode *leader = at >= 0 ? &c->nodes[at] : NULL;

  lc_fake__schedule (c, c->now_us + 100000, LC_FAKE_LEADER_STEP, 0, NULL);
  if (leader == NULL || c->replaced < 0 || leader->paused_until_us > c->now_us)
    return;
  if (lc_raft_config_find (&leader->raft.config, c->nodes[c->replacement].id) == NULL)
    lc_fake__propose_change (c, leader, LC_RAFT_ADD_LEARNER, &c->nodes[c->replacement]);
  else if (!lc_raft_config_is_voter (&leader->raft.config, c->nodes[c->replacement].id))
    lc_fake__propose_change (c, leader, LC_RAFT_PROMOTE, &c->nodes[c->replacement]);
  else if (lc_raft_config_find (&leader->raft.config, c->nodes[c->replaced].id) != NULL)
    lc_fake__propose_change (c, leader, LC_RAFT_REMOVE, &c->nodes[c->replaced]);
  else if (leader->raft.config_index <= leader->raft.commit_index)
    c->replaced = -1;
}
