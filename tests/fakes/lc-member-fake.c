/* Replaces lc-member in tests of one plane: reads the view from a file of operations, so that a
 * test controls which revision each process holds and when.
 *
 *   LC_FAKE_VIEW      file that the test appends to, one operation a line:
 *                       REVISION dc ID NAME
 *                       REVISION service ID NAME TIMEOUT_MS CALLER_LIMIT RETRY_PERCENT
 *                       REVISION route ID SERVICE PREFIX
 *                       REVISION endpoint ID SERVICE INSTANCE DC STATE IPV4 PORT SLOTS NAME
 *                       REVISION gone ID SERVICE
 *                       REVISION settled SETTLED
 *   LC_FAKE_ANNOUNCE  file to write this process's instance to
 */
#include "controller/lc-member.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

enum
{
  LC_FAKE_POLL_MS = 5,
  LC_FAKE_MAX_LINE = 512,
};

static struct
{
  LcMember *member;
  LcView view;
  LcTimer timer;
  long offset;
} lc_fake;

static bool
lc_fake_read (LcViewOp *op, const char *line)
{
  char word[32];
  char a[LC_NAME_MAX] = { 0 };
  char b[LC_NAME_MAX] = { 0 };
  unsigned v[8] = { 0 };
  int at = 0;

  memset (op, 0, sizeof *op);
  if (sscanf (line, "%" SCNu64 " %31s %n", &op->revision, word, &at) != 2)
    return false;
  line += at;
  if (strcmp (word, "dc") == 0 && sscanf (line, "%u %47s", &v[0], a) == 2)
    {
      op->kind = LC_VIEW_DC;
      op->dc = (LcDataCentre){ .id = (LcDcId)v[0], .state = LC_DC_ACTIVE };
      memcpy (op->dc.name, a, sizeof a);
    }
  else if (strcmp (word, "service") == 0 &&
           sscanf (line, "%u %47s %u %u %u", &v[0], a, &v[1], &v[2], &v[3]) == 5)
    {
      op->kind = LC_VIEW_SERVICE;
      op->service.id = v[0];
      op->service.request_timeout_ms = v[1];
      op->service.caller_limit = v[2];
      op->service.retry_percent = v[3];
      memcpy (op->service.name, a, sizeof a);
    }
  else if (strcmp (word, "route") == 0 && sscanf (line, "%u %u %47s", &v[0], &v[1], a) == 3)
    {
      op->kind = LC_VIEW_ROUTE;
      op->route.id = v[0];
      op->route.service_id = v[1];
      memcpy (op->route.path_prefix, a, sizeof a);
    }
  else if (strcmp (word, "endpoint") == 0)
    {
      LcEndpoint *e = &op->endpoint;

      op->kind = LC_VIEW_ENDPOINT;
      if (sscanf (line, "%u %u %" SCNx64 " %u %u %47s %u %u %47s", &v[0], &v[1], &e->instance,
                  &v[2], &v[3], a, &v[4], &v[5], b) != 9 ||
          lc_settings_parse_ipv4 (a, &e->ipv4) < 0)
        return false;
      e->id = v[0];
      e->service_id = v[1];
      e->dc = (LcDcId)v[2];
      e->state = (uint8_t)v[3];
      e->peer_port = (uint16_t)v[4];
      e->slots = (uint8_t)v[5];
      e->weight_percent = 100;
      memcpy (e->name, b, sizeof b);
    }
  else if (strcmp (word, "gone") == 0 && sscanf (line, "%u %u", &v[0], &v[1]) == 2)
    {
      op->kind = LC_VIEW_ENDPOINT_REMOVED;
      op->endpoint.id = v[0];
      op->endpoint.service_id = v[1];
    }
  else if (strcmp (word, "settled") == 0)
    {
      op->kind = LC_VIEW_SETTLED;
      op->settled_revision = strtoull (line, NULL, 10);
    }
  else
    return false;
  return true;
}

static void
lc_fake_poll (void *user)
{
  LcMember *member = lc_fake.member;
  FILE *file = fopen (g_getenv ("LC_FAKE_VIEW"), "r");
  char line[LC_FAKE_MAX_LINE];
  bool is_changed = false;

  (void)user;
  if (file != NULL && fseek (file, lc_fake.offset, SEEK_SET) == 0)
    while (fgets (line, sizeof line, file) != NULL && strchr (line, '\n') != NULL)
      {
        LcError error = { 0 };
        LcViewOp op;

        lc_fake.offset = ftell (file);
        if (!lc_fake_read (&op, line) || lc_view_apply (&lc_fake.view, &op, &error) < 0)
          {
            (void)fprintf (stderr, "LC_FAKE_VIEW: invalid operation: %s%s\n", line, error.message);
            abort ();
          }
        is_changed = true;
      }
  if (file != NULL)
    (void)fclose (file);
  if (is_changed)
    member->desc.changed (member->desc.user, &lc_fake.view, NULL, 0, false);
  lc_timer_start (&lc_fake.timer, LC_FAKE_POLL_MS);
}

int
lc_member_init (LcMember *member, const LcMemberDesc *desc, LcError *error)
{
  LcInstance instance = desc->kind == LC_MEMBER_AGENT ? desc->endpoint.instance : 0;
  FILE *file = fopen (g_getenv ("LC_FAKE_ANNOUNCE"), "w");

  (void)error;
  member->desc = *desc;
  lc_view_init (&lc_fake.view);
  lc_fake.member = member;
  if (file != NULL)
    {
      (void)fprintf (file, "%" PRIx64 "\n", instance);
      (void)fclose (file);
    }
  lc_timer_init (&lc_fake.timer, desc->app->loop, lc_fake_poll, NULL);
  lc_timer_start (&lc_fake.timer, LC_FAKE_POLL_MS);
  return 0;
}

void
lc_member_finish (LcMember *member)
{
  lc_timer_finish (&lc_fake.timer);
  lc_view_finish (&lc_fake.view);
}

const LcView *
lc_member_view (const LcMember *member)
{
  return &lc_fake.view;
}

const LcEndpoint *
lc_member_endpoint (const LcMember *member)
{
  return lc_view_endpoint_by_name (&lc_fake.view, member->desc.endpoint.name);
}

const LcEndpoint *
lc_member_own_endpoint (const LcMember *member)
{
  return lc_member_endpoint (member);
}

void
lc_member_handle_frame (LcMember *member, LcLink *link, const LcFrame *frame)
{
}

void
lc_member_handle_link_down (LcMember *member, LcLink *link)
{
}

void
lc_member_leave (LcMember *member)
{
}

bool
lc_member_has_left (const LcMember *member)
{
  return true;
}

void
lc_member_set_registered (LcMember *member, LcRevision revision)
{
}

int64_t
lc_member_view_age_us (const LcMember *member, int64_t now_us)
{
  return 0;
}

bool
lc_member_is_confirmed (const LcMember *member)
{
  return true;
}

LcInstance
lc_member_instance (const LcMember *member)
{
  return member->desc.kind == LC_MEMBER_AGENT ? member->desc.endpoint.instance
                                              : member->desc.balancer.instance;
}

bool
lc_member_adopt_instance (LcMember *member)
{
  return false;
}

void
lc_member_announce (LcMember *member, LcInstance instance, uint8_t slots)
{
  member->desc.endpoint.instance = instance;
}

void
lc_member_keep_registration (LcMember *member)
{
}

void
lc_member_add_control (LcMember *member, const LcSocketAddress *list, uint32_t n)
{
}

void
lc_member_record_revision (LcMember *member, LcRevision revision)
{
  (void)member;
  (void)revision;
}
