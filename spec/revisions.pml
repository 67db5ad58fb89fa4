/* SPDX-License-Identifier: MIT
 *
 * Configuration revisions: operators that race over two instances, answers
 * that are lost, writes that land late, offers of peers, and (with RESTORE) a
 * table that goes back to an older state.
 *
 * Holds:  no instance's revision ever goes down;
 *         without a restore, a number never has two contents, and an operator
 *         who is told "accepted" or "stale" is told the truth.
 *
 * Mutants: ANY_OFFER     an instance applies whatever it is offered
 *          UNCONDITIONAL the head is overwritten
 *          HASTY_STALE   a later revision in the way is taken for a lost race
 */

#define LAST 3 /* revisions */
#define TRIES 2

/* The head row; an operation's id is the instance that made it, plus one. */
byte head = 0, head_op = 0;
byte content[5]; /* what a number was accepted as: the operation, 0 none */

byte current[2]; /* _config.ConfigKeeper.current, by number */

/* A write that lands later; one for each instance. */
bool late[2];
byte late_base[2];

#ifdef UNCONDITIONAL
#define UNCHANGED(b) true
#else
#define UNCHANGED(b) (head == (b))
#endif

inline store(who, base) {
  head = base + 1; head_op = who + 1;
#ifndef RESTORE
  assert(content[head] == 0 || content[head] == head_op);
#endif
  content[head] = head_op
}

/* _config.ConfigKeeper._take */
inline take(who, offered) {
#ifdef ANY_OFFER
  assert(offered >= current[who]);
  current[who] = offered
#else
  if
  :: offered > current[who] -> current[who] = offered
  :: else -> skip
  fi
#endif
}

active [2] proctype instance() {
  byte me = _pid, base, tries, answer;
  bool lost, mine;
end:
  do
  :: atomic { true; take(me, head) } /* _follow_table */
  :: atomic { true; take(me, current[1 - me]) } /* a peer's offer */
#ifdef RESTORE
  :: atomic { head < current[me] -> head = current[me] } /* _repair */
#endif
  :: atomic { head < LAST && !late[me] ->
       take(me, head); base = current[me]; tries = 0; lost = false };
     /* _write_head */
     do
     :: tries < TRIES ->
          tries++;
          atomic {
            if
            :: UNCHANGED(base) && head < LAST -> store(me, base); answer = 1
            :: UNCHANGED(base) && head < LAST -> store(me, base); answer = 2
            :: !UNCHANGED(base) -> answer = 3
            :: !late[me] -> late[me] = true; late_base[me] = base; answer = 2
            fi
          };
          if
          :: answer == 1 -> atomic { take(me, base + 1) }; break
          :: answer == 2 -> lost = true
          :: answer == 3 ->
               atomic {
                 mine = (head == base + 1 && head_op == me + 1);
                 if
                 :: mine -> take(me, base + 1) /* told "accepted" */
#ifdef HASTY_STALE
                 :: !mine -> /* told "stale" */
#else
                 :: !mine && lost && head > base + 1 -> skip /* 1503: unknown */
                 :: !mine && !(lost && head > base + 1) -> /* told "stale" */
#endif
#ifndef RESTORE
                      assert(content[base + 1] != me + 1)
#else
                      skip
#endif
                 fi
               };
               break
          fi
     :: else -> break
     od
  od
}

active proctype late_writes() {
end:
  do
  :: atomic { late[0] -> late[0] = false;
       if :: UNCHANGED(late_base[0]) && head < LAST -> store(0, late_base[0])
          :: true -> skip fi }
  :: atomic { late[1] -> late[1] = false;
       if :: UNCHANGED(late_base[1]) && head < LAST -> store(1, late_base[1])
          :: true -> skip fi }
  od
}

#ifdef RESTORE
active proctype restore() {
  atomic { head > 1 -> head = head - 1 }
}
#endif

/* Each instance's revision, as it was last seen here. */
active proctype monitor() {
  byte seen[2];
end:
  do
  :: atomic { current[0] != seen[0] -> assert(current[0] > seen[0]); seen[0] = current[0] }
  :: atomic { current[1] != seen[1] -> assert(current[1] > seen[1]); seen[1] = current[1] }
  od
}
