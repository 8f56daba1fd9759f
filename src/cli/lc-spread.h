/* lc-spread: measures from log files how long a change takes to propagate to balancers and agents.
 *
 * WHAT IT IS
 *   Balancers and agents log each view that they apply (view.applied); control VMs log each change
 *   of a member that they propose (member.proposed) and each declaration that is in force
 *   (declaration.answered).  From the files of all processes this finds, for each change, when
 *   each process first had a view with it, and of each role the median and the last of these.
 *
 *   A change of a member is taken to be in any view newer than the one that control had when it
 *   proposed the change.  A process that was not running when the change came, or restarted before
 *   it had it, is counted in n_excluded: its time would be that of its start.
 *
 * HOW TO USE IT
 *     lc_spread_init (&spread);
 *     lc_spread_read (&spread, "balancer.log", &error);      for each file, in any order
 *     lc_spread_compute (&spread);
 *     for (guint i = 0; i < spread.changes->len; i++)
 *       g_array_index (spread.changes, LcSpreadChange, i).times[LC_SPREAD_AGENT].last_us
 *     lc_spread_finish (&spread);
 *
 * LIMITS
 *   Lines without a view or a change cost no memory.  At most LC_SPREAD_POINTS_MAX views (64 MB)
 *   and LC_SPREAD_CHANGES_MAX changes are kept; those beyond are counted.  A process logs at most
 *   ten views a second, so in a storm a time may be up to 0.1 s too long.  Clocks of two VMs may
 *   differ: a time that would be negative counts as 0.
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
  LC_SPREAD_SKIPPED_LISTED = 10, /* skipped lines that are listed; others are counted */
};

typedef enum
{
  LC_SPREAD_BALANCER,
  LC_SPREAD_AGENT,
  LC_SPREAD_N_ROLES
} LcSpreadRole;

/* A process applied a view, or started. */
typedef struct
{
  int64_t at_us;
  uint64_t revision; /* 0: a start */
} LcSpreadPoint;

typedef struct
{
  LcSpreadRole role;
  GArray *points; /* LcSpreadPoint, by time */
  int64_t first_us;
  int64_t last_us;
} LcSpreadProcess;

/* Propagation of one change to the processes of one role. */
typedef struct
{
  uint32_t n_reached;
  uint32_t n_excluded; /* not running, or restarted before they had it */
  uint32_t n_missing;  /* running to the end, but never had it */
  int64_t median_us;   /* after the change; -1: no process had it */
  int64_t last_us;
} LcSpreadTimes;

typedef struct
{
  char what[LC_NAME_MAX];   /* "endpoint-lost", "declaration" and so on */
  char member[LC_NAME_MAX]; /* or number of the declaration */
  int64_t at_us;            /* when control first proposed it, or logged it as in force */
  uint64_t revision;        /* the first view that has it */
  LcSpreadTimes times[LC_SPREAD_N_ROLES]; /* set by lc_spread_compute */
} LcSpreadChange;

typedef struct
{
  GHashTable *processes; /* "program name" -> LcSpreadProcess, owned */
  GArray *changes;       /* LcSpreadChange, in the end sorted by time */
  GHashTable *index;     /* keys of `changes` -> index + 1 */
  GPtrArray *skipped;    /* "file:line: why", the first LC_SPREAD_SKIPPED_LISTED */
  uint64_t n_skipped;
  uint64_t n_lines;
  uint64_t n_points;
  uint64_t n_left_out; /* beyond the limits */
} LcSpread;

void lc_spread_init (LcSpread *spread);
void lc_spread_finish (LcSpread *spread);
/* "-" reads standard input. */
int lc_spread_read (LcSpread *spread, const char *path, LcError *error);
/* Computes the times of each change.  Call it once, after the last read. */
void lc_spread_compute (LcSpread *spread);
const char *lc_spread_role_name (LcSpreadRole role);

/* All changes of one kind: their number, and the median and maximum of their last_us. */
typedef struct
{
  char what[LC_NAME_MAX];
  uint32_t n;
  int64_t median_us[LC_SPREAD_N_ROLES];
  int64_t worst_us[LC_SPREAD_N_ROLES];
} LcSpreadKind;

/* LcSpreadKind of each kind, by name; the caller unreferences it. */
GArray *lc_spread_summarize (const LcSpread *spread);

/* === lc-spread-write.c ====================================================================== */

void lc_spread_write_text (const LcSpread *spread, GString *out);
void lc_spread_write_json (const LcSpread *spread, GString *out);
/* Plots last_us over time, one dot for each change and role. */
void lc_spread_write_svg (const LcSpread *spread, GString *out);

#endif /* LC_SPREAD_H */
