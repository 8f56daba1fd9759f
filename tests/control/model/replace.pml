/* Election, replication and the replacement of one member, for spin.
 *
 * Four VMs, 0 to 3; the cluster is formed of 0, 1 and 2, and 3 replaces 0: first it becomes a voter
 * (configuration 1), then 0 is removed (configuration 2).  Messages are sets that only grow, so any
 * message may be late, duplicated or lost.  All state is durable before a message about it is sent.
 * Each of these defines adds a fault that the assertions must detect: with -DBUG_VOTE a crash may
 * lose a vote that was sent, with -DBUG_COUNT a leader commits entries of older terms by counting,
 * with -DBUG_CHANGE it begins a second change before the first is committed, with -DBUG_LOG votes
 * are granted without comparing logs.
 *
 *   spin -DBUG_LOG -a replace.pml && cc -O2 -DSAFETY -DBITSTATE -o pan pan.c && ./pan -w30 -m100000
 *
 * spin is not needed for the build or the tests.
 */
#ifndef TERMS
#define TERMS 3
#endif
#ifndef LEN
#define LEN 3
#endif
#define VMS 4
#define NOBODY 255

#define AT(t, i) ((t) * (LEN + 1) + (i))

byte term[VMS];
byte vote[VMS] = NOBODY;           /* in term[] */
byte n_log[VMS];
byte logs[VMS * (LEN + 1)];        /* term of each entry */
byte kinds[VMS * (LEN + 1)];       /* 0 plain, 1 and 2: configurations */

byte leader[TERMS + 1] = NOBODY;
byte lead_len[TERMS + 1];          /* the leader's log of each term */
byte lead_log[(TERMS + 1) * (LEN + 1)];
byte lead_kind[(TERMS + 1) * (LEN + 1)];
bool stands[(TERMS + 1) * VMS];    /* vote requests */
byte stand_len[(TERMS + 1) * VMS];
byte stand_last[(TERMS + 1) * VMS];
bool granted[(TERMS + 1) * VMS * VMS]; /* term, candidate, voter */
byte acked[(TERMS + 1) * VMS];     /* term, follower: on disk up to here */

byte committed[LEN + 1];           /* term of the committed entry; 0: none */
byte committed_in[LEN + 1];        /* term of the leader that committed it first */

/* The newest configuration in the log of a VM, or of the leader of a term. */
inline config_of_vm (who, out)
{
  out = 0;
  for (k : 1 .. LEN) {
    if
    :: k <= n_log[who] && kinds[AT (who, k)] > 0 -> out = kinds[AT (who, k)]
    :: else
    fi
  }
}

inline config_of_term (at, out)
{
  out = 0;
  for (k : 1 .. LEN) {
    if
    :: k <= lead_len[at] && lead_kind[AT (at, k)] > 0 -> out = lead_kind[AT (at, k)]
    :: else
    fi
  }
}

#define IS_VOTER(c, n) (((c) == 0 && (n) < 3) || (c) == 1 || ((c) == 2 && (n) > 0))
#define N_VOTERS(c) ((c) == 1 -> 4 : 3)

#define OWN_COMMITTED(t) (committed[1] == t || committed[2] == t || committed[LEN] == t)

#ifdef BUG_LOG
#define UP_TO_DATE(at, voter) true
#else
#define UP_TO_DATE(at, voter)                                                                      \
  (stand_last[at] > last || (stand_last[at] == last && stand_len[at] >= n_log[voter]))
#endif
#ifdef BUG_CHANGE
#define MAY_CHANGE(t) true
#else
#define MAY_CHANGE(t) ((j == 0 || committed[j] > 0) && OWN_COMMITTED (t))
#endif
#ifdef BUG_COUNT
#define OF_OWN_TERM(t, place) true
#else
#define OF_OWN_TERM(t, place) (lead_log[AT (t, place)] == t)
#endif

byte k, c, n_yes, i, j, n, t, last;

inline stand (who)
{
  config_of_vm (who, c);
  if
  :: term[who] < TERMS && IS_VOTER (c, who) ->
     term[who]++;
     vote[who] = who;
     stands[term[who] * VMS + who] = true;
     stand_len[term[who] * VMS + who] = n_log[who];
     stand_last[term[who] * VMS + who] = logs[AT (who, n_log[who])];
     granted[(term[who] * VMS + who) * VMS + who] = true
  :: else
  fi
}

inline give_vote (voter, cand, at)
{
  if
  :: at > term[voter] -> term[voter] = at; vote[voter] = NOBODY
  :: else
  fi;
  last = logs[AT (voter, n_log[voter])];
  if
  :: at == term[voter] && (vote[voter] == NOBODY || vote[voter] == cand) && leader[at] != voter && UP_TO_DATE (at * VMS + cand, voter) -> vote[voter] = cand; granted[(at * VMS + cand) * VMS + voter] = true
  :: else
  fi
}

