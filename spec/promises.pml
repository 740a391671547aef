/*
 * Promises of a decode place.
 *
 * One engine slot, one request. Its owner asks the engine's home for a promise,
 * uses the slot once, late or in time, and releases the promise; the release may
 * be lost. The owner may be killed, and its request is then cancelled. The home
 * lists the engine now and then; an answer may arrive much later than it was
 * made. Time is one fact: whether the time by which the engine must show the
 * request has come.
 *
 * Checked: the home never takes the slot for free while the request of a live
 * owner, begun in time, uses it; when all has come to rest the slot is not
 * promised to a request that does not use it.
 *
 * Assumed: the engine shows a request that has begun in time from the end of
 * that time on, and nobody begins later.
 *
 * Mutants, each of which must fail:
 *   MUTANT_LAPSE_BY_TIME  a promise that no list has shown lapses by time alone
 *   MUTANT_OLD_LIST       a list asked for before the end of that time counts
 *   MUTANT_NO_LIST        no list is fetched, so a lost release is never found
 */
bool promised = false;
bool seen = false;     /* a list has shown the request */
bool using = false;    /* the engine holds the request */
bool used = false;     /* it was begun once */
bool due = false;      /* the engine must show the request from now on */
bool dead = false;     /* the owner, as membership has it */
bool killed = false;
bool release_in_flight = false;
bool release_lost = false;

active proctype owner() {
end:
  do
  :: atomic { !killed && !used && !due && !promised -> promised = true;
      seen = false }
  :: atomic { !killed && promised && !used && !due -> using = true;
      used = true }
  /* The answer ends and the promise is released. */
  :: atomic { !killed && using -> using = false; release_in_flight = true }
  /* It gives up before it began. */
  :: atomic { !killed && promised && !used -> used = true;
      release_in_flight = true }
  od
}

/* An orphan is cancelled. */
active proctype clean_up() {
end:
  do
  :: atomic { dead && using -> using = false }
  od
}

active proctype network() {
end:
  do
  :: atomic { release_in_flight -> release_in_flight = false;
      promised = false }
  :: atomic { release_in_flight && !release_lost -> release_lost = true;
      release_in_flight = false }
  od
}

active proctype time() {
end:
  do
  :: atomic { promised && !due -> due = true }
  od
}

active proctype faults() {
end:
  do
  :: atomic { !killed -> killed = true }
  :: atomic { !killed -> break }
  :: atomic { killed && !dead -> dead = true }
  od
}

inline drop_promise() {
  assert(!(using && !killed));
  promised = false
}

active proctype home() {
  bool asked_when_due, shows;
end:
  do
#ifndef MUTANT_NO_LIST
  :: atomic { promised && !(due && seen && using) ->
      asked_when_due = due }
    /* The engine makes its answer, and the home reads it, at other times. */
    atomic { shows = using }
    atomic {
      if
      :: !promised -> skip
      :: promised && shows -> seen = true
#ifdef MUTANT_OLD_LIST
      :: promised && !shows -> drop_promise()
#else
      :: promised && !shows && (seen || asked_when_due) -> drop_promise()
      :: promised && !shows && !seen && !asked_when_due -> skip
#endif
      fi }
#endif
#ifdef MUTANT_LAPSE_BY_TIME
  :: atomic { promised && !seen && due -> drop_promise() }
#endif
  :: atomic { promised && !seen && due && dead -> drop_promise() }
  :: atomic { false -> skip }
  od
}

active proctype rest() {
  atomic { timeout -> assert(!promised || using) }
}
