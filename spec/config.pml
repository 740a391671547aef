/*
 * Configuration that never reverts.
 *
 * The log holds changes and snapshots in one order; a snapshot says "state as
 * of offset N". The log forgets from its front, and only what a later snapshot
 * covers, as snapshots are appended well before the retention ends. Three
 * daemons read it record by record, may be restarted, and the log has outages.
 * A change is accepted when it is in the log and held by two live daemons.
 * While the log is out a starting daemon takes the highest version of its live
 * peers. At most one daemon is lost in an outage.
 *
 * Checked: the version in force at a daemon never falls, and a daemon that has
 * started serves no less than what was accepted when its reading began.
 *
 * Mutants, each of which must fail:
 *   MUTANT_HALF_READ  a starting daemon serves before it has read to the end
 *   MUTANT_SNAPSHOT   a snapshot is taken even if older than what is in force
 *   MUTANT_ACCEPT     a change is accepted while one daemon alone holds it
 */
#define DAEMONS 3
#define LOG_MAX 4
#define CHANGES 2

/* Offsets begin at 1. as_of is 0 for a change. */
byte as_of[LOG_MAX + 1];
byte log_end = 0;
byte oldest = 1;
byte changes = 0;
bool log_up = true;
byte outages = 0;
byte losses = 0;

bool ready[DAEMONS];
byte in_force[DAEMONS];
byte accepted = 0;

inline put_in_force(me, version) {
  assert(version >= in_force[me]);
  in_force[me] = version
}

/* A snapshot brings the state up to its own as_of. */
inline take_record(state, at) {
  if
  :: as_of[at] == 0 -> state = at
#ifdef MUTANT_SNAPSHOT
  :: else -> state = as_of[at]
#else
  :: as_of[at] > state -> state = as_of[at]
  :: else -> skip
#endif
  fi
}

inline highest_of_peers(me, version) {
  d_step {
    byte h_at;
    version = 0;
    h_at = 0;
    do
    :: h_at < DAEMONS ->
      if
      :: h_at != me && ready[h_at] && in_force[h_at] > version ->
        version = in_force[h_at]
      :: else -> skip
      fi;
      h_at++
    :: else -> break
    od;
    h_at = 0
  }
}

proctype daemon(byte me) {
  byte next;
  byte state;
  byte floor;
  byte peer_version;
  bool covered;

starting:
  atomic {
    floor = accepted;
    next = oldest;
    state = 0;
    covered = (oldest == 1)
  }
  do
  :: atomic { log_up && next < oldest -> goto starting }
  :: atomic { log_up && next >= oldest && next <= log_end ->
      if
      :: as_of[next] + 1 >= oldest && as_of[next] > 0 -> covered = true
      :: else -> skip
      fi;
      take_record(state, next);
      next++ }
#ifdef MUTANT_HALF_READ
  :: atomic { log_up && covered && next > oldest ->
#else
  :: atomic { log_up && covered && next > log_end && next >= oldest ->
#endif
      put_in_force(me, state);
      assert(state >= floor);
      ready[me] = true;
      covered = false; floor = 0;
      goto serving }
  :: atomic { !log_up ->
      highest_of_peers(me, peer_version);
      if
      :: peer_version > 0 ->
        put_in_force(me, peer_version);
        assert(peer_version >= floor);
        next = peer_version + 1;
        state = peer_version;
        ready[me] = true;
        covered = false; floor = 0; peer_version = 0;
        goto serving
      :: else -> skip /* not ready, and says so */
      fi }
  od;

serving:
  do
  :: atomic { log_up && next >= oldest && next <= log_end ->
      take_record(state, next);
      put_in_force(me, state);
      next++ }
  :: atomic { log_up && next < oldest -> next = oldest }
  :: atomic { highest_of_peers(me, peer_version);
      if
      :: peer_version > in_force[me] ->
        state = peer_version;
        put_in_force(me, state);
        next = (next > state -> next : state + 1)
      :: else -> skip
      fi;
      peer_version = 0 }
  :: atomic { losses < 1 -> losses++; ready[me] = false; in_force[me] = 0;
      goto starting }
  od
}

active proctype operators() {
end:
  do
  :: atomic { log_up && changes < CHANGES && log_end < LOG_MAX ->
      changes++;
      log_end++;
      as_of[log_end] = 0 }
  od
}

/* Any daemon may append a snapshot of what it has in force. */
active proctype snapshots() {
end:
  do
  :: atomic { log_up && log_end < LOG_MAX && ready[0] && in_force[0] > 0 ->
      log_end++;
      as_of[log_end] = in_force[0] }
  :: atomic { log_up && log_end < LOG_MAX && ready[1] && in_force[1] > 0 ->
      log_end++;
      as_of[log_end] = in_force[1] }
  :: atomic { log_up && log_end < LOG_MAX && ready[2] && in_force[2] > 0 ->
      log_end++;
      as_of[log_end] = in_force[2] }
  od
}

#define HOLDS(j, i) (ready[j] && in_force[j] >= in_force[i])
#ifdef MUTANT_ACCEPT
#define HELD_TWICE(i) true
#else
#define HELD_TWICE(i) (HOLDS(0, i) + HOLDS(1, i) + HOLDS(2, i) >= 2)
#endif

active proctype acceptance() {
end:
  do
  :: atomic { ready[0] && in_force[0] > accepted && HELD_TWICE(0) ->
      accepted = in_force[0] }
  :: atomic { ready[1] && in_force[1] > accepted && HELD_TWICE(1) ->
      accepted = in_force[1] }
  :: atomic { ready[2] && in_force[2] > accepted && HELD_TWICE(2) ->
      accepted = in_force[2] }
  od
}

active proctype log_service() {
  byte l_at;
  bool l_covered;
end:
  do
  :: atomic { log_up && oldest < log_end ->
      /* The front record may go when a later snapshot covers it. */
      l_covered = false;
      l_at = oldest + 1;
      do
      :: l_at <= log_end ->
        if
        :: as_of[l_at] >= oldest -> l_covered = true
        :: else -> skip
        fi;
        l_at++
      :: else -> break
      od;
      if
      :: l_covered -> oldest++
      :: else -> skip
      fi;
      l_at = 0; l_covered = false }
  :: atomic { log_up && outages < 1 -> outages++; log_up = false }
  :: atomic { !log_up -> log_up = true }
  od
}

init {
  atomic {
    run daemon(0);
    run daemon(1);
    run daemon(2)
  }
}
