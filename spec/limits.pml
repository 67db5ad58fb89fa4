/* SPDX-License-Identifier: MIT
 *
 * Which word on a server's limit counts (server_limits).
 *
 * The server changes its limit at any moment.  Each request is sent, answered and heard
 * of at any later moment, so that answers overtake each other; what one instance has
 * heard, another one takes in at any later moment, or never.  The time counts events.
 *
 * Holds:  no instance goes by a higher figure than that of the latest word that it has
 *         taken in, by the server's own order;
 *         a request that is sent when all is heard brings each instance to the server's
 *         own figure.
 *
 * Mutants: AS_IT_COMES  the word that came last counts
 *          ANY_END      an answer without the word ends the limit, whenever it was sent
 *          LATER_SENT   of two that overlap the one that was sent later counts
 */

#define REQUESTS 2
#define CHANGES 2
#define OVER 2

byte now = 1;
/* What the server takes: 0 and 1 are limits, the second one is the higher. */
byte figure = OVER;

/* server_limits.Limit: the word that counts, by instance. */
byte known[2];
byte known_sent[2];
byte known_heard[2];

/* The latest word that an instance has taken in, by when the server spoke. */
byte latest[2];
byte latest_said[2];
byte done = 0;

inline keep(at, told, since, until) {
  known[at] = told;
  known_sent[at] = since;
  known_heard[at] = until
}

/* ServerLimits.take */
inline take(to, what, asked, spoken, come) {
  if
  :: spoken > latest_said[to] -> latest_said[to] = spoken; latest[to] = what
  :: else
  fi;
  if
#ifdef AS_IT_COMES
  :: true -> keep(to, what, asked, come)
#else
#ifdef ANY_END
  :: what == OVER -> keep(to, what, asked, come)
#endif
  /* Nothing is known, and nothing said. */
  :: known[to] == OVER && what == OVER -> skip
  :: !(known[to] == OVER && what == OVER) && asked >= known_heard[to] ->
     keep(to, what, asked, come)
#ifdef LATER_SENT
  :: asked < known_heard[to] && asked > known_sent[to] -> keep(to, what, asked, come)
#else
  :: asked < known_heard[to] && what < known[to] && come > known_sent[to] ->
     if
     :: asked > known_sent[to] -> known_sent[to] = asked
     :: else
     fi;
     if
     :: come > known_heard[to] -> known_heard[to] = come
     :: else
     fi;
     known[to] = what
#endif
  :: else
#endif
  fi;
  assert(known[to] <= latest[to])
}

active proctype server() {
  byte changes = 0;
  do
  :: changes < CHANGES ->
     atomic {
       if
       :: figure = 0
       :: figure = 1
       :: figure = OVER
       fi;
       changes++;
       now++
     }
  :: break
  od;
  done++
}

active [REQUESTS] proctype request() {
  byte sent, said, heard, word, one;

  if
  :: one = 0
  :: one = 1
  fi;
  atomic { sent = now; now++ };
  atomic { word = figure; said = now; now++ };
  atomic { heard = now; now++; take(one, word, sent, said, heard) };
  /* The other instance is told, sooner or later. */
  if
  :: atomic { take(1 - one, word, sent, said, heard) }
  :: true
  fi;
  done++
}

active proctype last_request() {
  atomic {
    done == REQUESTS + 1;
    now++;
    take(0, figure, now, now + 1, now + 2);
    take(1, figure, now, now + 1, now + 2);
    assert(known[0] == figure && known[1] == figure)
  }
}

init {
  atomic {
    known[0] = OVER; known[1] = OVER;
    latest[0] = OVER; latest[1] = OVER
  }
}
