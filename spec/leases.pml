/* SPDX-License-Identifier: MIT
 *
 * Leases, epochs and fenced orders, with pauses.
 *
 * Time passes in ticks at any moment, so a process that makes no step while
 * ticks pass is a paused one.  Writes take effect some time after they were
 * sent and are answered some time later, or never.
 *
 * Holds:  when a process finds that it holds the lease, no other one does;
 *         no two holders ever share an epoch;
 *         a server that checks the fence carries out no order of a superseded
 *         holder after one of its successor.
 *
 * Mutants: FROM_ANSWER  the holder counts from the answer, not from the send
 *          NO_VERSION   the write is not conditional
 *          NO_FENCE     the server carries out whatever comes
 */

/* With ORDERS the orders are followed to a server; without, the lease alone. */
#ifdef ORDERS
#define DURATION 2
#else
#define DURATION 3
#endif
#define MARGIN 1
#ifdef ORDERS
#define LAST_TICK 4
#define LAST_WRITE 2
#else
#define LAST_TICK 6
#define LAST_WRITE 4
#endif

byte now = 0;

/* The lease's row: leases.LeaseValue. */
byte version = 0, row_epoch = 0;
byte epoch_holder[8]; /* who got an epoch: 0 nobody, else process + 1 */

bool confirmed[2];
byte counted_from[2];
chan orders = [2] of { byte };

#ifdef NO_VERSION
#define UNCHANGED(v) true
#else
#define UNCHANGED(v) (version == (v))
#endif

/* leases.Lease.held_epoch */
#define HELD(p) (confirmed[p] && now < counted_from[p] + DURATION - MARGIN)

active proctype clock() {
end:
  do
  :: now < LAST_TICK -> now++
  od
}

active [2] proctype process() {
  byte me = _pid - 1, seen = 0, seen_at = 0, epoch = 0, wanted = 0, sent = 0;
  bool has_seen = false, written;
end:
  do
  :: now < LAST_TICK ->
       /* leases.Lease.observe */
       atomic {
         if
         :: !has_seen || version != seen ->
              seen = version; epoch = row_epoch; seen_at = now;
              confirmed[me] = false; has_seen = true
         :: else -> skip
         fi
       };
       /* leases.Lease.wanted_write */
       atomic {
         wanted = 0; sent = now;
         if
         :: seen == 0 -> wanted = 1
         :: seen > 0 && HELD(me) -> wanted = epoch
         :: seen > 0 && !HELD(me) && now >= seen_at + DURATION -> wanted = epoch + 1
         :: else -> skip
         fi
       };
       if
       :: wanted > 0 && wanted < 8 && version < LAST_WRITE ->
            /* The write takes effect, or not. */
            written = false;
            if
            :: atomic { UNCHANGED(seen) ->
                 version++; row_epoch = wanted; written = true;
                 assert(epoch_holder[wanted] == 0 || epoch_holder[wanted] == me + 1);
                 epoch_holder[wanted] = me + 1 }
            :: skip
            fi;
            /* Its answer comes, or not: leases.Lease.written */
            if
            :: atomic { written ->
                 seen = seen + 1; epoch = wanted; seen_at = sent; confirmed[me] = true;
#ifdef FROM_ANSWER
                 counted_from[me] = now
#else
                 counted_from[me] = sent
#endif
               }
            :: skip
            fi
       :: else -> skip
       fi
  :: atomic { HELD(me) -> assert(!HELD(1 - me)) }
#ifdef ORDERS
  :: atomic { HELD(me) && nfull(orders) && !(orders??[eval(epoch)]) ->
       orders!epoch }
#endif
  od
}

#ifdef ORDERS
/* leases.Fence; orders may come late and out of order. */
active proctype server() {
  byte known = 0, done = 0, fence;
end:
  do
  :: orders??[1] -> orders??1; fence = 1; goto take
  :: orders??[2] -> orders??2; fence = 2; goto take
  od;
take:
       atomic {
#ifdef NO_FENCE
         if
         :: true ->
#else
         if
         :: fence >= known ->
#endif
              known = fence; assert(fence >= done); done = fence
#ifndef NO_FENCE
         :: else -> skip
#endif
         fi
       };
       goto end
}
#endif
