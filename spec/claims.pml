/* SPDX-License-Identifier: MIT
 *
 * Claims: instances that race to run one keyed call.
 *
 * Each instance stands for one operation (a caller's resend at that instance).
 * The table may refuse a write, lose the answer of one that took effect, or
 * lose the answer of one that takes effect later or never.  An instance may
 * crash or pause at any point: it simply makes no further step.
 *
 * Holds:  the call runs at most once;
 *         whoever was told "not run" was told the truth, for good.
 *
 * Mutants: NO_CONDITION  the insert overwrites whatever is there
 *          NO_OPERATION  another operation's claim passes for one's own
 *          EAGER_RELEASE a claim is released though its call may have run
 *          NO_REFUSAL    after giving up, a late success is still sent
 */

#ifndef N
#define N 3
#endif
#ifndef TRIES
#define TRIES 2
#endif

mtype = { RUNNING, DONE, RELEASED };

/* The claim's row: claims.Claim, claims.ClaimState. */
byte version = 0;
mtype state;
byte owner;

/* A write whose answer was lost before it took effect; one for each operation. */
bool late_pending[N];
byte late_version[N];
mtype late_state[N];

byte runs = 0;
bool ran[N];
bool said_not_run[N];

#ifdef NO_CONDITION
#define MATCHES(v) true
#else
#define MATCHES(v) (version == (v))
#endif

#ifdef NO_OPERATION
#define IS_OWN(s) (state == (s))
#else
#define IS_OWN(s) (owner == me && state == (s))
#endif

inline apply(me_, s, v) {
  version = (v) + 1; state = s; owner = me_
}

/* ports.Table.transact: sets `answer` to 1 written, 2 conflict, 3 lost, 4 refused. */
inline transact(s, v) {
  atomic {
    if
    :: MATCHES(v) -> apply(me, s, v); answer = 1
    :: MATCHES(v) -> apply(me, s, v); answer = 3
    :: !MATCHES(v) -> answer = 2; seen_version = version;
         seen_own = IS_OWN(s); seen_state = state; seen_mine = (owner == me)
    :: !late_pending[me] ->
         late_pending[me] = true; late_version[me] = v; late_state[me] = s;
         answer = 3
    :: answer = 4
    fi
  }
}

/* The table takes a delayed write, or drops it. */
active proctype late_writes() {
  byte i;
end:
  do
  :: atomic { late_pending[0] -> i = 0; goto take }
  :: atomic { late_pending[1] -> i = 1; goto take }
#if N > 2
  :: atomic { late_pending[2] -> i = 2; goto take }
#endif
  od;
take:
  atomic {
    late_pending[i] = false;
    if
    :: MATCHES(late_version[i]) -> apply(i, late_state[i], late_version[i])
    :: true -> skip
    fi
  };
  goto end
}

proctype instance(byte me) {
  byte answer = 0, tries = 0, wanted = 0, seen_version = 0;
  bool seen_own = false, seen_mine = false, lost = false;
  mtype seen_state;

claim: /* _keyed.KeyedCalls._claim, _keyed.ClaimWriter._write_batch */
  transact(RUNNING, wanted);
  if
  :: answer == 1 -> goto send
  :: answer == 2 && seen_own -> goto send /* claims.is_own_write */
  :: answer == 2 && !seen_own && seen_state == RELEASED ->
       wanted = seen_version; tries++;
       if
       :: tries < TRIES -> goto claim
       :: else -> goto finished
       fi
  :: answer == 2 && !seen_own && seen_state != RELEASED -> goto finished
  :: answer == 3 -> lost = true; tries++;
       if
       :: tries < TRIES -> goto claim
       :: else -> said_not_run[me] = true; tries = 0; goto release
       fi
  :: answer == 4 && lost -> said_not_run[me] = true; tries = 0; goto release
  :: answer == 4 && !lost -> said_not_run[me] = true; goto finished
  fi;

send: /* _services.PlainServices.send: one server, once */
  if
  :: atomic { runs++; ran[me] = true }; /* answered */
     tries = 0; goto record
  :: atomic { runs++; ran[me] = true }; /* the answer was lost: 1304 */
#ifdef EAGER_RELEASE
     tries = 0; goto release
#else
     goto finished
#endif
  :: skip -> goto finished /* bytes left but nothing ran: also 1304 */
  :: said_not_run[me] = true; tries = 0; goto release /* no connection: 1303 */
  fi;

record: /* _keyed.KeyedCalls._write_conclusion with an outcome */
  transact(DONE, wanted);
  if
  :: answer == 2 && seen_mine && !seen_own -> wanted = seen_version
  :: answer == 2 && !(seen_mine && !seen_own) -> goto finished
  :: answer == 1 -> goto finished
  :: else -> skip
  fi;
  tries++;
  if
  :: tries <= TRIES -> goto record
  :: else -> goto finished
  fi;

release: /* _keyed.KeyedCalls._write_conclusion without an outcome */
#ifdef NO_REFUSAL
  if
  :: version > 0 && owner == me && state == RUNNING -> goto send
  :: else -> skip
  fi;
#endif
  transact(RELEASED, wanted);
  if
  :: answer == 2 && !seen_own && (seen_mine || seen_state == RELEASED) ->
       wanted = seen_version
  :: answer == 2 && !(!seen_own && (seen_mine || seen_state == RELEASED)) ->
       goto finished
  :: answer == 1 -> goto finished
  :: else -> skip
  fi;
  tries++;
  if
  :: tries <= TRIES -> goto release
  :: else -> goto finished
  fi;

finished:
  skip
}

/* Checked at every step of every instance. */
active proctype monitor() {
end:
  atomic { (runs > 1) -> assert(false) }
}

active proctype truth() {
end:
  atomic {
    ((said_not_run[0] && ran[0]) || (said_not_run[1] && ran[1])
#if N > 2
      || (said_not_run[2] && ran[2])
#endif
    ) -> assert(false)
  }
}

init {
  atomic {
    run instance(0);
    run instance(1)
#if N > 2
    ; run instance(2)
#endif
  }
}
