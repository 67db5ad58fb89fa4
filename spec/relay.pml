/* SPDX-License-Identifier: MIT
 *
 * Proofs of the desired state that pass through other instances.
 *
 * Time passes in ticks at any moment.  An instance asks the store or the other
 * instance, the answer is made some time later and taken some time after that,
 * or never; instances may follow each other in a circle.
 *
 * Holds:  once a key's removal is older than the limit, no instance counts a
 *         state as proven that still has the key;
 *         no instance goes back to an older state.
 *
 * Mutants: FROM_RECEIPT  a relayed proof counts from when it was taken
 *          FROM_ANSWER   a relayed proof counts from when the other answered
 *          ANY_VERSION   an answer is taken even if it is older
 *          NO_DOUBT      a state that is not understood is passed over
 */

#define LIMIT 2
#define LAST_TICK 5
#define NONE 255

byte now = 0;

/* The store: whether the key is removed, and since when. */
bool removed = false;
byte removed_at = NONE;

/* table_cache.TableCache and freshness.Freshness, by instance. */
byte version[2];
byte proof[2] = NONE;
bool doubted[2];

#define FRESH(p) (proof[p] != NONE && now - proof[p] < LIMIT)
#define LATE (removed && now >= removed_at + LIMIT)

active proctype clock() {
end:
  do
  :: now < LAST_TICK -> now++
  od
}

active proctype operator() {
  removed = true;
  removed_at = now
}

/* Takes an answer in: freshness.proven, and the version check of the router. */
inline take(p, got, proven_at) {
  if
#ifndef ANY_VERSION
  :: got < version[p] -> skip
#endif
  :: else ->
     assert(got >= version[p]);
     version[p] = got;
     if
     :: !doubted[p] && (proof[p] == NONE || proven_at > proof[p]) ->
        proof[p] = proven_at
     :: else
     fi
  fi
}

active [2] proctype instance() {
  byte me = _pid - 2;
  byte got, at;
  bool is_known;

end:
  do
  :: /* The store itself: its clock is read when it answers. */
     atomic { got = removed; at = now };
     atomic {
       if
       :: got == 1 && version[me] == 0 ->
          if
          :: true -> take(me, got, at)
          :: true -> /* A newer state that can't be understood. */
#ifndef NO_DOUBT
             doubted[me] = true
#else
             if
             :: proof[me] == NONE || at > proof[me] -> proof[me] = at
             :: else
             fi
#endif
          fi
       :: else -> take(me, got, at)
       fi
     }
  :: /* The other instance: its newest proof, as old as that is. */
     atomic {
       got = version[1 - me];
       is_known = (proof[1 - me] != NONE);
#ifdef FROM_ANSWER
       at = now
#else
       at = proof[1 - me]
#endif
     };
     atomic {
       if
       :: is_known ->
#ifdef FROM_RECEIPT
          at = now;
#endif
          take(me, got, at)
       :: else
       fi
     }
  :: /* Whatever is proven is used. */
     assert(!(FRESH(me) && version[me] == 0 && LATE))
  od
}
