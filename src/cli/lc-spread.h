/* lc-spread: how long a change takes to reach the machines of each role, out of log files.
 *
 * WHAT IT IS
 *   Balancers and agents write a line for each view that they apply (view.applied), control VMs one
 *   for each change of a member that they propose (member.proposed) and for each declaration that
 * is in force (declaration.answered).  From the files of all processes this finds, for each change,
 *   when each process first had a view with it, and of each role the middle and the last of these
 *   times.
 *
 *   A change of a member is taken to be in a view that is newer than the one that control had when
 *   it proposed the change.  A process that was not there when the change came, or started again
 *   before it had it, is counted apart: its time is that of its start.
 *
 * HOW TO USE IT
 *     lc_spread_init (&spread);
 *     lc_spread_read (&spread, "balancer.log", &error);      for each file, in any order
 *     lc_spread_finish_reading (&spread);
 *     for (guint i = 0; i < spread.changes->len; i++)
 *       g_array_index (spread.changes, LcSpreadChange, i).times[LC_SPREAD_AGENT].last_us
 *     lc_spread_finish (&spread);
 *
 * LIMITS
 *   A line that does not tell of a view or a change costs no memory.  At most LC_SPREAD_POINTS_MAX
 *   views are kept (64 MB), and LC_SPREAD_CHANGES_MAX changes; what is beyond is counted.  A
 * process writes ten lines of views a second at most, so in a storm a time may be up to 0.1 s too
 * long. Clocks of two VMs may differ: a time that would be negative counts as 0.
 */
#ifndef LC_SPREAD_H
#define LC_SPREAD_H

#include "core/lc-error.h"
#include "core/lc-types.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

enum
{
  LC_SPREAD_POINTS_MAX = 4 << 20,
  LC_SPREAD_CHANGES_MAX = 1 << 16,
  LC_SPREAD_BAD_NAMED = 10, /* lines that are named; further ones are counted */
};

typedef enum
{
  LC_SPREAD_BALANCER,
  LC_SPREAD_AGENT,
  LC_SPREAD_N_ROLES
} LcSpreadRole;

/* One process's view at one time, or its start. */
typedef struct
{
  int64_t at_us;
  uint64_t revision; /* 0: it started */
} LcSpreadPoint;

typedef struct
{
  LcSpreadRole role;
  GArray *points; /* LcSpreadPoint, by time */
  int64_t first_us;
  int64_t last_us;
} LcSpreadProcess;

/* Of the processes of one role. */
typedef struct
{
  uint32_t n_reached;
  uint32_t n_apart;   /* not there, or started again before they had it */
  uint32_t n_missing; /* there to the end, and never had it */
  int64_t middle_us;  /* after the change; -1: nobody had it */
  int64_t last_us;
} LcSpreadTimes;

typedef struct
{
  char what[LC_NAME_MAX];   /* "endpoint-lost", "declaration" and so on */
  char member[LC_NAME_MAX]; /* or the declaration's number */
  int64_t at_us;            /* when control proposed it first, or told that it is in force */
  uint64_t revision;        /* the first view that has it */
  LcSpreadTimes times[LC_SPREAD_N_ROLES]; /* once all is read */
} LcSpreadChange;

typedef struct
{
  GHashTable *processes; /* "program name" -> LcSpreadProcess, owned */
  GArray *changes;       /* LcSpreadChange, by time once all is read */
  GHashTable *seen;      /* keys of `changes` -> place and one */
  GPtrArray *bad;        /* "file:line: why", the first LC_SPREAD_BAD_NAMED */
  uint64_t n_bad;
  uint64_t n_lines;
  uint64_t n_points;
  uint64_t n_left_out; /* beyond the limits */
} LcSpread;

void lc_spread_init (LcSpread *spread);
void lc_spread_finish (LcSpread *spread);
/* "-" reads standard input. */
int lc_spread_read (LcSpread *spread, const char *path, LcError *error);
/* Finds the times of each change; nothing more is read then. */
void lc_spread_finish_reading (LcSpread *spread);
const char *lc_spread_role_name (LcSpreadRole role);

/* Of all changes of one kind: how many, and of their last machines the middle and the worst. */
typedef struct
{
  char what[LC_NAME_MAX];
  uint32_t n;
  int64_t middle_us[LC_SPREAD_N_ROLES];
  int64_t worst_us[LC_SPREAD_N_ROLES];
} LcSpreadKind;

/* LcSpreadKind of each kind, by name; to be unreferenced. */
GArray *lc_spread_kinds (const LcSpread *spread);

/* === lc-spread-write.c ====================================================================== */

void lc_spread_write_text (const LcSpread *spread, GString *out);
void lc_spread_write_json (const LcSpread *spread, GString *out);
/* A dot for each change and role: when it came, and when the last machine had it. */
void lc_spread_write_svg (const LcSpread *spread, GString *out);

#endif /* LC_SPREAD_H */
