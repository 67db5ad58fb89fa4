/* SPDX-License-Identifier: MIT
 *
 * A store that is restored from a copy, a reader of it, and a follower of the reader.
 *
 * One server drains at some moment.  The store may be copied and restored at any moment,
 * as often as there are eras: its versions fall and are given out again, and what drained
 * since the copy is written again later.  Its history may be forgotten.  The reader reads
 * changes or, where these can't be had, the whole table, at which it may read behind.
 * The follower asks the reader.
 *
 * Holds:  an instance that counts its view as proven at a time has every draining that
 *         stood in the store at that time, or knows it from before;
 *         nobody takes a server that drains for ready again.
 *
 * Mutants: KEEP_VERSION  a whole read keeps the higher version that was known
 *          NO_ERA        positions of two eras are compared by version
 *          NO_CONFIRM    a whole read counts before the changes after it are answered
 *          UNDO          an older row makes a draining server ready
 */

#define LAST_VERSION 4
#define LAST_ERA 2

/* The store. */
byte era = 1, version = 1, oldest = 1;
bool drains = false;          /* what the row says */
byte drained_at = 0;          /* the version that wrote it */
bool has_copy = false;
byte copy_version = 0, copy_drained_at = 0;
bool copy_drains = false;
/* Counts every moment at which the store's content changed, and what it was then. */
byte moment = 0;
bool was_draining[12];

/* table_cache.TableCache and backends.BackendTable; 0 is the reader, 1 the follower. */
byte known_era[2], known_version[2];
bool row_drains[2], ever_drained[2];
byte proof[2];                /* the moment at which the view was current */
/* The latest changes that the reader keeps for the follower. */
byte change_after = 0, change_version = 0;
bool has_change = false, change_drains = false;

#define CHANGED { moment++; was_draining[moment] = drains }

inline take_row(p, value) {
  if
#ifndef UNDO
  :: ever_drained[p] && !value -> skip
#endif
  :: else -> row_drains[p] = value
  fi;
  if
  :: value -> ever_drained[p] = true
  :: else
  fi
}

active proctype store() {
end:
  do
  :: atomic { version < LAST_VERSION && moment < 10 ->   /* another row changes */
       version++; CHANGED }
  :: atomic { !drains && version < LAST_VERSION && moment < 10 ->
       version++; drains = true; drained_at = version; CHANGED }
  :: atomic { oldest < version -> oldest = version }
  :: atomic { !has_copy ->
       has_copy = true; copy_version = version;
       copy_drains = drains; copy_drained_at = drained_at }
  :: atomic { has_copy && era < LAST_ERA && moment < 10 ->
       version = copy_version; drains = copy_drains; drained_at = copy_drained_at;
       oldest = version; era++; CHANGED }
  od
}

/* _followers.TableFollower over platform._store.Store. */
active proctype reader() {
  byte got_era, got_version, got_moment;
  bool got_drains, is_lost;

end:
  do
  :: atomic {
       is_lost = (known_version[0] < oldest || known_version[0] > version);
#ifndef NO_ERA
       is_lost = is_lost || known_era[0] != era;
#endif
       if
       :: !is_lost ->
          /* The changes since the known version, as of now. */
          if
          :: version > known_version[0] ->
             has_change = true;
             change_after = known_version[0];
             change_version = version;
             change_drains = (drains && drained_at > known_version[0]);
             if
             :: change_drains -> take_row(0, true)
             :: else
             fi;
             known_version[0] = version
          :: else
          fi;
          known_era[0] = era;
          proof[0] = moment
       :: else ->
          /* A whole read of the present era, maybe from before later changes. */
          got_era = era; got_moment = moment;
          if
          :: got_version = version; got_drains = drains
          :: version > oldest || drained_at == version ->
             got_version = version - 1;
             got_drains = (drains && drained_at < version)
          fi
       fi
     }
     if
     :: is_lost ->
        atomic {
          if
#ifndef NO_CONFIRM
          :: era != got_era || got_version < oldest || got_version > version -> skip
#endif
          :: else ->
#ifndef NO_CONFIRM
             got_moment = moment;
             if
             :: drains && drained_at > got_version -> got_drains = true
             :: else
             fi;
             got_version = version;
#endif
             has_change = false;
             take_row(0, got_drains);
#ifdef KEEP_VERSION
             if
             :: got_version > known_version[0] -> known_version[0] = got_version
             :: else
             fi;
#else
             known_version[0] = got_version;
#endif
             known_era[0] = got_era;
             proof[0] = got_moment
          fi
        }
     :: else
     fi
  od
}

/* table_cache.TableCache.updates, and the follower that asks. */
active proctype follower() {
  bool is_whole;

end:
  do
  :: atomic {
       proof[0] > proof[1] || known_version[0] > known_version[1] ->
       is_whole = (known_version[1] > known_version[0]);
#ifndef NO_ERA
       is_whole = is_whole || known_era[1] != known_era[0];
#endif
       if
       :: is_whole -> take_row(1, row_drains[0])
       :: !is_whole && known_version[1] == known_version[0] -> skip
       :: !is_whole && known_version[1] < known_version[0] ->
          if
          :: has_change && change_after <= known_version[1] ->
             if
             :: change_drains -> take_row(1, true)
             :: else
             fi
          :: else -> take_row(1, row_drains[0])
          fi
       fi;
       known_version[1] = known_version[0];
       known_era[1] = known_era[0];
       proof[1] = proof[0]
     }
  od
}

active proctype check() {
end:
  do
  :: atomic {
       assert(!was_draining[proof[0]] || row_drains[0]);
       assert(!was_draining[proof[1]] || row_drains[1]);
       assert(!ever_drained[0] || row_drains[0]);
       assert(!ever_drained[1] || row_drains[1])
     }
  od
}
