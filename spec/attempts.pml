/* SPDX-License-Identifier: MIT
 *
 * Attempt epochs: one stage of a request, replaced between two runners while
 * steps and results of earlier epochs are still under way.
 *
 * The instance gives up on a step at any time (a stall or a broken
 * connection) and gives the stage to the other runner, with all inputs since
 * position zero.  The old runner may still run the old step, and its result
 * may come at any time or never.
 *
 * Holds:  a result is taken for each position exactly once, in order, and the
 *         runner that gave it had run each earlier position exactly once;
 *         within an epoch no runner runs a position twice.
 *
 * Mutants: SHORT_REBUILD  a replaced stage is given the current input only
 *          NO_GUARD       a runner runs whatever step it gets
 *          NO_LABEL       a result is taken whatever its epoch
 */

#define POSITIONS 3
#define REPLACEMENTS 3
#define RUNNERS 2

/* wire.Step: epoch, first position, how many. */
chan steps[RUNNERS] = [4] of { byte, byte, byte };
/* wire.Result: runner, epoch, first position, length of its cache after it. */
chan results = [8] of { byte, byte, byte, byte };

byte taken = 0; /* attempts.Attempt.position */

active [RUNNERS] proctype runner() {
  byte me = _pid, known = 0, length = 0, epoch, position, count;
end:
  do
  :: steps[me]?epoch, position, count ->
       atomic {
         if
#ifdef NO_GUARD
         :: true -> length = length + count; known = epoch;
              goto answer
#else
         :: epoch > known && position == 0 ->
              length = count; known = epoch; goto answer
         :: epoch == known && position == length ->
              length = length + count; goto answer
         :: else -> skip /* wire.Refusal: OUT_OF_ORDER or STALE_EPOCH */
#endif
         fi
       };
       goto end;
answer:
       if
       :: results!me, epoch, position, length
       :: skip /* the connection broke: the result is lost */
       fi
  od
}

active proctype instance() {
  byte epoch = 1, at = 0, replaced = 0, expected, who, e, p, length;
  bool rebuilding = false;

give: /* _driver._Run._step */
  if
#ifdef SHORT_REBUILD
  :: rebuilding -> steps[at]!epoch, 0, 1
#else
  :: rebuilding -> steps[at]!epoch, 0, taken + 1
#endif
  :: !rebuilding -> steps[at]!epoch, taken, 1
  fi;
  expected = (rebuilding -> 0 : taken);

wait: /* _engine_link.EngineLink._handle_result, attempts.Attempt.accepts */
  if
  :: results?who, e, p, length ->
       if
#ifdef NO_LABEL
       :: p == expected ->
#else
       :: e == epoch && p == expected ->
#endif
            assert(length == taken + 1);
            assert(who == at);
            taken++; rebuilding = false;
            if
            :: taken < POSITIONS -> goto give
            :: else -> goto finished
            fi
       :: else -> goto wait /* late: dropped */
       fi
  :: replaced < REPLACEMENTS -> /* attempts.Attempt.replace_stage */
       replaced++; epoch++; at = 1 - at;
       rebuilding = true;
       goto give
  fi;

finished:
  skip
}
