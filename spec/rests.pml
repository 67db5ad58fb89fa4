/* SPDX-License-Identifier: MIT
 *
 * Rests that a server asks one instance for, and its departure.
 *
 * Time passes in ticks at any moment.  A request is decided, waits for a connection, is
 * written, is answered some time later, and its answer's head is read some time after
 * that.  The server may start again under its id at any moment; its entry may go and
 * come back.
 *
 * Holds:  nothing is written to a start within a rest of it that the instance has heard,
 *         whatever it heard before, meanwhile or from an earlier start;
 *         nothing is written to a start that was heard to leave.
 *
 * Mutants: NO_LOOK      what was decided is written without another look
 *          SHORTER      the latest figure counts, not the longest
 *          SUCCESS      an answer that asks for nothing ends a rest
 *          ANY_START    a late word of an earlier start replaces the later one's
 *          AS_LISTED    a word counts as that of the start that was listed
 *          FORGETS      a rest goes with the server's entry
 *          BY_LIST      an entry that is ready undoes the word that it leaves
 *          LAST_WORD    one start's word that it leaves replaces the other's
 */

#define SENDERS 2
#define LAST_TICK 4
#define LONG 3
#define NONE 255

byte now = 0;

/* The server: which start runs, since when the second one does, and which one the list
 * tells. */
byte start = 0;
byte born = NONE;
byte listed = 0;

/* server_backoffs.Backoff: which start was listed, when it was asked, until when it binds. */
byte rest_start = NONE;
byte rest_sent = 0;
byte rest_until = 0;

/* backends.BackendTable: which starts are known to leave. */
bool leaving[2];
byte leaving_sent = 0;

/* What was heard, by start: the history that the promises are held against. */
byte promised_until[2];
bool heard_leaving[2];

/* server_backoffs.may_come_from_start */
#ifdef AS_LISTED
#define IS_OF(said_listed, sent, of_start) (said_listed == of_start)
#else
#define IS_OF(said_listed, sent, of_start) \
  (said_listed == of_start || (said_listed < of_start && sent >= born))
#endif
#define BOUND (rest_start != NONE && IS_OF(rest_start, rest_sent, listed) && \
               now < rest_until)
#define OPEN (!BOUND && !leaving[listed])

active proctype clock() {
end:
  do
  :: now < LAST_TICK -> now++
  od
}

active proctype platform() {
  if
  :: atomic { start = 1; born = now };
     atomic {
       listed = 1;
       if
       :: leaving[0] && IS_OF(0, leaving_sent, 1) -> leaving[1] = true
       :: else
       fi
     }
  :: true
  fi;
  /* The entry goes and comes back. */
#ifdef FORGETS
  rest_start = NONE
#endif
#ifdef BY_LIST
  leaving[0] = false;
  leaving[1] = false
#endif
}

/* FlowController.record_signals: what a start has said in the head of an answer to a
 * request that was sent when another may have been listed. */
inline hear(from, said_listed, sent, asked, leaves) {
  if
  :: asked > 0 && now + asked > promised_until[from] ->
     promised_until[from] = now + asked
  :: else
  fi;
  /* What was asked after the birth of a later start was answered by it. */
  of_start = said_listed;
  if
#ifndef AS_LISTED
  :: rest_start == 1 && said_listed == 0 && sent >= born -> of_start = 1
#endif
  :: else
  fi;
  if
  :: asked > 0 ->
     if
#ifndef ANY_START
     :: rest_start != NONE && of_start < rest_start -> skip
#endif
#ifndef SHORTER
     :: rest_start != NONE && IS_OF(rest_start, rest_sent, of_start) &&
        rest_until >= now + asked ->
        if
        :: sent > rest_sent -> rest_sent = sent
        :: else
        fi
#endif
     :: else ->
        if
        :: rest_start != NONE && IS_OF(rest_start, rest_sent, of_start) &&
           rest_sent > sent -> skip
        :: else -> rest_sent = sent
        fi;
        rest_start = of_start;
        rest_until = now + asked
     fi
  :: else ->
#ifdef SUCCESS
     rest_start = NONE
#else
     skip
#endif
  fi;
  if
  :: leaves ->
     heard_leaving[from] = true;
     of_start = said_listed;
     if
#ifndef AS_LISTED
     :: listed == 1 && said_listed == 0 && sent >= born -> of_start = 1
#endif
     :: else
     fi;
#ifdef LAST_WORD
     leaving[1 - of_start] = false;
#endif
     leaving[of_start] = true;
     if
     :: of_start == 0 && sent > leaving_sent -> leaving_sent = sent
     :: else
     fi
  :: else
  fi
}

active [SENDERS] proctype sender() {
  byte from, asked, said_listed, sent, of_start;
  bool leaves, is_written;

end:
  do
  :: atomic { OPEN -> is_written = false };
     /* It waits for a connection here. */
     atomic {
       if
#ifndef NO_LOOK
       :: !OPEN -> skip
#endif
       :: else ->
          /* Whichever start runs gets it. */
          assert(now >= promised_until[start]);
          assert(!heard_leaving[start]);
          from = start;
          said_listed = listed;
          sent = now;
          is_written = true;
          if
          :: asked = 0
          :: asked = 1
          :: asked = LONG
          fi;
          if
          :: leaves = true
          :: leaves = false
          fi
       fi
     };
     if
     :: is_written ->
        atomic { hear(from, said_listed, sent, asked, leaves) }
     :: else
     fi
  od
}