inline append (who, kind)
{
  n_log[who]++;
  logs[AT (who, n_log[who])] = term[who];
  kinds[AT (who, n_log[who])] = kind;
  lead_len[term[who]] = n_log[who];
  lead_log[AT (term[who], n_log[who])] = term[who];
  lead_kind[AT (term[who], n_log[who])] = kind;
  acked[term[who] * VMS + who] = n_log[who]
}

inline win (who)
{
  t = term[who];
  config_of_vm (who, c);
  n_yes = 0;
  for (i : 0 .. VMS - 1) {
    if
    :: IS_VOTER (c, i) && granted[(t * VMS + who) * VMS + i] -> n_yes++
    :: else
    fi
  }
  if
  :: n_yes * 2 > N_VOTERS (c) && vote[who] == who && leader[t] != who && n_log[who] < LEN ->
     assert (leader[t] == NOBODY); /* one leader a term */
     leader[t] = who;
     for (i : 1 .. LEN) {
       lead_log[AT (t, i)] = logs[AT (who, i)];
       lead_kind[AT (t, i)] = kinds[AT (who, i)];
       if
       :: committed[i] > 0 && committed_in[i] < t -> assert (i <= n_log[who] && logs[AT (who, i)] == committed[i])
       :: else
       fi
     }
     lead_len[t] = n_log[who];
     append (who, 0)
  :: else
  fi
}

/* The next step of the replacement. */
inline change (who)
{
  t = term[who];
  config_of_term (t, c);
  j = 0;
  for (i : 1 .. LEN) {
    if
    :: i <= lead_len[t] && lead_kind[AT (t, i)] > 0 -> j = i
    :: else
    fi
  }
  if
  :: c < 2 && lead_len[t] < LEN && MAY_CHANGE (t) -> append (who, c + 1)
  :: else
  fi
}

/* A follower replicates the log of the leader of term `at` up to index `upto`. */
inline replicate (who, at, upto)
{
  if
  :: at >= term[who] && upto <= lead_len[at] && leader[at] != who ->
     if
     :: at > term[who] -> term[who] = at; vote[who] = NOBODY
     :: else
     fi;
     j = 0; /* first index that differs */
     for (i : 1 .. LEN) {
       if
       :: j == 0 && i <= upto && (i > n_log[who] || logs[AT (who, i)] != lead_log[AT (at, i)]) -> j = i
       :: else
       fi
     }
     if
     :: j > 0 ->
        for (i : 1 .. LEN) {
          if
          :: i >= j && i <= upto ->
             logs[AT (who, i)] = lead_log[AT (at, i)];
             kinds[AT (who, i)] = lead_kind[AT (at, i)]
          :: i > upto -> logs[AT (who, i)] = 0; kinds[AT (who, i)] = 0
          :: else
          fi
        }
        n_log[who] = upto
     :: else
     fi;
     if
     :: upto > acked[at * VMS + who] -> acked[at * VMS + who] = upto
     :: else
     fi
  :: else
  fi
}

inline commit (who, place)
{
  t = term[who];
  config_of_term (t, c);
  n_yes = 0;
  for (i : 0 .. VMS - 1) {
    if
    :: IS_VOTER (c, i) && acked[t * VMS + i] >= place -> n_yes++
    :: else
    fi
  }
  if
  :: place <= lead_len[t] && n_yes * 2 > N_VOTERS (c) && OF_OWN_TERM (t, place) ->
     for (i : 1 .. LEN) {
       if
       :: i <= place ->
          assert (committed[i] == 0 || committed[i] == lead_log[AT (t, i)]);
          if
          :: committed[i] == 0 || t < committed_in[i] -> committed_in[i] = t
          :: else
          fi;
          committed[i] = lead_log[AT (t, i)]
       :: else
       fi
     }
  :: else
  fi
}

active proctype world ()
{
  byte who, other, place;

end:
  do
  :: atomic {
       select (who : 0 .. VMS - 1);
       select (other : 0 .. VMS - 1);
       select (place : 1 .. LEN);
       if
       :: leader[term[who]] != who -> stand (who)
       :: who != other && term[other] > 0 && stands[term[other] * VMS + other] ->
          n = term[other];
          give_vote (who, other, n)
       :: term[who] > 0 && stands[term[who] * VMS + who] -> win (who)
       :: term[who] > 0 && leader[term[who]] == who && lead_len[term[who]] < LEN -> append (who, 0)
       :: term[who] > 0 && leader[term[who]] == who -> change (who)
       :: place <= TERMS && leader[place] != NOBODY ->
          n = place;
          select (place : 1 .. LEN);
          replicate (who, n, place)
       :: term[who] > 0 && leader[term[who]] == who -> commit (who, place)
#ifdef BUG_VOTE
       :: vote[who] != NOBODY && leader[term[who]] != who -> vote[who] = NOBODY
#endif
       :: else
       fi;
       who = 0; other = 0; place = 0; k = 0; c = 0; n_yes = 0; i = 0; j = 0; n = 0; t = 0; last = 0
     }
  od
}
