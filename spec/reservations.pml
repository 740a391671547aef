/*
 * Reservations and the clean-up of what is left behind.
 *
 * One engine slot, one request. Entry daemon 0 owns it; the caller may leave or
 * reconnect through daemon 1, which adopts the request. Daemon 0 may be killed,
 * or frozen past its lease and thawed. The engine's home lists its requests and
 * cancels those whose owner has been declared dead for a lease. Cancels may be
 * lost or late.
 *
 * Checked: a cancel never ends a request whose owner is live and whose caller
 * is there; when all has come to rest, the slot is not held for nobody.
 *
 * Assumed: a dead verdict that has been known for a lease is wrong only about a
 * daemon that stood still, not about one cut off from its peers.
 *
 * Mutants, each of which must fail:
 *   MUTANT_NO_OWNER  the engine does not compare the owner of a cancel
 *   MUTANT_NO_RETRY  a caller's leaving is told to the engine once only
 *   MUTANT_NO_LEASE  the home cancels on a suspicion, without verdict and lease
 *   MUTANT_NO_HOME   nobody cancels for a daemon that is gone
 */
#define NOBODY 0
#define FIRST 1  /* daemon 0, first incarnation */
#define SECOND 2 /* daemon 1 */

byte owner = NOBODY; /* owner of the request in the slot */
bool finished = false;
bool endless = false; /* the request runs until it is cancelled */
bool cancelled = false; /* remembered: a late import is refused */
bool import_in_flight = false;
bool importing = true; /* daemon 0 has not learnt of the import's end */

bool killed = false;
bool frozen = false;
bool froze_once = false;
bool lease_over = false; /* the first incarnation is over */
bool verdict = false;    /* dead, known for a lease */
bool caller_there = true;
bool reconnected = false;
byte losses = 0;
#define MAX_LOSSES 2

/* Cancels on their way, by the owner that they name; at most two of each. */
byte cancel_first = 0;
byte cancel_second = 0;

#define FIRST_LIVE (!killed && !lease_over)
#define OWNER_LIVE ((owner == FIRST && FIRST_LIVE) || owner == SECOND)

inline engine_cancel(named) {
  if
#ifdef MUTANT_NO_OWNER
  :: owner != NOBODY ->
#else
  :: owner == named ->
#endif
    assert(!(OWNER_LIVE && caller_there && !finished));
    owner = NOBODY;
    cancelled = true
  :: owner == NOBODY -> cancelled = true
  :: else -> skip
  fi
}

active proctype engine() {
  if
  :: endless = true
  :: skip
  fi;
end:
  do
  :: atomic { import_in_flight ->
      import_in_flight = false;
      if
      :: !cancelled -> owner = FIRST
      :: else -> skip
      fi }
  :: atomic { import_in_flight && losses < MAX_LOSSES ->
      losses++; import_in_flight = false }
  :: atomic { cancel_first > 0 -> cancel_first--; engine_cancel(FIRST) }
  :: atomic { cancel_second > 0 -> cancel_second--; engine_cancel(SECOND) }
  :: atomic { cancel_first > 0 && losses < MAX_LOSSES ->
      losses++; cancel_first-- }
  :: atomic { cancel_second > 0 && losses < MAX_LOSSES ->
      losses++; cancel_second-- }
  :: atomic { owner != NOBODY && !endless -> finished = true; owner = NOBODY }
  od
}

/* A cancel that overtakes the import is remembered by the engine. */
#define MINE_AT_ENGINE (owner == FIRST || (import_in_flight && !cancelled))

/* Daemon 0: starts the request, and cancels until the engine shows it gone. */
active proctype entry_daemon() {
  bool told = false;
end:
  do
  :: atomic { !killed && !frozen && !lease_over && importing && caller_there &&
      !import_in_flight && owner == NOBODY && !cancelled && !finished ->
      import_in_flight = true;
      importing = false }
#ifdef MUTANT_NO_RETRY
  :: atomic { !killed && !frozen && !lease_over && !caller_there && !told &&
      !reconnected && MINE_AT_ENGINE && cancel_first == 0 ->
      told = true;
      cancel_first++ }
#else
  :: atomic { !killed && !frozen && !lease_over && !caller_there &&
      !reconnected && MINE_AT_ENGINE && cancel_first == 0 ->
      cancel_first++ }
#endif
  od
}

/* Daemon 1: takes over the request of a caller that comes back. */
active proctype resuming_daemon() {
end:
  do
  :: atomic { !reconnected -> break } /* the caller does not come back */
  :: atomic { !reconnected && owner == FIRST && !caller_there ->
      reconnected = true;
      caller_there = true;
      owner = SECOND }
  :: atomic { reconnected && !caller_there && owner == SECOND &&
      cancel_second == 0 ->
      cancel_second++ }
  od
}

/* The engine's home: cancels what a gone incarnation has left. It may act on
 * an old list, so the owner is part of the cancel. */
active proctype home() {
  byte listed = NOBODY;
end:
  do
#ifndef MUTANT_NO_HOME
  :: atomic { owner != listed -> listed = owner }
#ifdef MUTANT_NO_LEASE
  :: atomic { listed == FIRST && (killed || frozen) && cancel_first == 0 ->
#else
  :: atomic { listed == FIRST && verdict && cancel_first == 0 &&
      owner != NOBODY ->
#endif
      cancel_first++ }
#endif
  :: atomic { false -> skip }
  od
}

active proctype faults() {
end:
  do
  :: atomic { (!killed && !frozen) || verdict -> break }
  :: atomic { !killed -> killed = true }
  :: atomic { !killed && !froze_once -> froze_once = true; frozen = true }
  /* Thawed in time: the lease still holds. */
  :: atomic { frozen && !verdict -> frozen = false }
  /* Silent for the time of a verdict and a lease: whatever it does later, it
   * finds its lease over first. */
  :: atomic { (killed || frozen) && !verdict ->
      lease_over = true;
      verdict = true }
  :: atomic { frozen && verdict -> frozen = false }
  od
}

active proctype caller() {
end:
  do
  :: atomic { caller_there && (owner != NOBODY || import_in_flight) ->
      caller_there = false }
  :: true -> break
  od
}

active proctype rest() {
  /* Nothing is on its way and nobody will act. */
  atomic {
    timeout -> assert(owner == NOBODY || (OWNER_LIVE && caller_there))
  }
}
