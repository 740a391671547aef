/*
 * Claims on one idempotency key (docs/design-claims.md).
 *
 * Three attempts of one caller, through two daemons: attempts 0 and 2 through
 * the first, 1 through the second. Any step may be delayed for any time, which
 * is a freeze, also between the check and the send. A daemon may be killed
 * between any two steps. An append takes effect at any time after it was sent,
 * once more when it was tried again, or never; its answer tells the writer
 * nothing (lost answers, outages and late effects in one). A read may fail.
 *
 * Time: over[i] says that the send window of attempt i has ended. Windows are
 * of one length on clocks of one rate, so they end in the order of beginning.
 *
 * The upstream does not check fencing numbers.
 *
 * Mutants, each of which must fail:
 *   MUTANT_NO_WAIT     not_run as soon as a read finds the key free
 *   MUTANT_NO_DEADLINE no check of the deadline before sending
 *   MUTANT_RELEASE     a release of a denied claim frees the key
 */
#define ATTEMPTS 3
#define NONE 7

/* The fold of the log: the state of each claim, and which one holds the key. */
#define UNSEEN 0
#define HELD 1
#define DENIED 2
#define RELEASED 3
#define SETTLED 4
byte state[ATTEMPTS];
byte holder = NONE;

/* Records sent to the log that have not taken effect. */
byte claims_in_flight[ATTEMPTS];
bool release_in_flight[ATTEMPTS];
bool outcome_in_flight[ATTEMPTS];

bool begun[ATTEMPTS];
byte begin_order[ATTEMPTS];
byte begins = 0;
bool over[ATTEMPTS];
bool said_not_run[ATTEMPTS];
byte executions = 0;
bool ran[ATTEMPTS];

inline land_claim(id) {
  if
  :: state[id] != UNSEEN -> skip /* a second copy, or one given up */
  :: state[id] == UNSEEN && holder == NONE ->
    holder = id;
    state[id] = HELD
  :: state[id] == UNSEEN && holder != NONE -> state[id] = DENIED
  fi
}

inline land_release(id) {
  if
  :: state[id] == HELD -> holder = NONE; state[id] = RELEASED
  :: state[id] == UNSEEN -> state[id] = RELEASED
#ifdef MUTANT_RELEASE
  :: state[id] == DENIED -> holder = NONE
#endif
  :: else -> skip
  fi
}

/* not_run must be true of this attempt and of all that began earlier. */
inline say_not_run(me) {
  d_step {
    byte s_at;
    said_not_run[me] = true;
    assert(!ran[me]);
    s_at = 0;
    do
    :: s_at < ATTEMPTS ->
      assert(!(begun[s_at] && begin_order[s_at] < begin_order[me] &&
               ran[s_at]));
      s_at++
    :: else -> break
    od;
    s_at = 0
  }
}

inline execute(me) {
  d_step {
    byte e_at;
    ran[me] = true;
    executions++;
    assert(executions <= 1);
    e_at = 0;
    do
    :: e_at < ATTEMPTS ->
      assert(!(said_not_run[e_at] && begin_order[me] <= begin_order[e_at]));
      e_at++
    :: else -> break
    od;
    e_at = 0
  }
}

proctype attempt(byte me) {
  byte tries = 0;

  d_step {
    begun[me] = true;
    begin_order[me] = begins;
    begins++
  }
  do
  :: atomic { tries < 1 + (me == 0) && !over[me] ->
      tries++;
      claims_in_flight[me]++ }
  /* Reads of the log; one that fails is a step not taken. */
  :: atomic { holder == me -> goto granted }
  :: atomic { holder != me && holder != NONE -> goto refused }
#ifdef MUTANT_NO_WAIT
  :: atomic { holder == NONE -> say_not_run(me); goto refused }
#else
  :: atomic { holder == NONE && over[me] -> say_not_run(me); goto refused }
#endif
  :: atomic { over[me] -> goto refused } /* no answer in time: unknown */
  :: goto killed
  od;

granted:
  if
#ifdef MUTANT_NO_DEADLINE
  :: true ->
#else
  :: !over[me] ->
#endif
    /* Here any pause may fall between the check and the send. */
    if
    :: execute(me)
    :: goto killed
    fi;
    if
    :: outcome_in_flight[me] = true
    :: skip /* killed, or no answer came */
    fi;
    goto killed
  :: over[me] -> say_not_run(me)
  :: goto killed
  fi;

refused:
  /* Given up for good; a claim that may still land is released. */
  if
  :: tries > 0 -> release_in_flight[me] = true
  :: true
  fi;
killed:
  tries = 0
}

/* What was sent to the log takes effect in any order, at any time. */
active proctype log_service() {
end:
  do
  :: atomic { claims_in_flight[0] > 0 ->
      claims_in_flight[0]--;
      land_claim(0) }
  :: atomic { release_in_flight[0] ->
      release_in_flight[0] = false;
      land_release(0) }
  :: atomic { outcome_in_flight[0] ->
      outcome_in_flight[0] = false;
      state[0] = (state[0] == HELD -> SETTLED : state[0]) }
  :: atomic { claims_in_flight[1] > 0 ->
      claims_in_flight[1]--;
      land_claim(1) }
  :: atomic { release_in_flight[1] ->
      release_in_flight[1] = false;
      land_release(1) }
  :: atomic { outcome_in_flight[1] ->
      outcome_in_flight[1] = false;
      state[1] = (state[1] == HELD -> SETTLED : state[1]) }
  :: atomic { claims_in_flight[2] > 0 ->
      claims_in_flight[2]--;
      land_claim(2) }
  :: atomic { release_in_flight[2] ->
      release_in_flight[2] = false;
      land_release(2) }
  :: atomic { outcome_in_flight[2] ->
      outcome_in_flight[2] = false;
      state[2] = (state[2] == HELD -> SETTLED : state[2]) }
  od
}

active proctype clock() {
end:
  do
  :: atomic { begun[0] && !over[0] &&
      !(begun[1] && begin_order[1] < begin_order[0] && !over[1]) &&
      !(begun[2] && begin_order[2] < begin_order[0] && !over[2]) ->
      over[0] = true }
  :: atomic { begun[1] && !over[1] &&
      !(begun[0] && begin_order[0] < begin_order[1] && !over[0]) &&
      !(begun[2] && begin_order[2] < begin_order[1] && !over[2]) ->
      over[1] = true }
  :: atomic { begun[2] && !over[2] &&
      !(begun[0] && begin_order[0] < begin_order[2] && !over[0]) &&
      !(begun[1] && begin_order[1] < begin_order[2] && !over[1]) ->
      over[2] = true }
  od
}

init {
  atomic {
    run attempt(0);
    run attempt(1);
    run attempt(2)
  }
}
