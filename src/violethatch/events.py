# SPDX-License-Identifier: MIT
"""Numbered log events, written through eliot.

The catalogue in ``docs/events.md`` is held against this module by a test.
Fields whose name suggests a secret are never written.

.. versionadded:: 26.1.0
"""

from __future__ import annotations

from typing import NamedTuple

import eliot


class Event(NamedTuple):
    """One kind of log event."""

    number: int
    name: str
    summary: str


STARTED = Event(2001, "started", "The process listens on all its addresses.")
DRAINING = Event(2002, "draining", "The instance takes no new requests.")
STOPPED = Event(2003, "stopped", "The process ends.")
STATE_DUMPED = Event(2004, "state_dumped", "The state was dumped on a signal.")
TASK_FAILED = Event(2005, "task_failed", "A background task met an error; it goes on.")
START_STEP = Event(2011, "start_step", "The process has reached a step of its start.")
ADDRESS_TAKEN = Event(2012, "address_taken", "An address can't be listened on yet.")
RELOADED = Event(2006, "reloaded", "Changed settings are in force.")
RELOAD_REFUSED = Event(2007, "reload_refused", "Changed settings are not valid.")
CALLERS_FULL = Event(2008, "callers_full", "No more callers' connections are taken.")
CALLERS_TAKEN = Event(2009, "callers_taken", "Callers' connections are taken again.")
LOOP_PAUSED = Event(2010, "loop_paused", "The event loop stood still.")

RUNNER_FOUND = Event(2101, "runner_found", "A runner's connection is up.")
RUNNER_LOST = Event(2102, "runner_lost", "A runner's connection broke.")
RUNNER_STALLED = Event(2103, "runner_stalled", "A step took longer than its limit.")
RUNNER_LEAVING = Event(2104, "runner_leaving", "A runner gets no new work.")

STAGE_REPLACED = Event(2201, "stage_replaced", "A stage was replaced in place.")
ROUTE_REBUILT = Event(2202, "route_rebuilt", "A request went on over a new route.")
STAGE_MOVED = Event(2204, "stage_moved", "A stage left with its KV cache.")
REQUEST_FAILED = Event(2203, "request_failed", "A request got an error.")

CLAIM_UNSETTLED = Event(2301, "claim_unsettled", "A claim's write went unanswered.")
OUTCOME_UNRECORDED = Event(2302, "outcome_unrecorded", "An outcome waits to be stored.")

SERVER_FOUND = Event(2105, "server_found", "A backend server is listed.")
SERVER_GONE = Event(2106, "server_gone", "A backend server is no longer listed.")
SERVER_TROUBLE = Event(2107, "server_trouble", "A server is left alone for a while.")
SERVER_REFUSED = Event(2108, "server_refused", "A server has not run a request.")
SIGHTING_HEARD = Event(2109, "sighting_heard", "Another instance had trouble with it.")
DATAGRAM_LOST = Event(2110, "datagram_lost", "A datagram between instances is lost.")
SERVER_PACE = Event(2113, "server_pace", "A server says it is slow, or quick again.")
SERVERS_BACK = Event(2112, "servers_back", "Servers that were silent answer again.")
SERVER_ENDED = Event(2114, "server_ended", "A server ended that had a request.")
SERVER_UNKNOWN = Event(2115, "server_unknown", "Whether a server ended is not known.")
END_HEARD = Event(2116, "end_heard", "Another instance saw a server's end.")
END_UNTOLD = Event(2117, "end_untold", "Too many ends wait to be told.")
SERVER_RESTARTED = Event(2118, "server_restarted", "A server is a new start of its id.")
SERVER_WORD = Event(2119, "server_word", "A server says something of itself.")
SEND_KEPT_BACK = Event(2120, "send_kept_back", "A send was not written to a server.")
SERVERS_REST = Event(
    2121, "servers_rest", "Servers rest or leave, where a request is refused."
)
WORD_UNKNOWN = Event(2122, "word_unknown", "Answers bear a word that nothing reads.")
SERVER_LIMIT = Event(2123, "server_limit", "A server's limit for all has changed.")
KEEPER_SILENT = Event(2124, "keeper_silent", "Who keeps a limit gives no answer.")
LINKS_LOST = Event(2125, "links_lost", "No server of a service can be reached.")
LINKS_BACK = Event(2126, "links_back", "A server of such a service answers again.")
PEER_LINKS_CHANGED = Event(
    2129, "peer_links_changed", "Other instances have lost links, or have them back."
)
LINKS_SOUND = Event(2127, "links_sound", "Others answer where one server is silent.")
ENTRY_FAULTY = Event(
    2128, "entry_faulty", "A listed server can't be one of its service; it is not used."
)
LOAD_NEIGHBOURS = Event(2111, "load_neighbours", "Loads are told to other instances.")

REQUEST_SERVED = Event(2205, "request_served", "A request got its answer.")
REQUEST_REFUSED = Event(2206, "request_refused", "A request was refused unrun.")
REQUEST_MOVED = Event(2207, "request_moved", "A request was put on another path.")
SILENCE_SEEN = Event(2208, "silence_seen", "A silent stream was looked into.")
RUN_GIVEN_UP = Event(2209, "run_given_up", "A silent run was given up on.")
RUN_SILENT = Event(2230, "run_silent", "A silent run is kept; another may begin.")
STREAM_CUT = Event(2210, "stream_cut", "A stream could not be finished.")
ANSWER_FAILED = Event(2211, "answer_failed", "A server answered with a failure.")
RETRIES_SPENT = Event(2212, "retries_spent", "The retry budget is used up.")
RETRIES_GIVEN = Event(2215, "retries_given", "Another instance gave retries.")
CALLER_LEFT = Event(2213, "caller_left", "The caller went away before the end.")
ANSWER_CUT = Event(2228, "answer_cut", "This instance ended an answer before its end.")
ANSWER_ABORTED = Event(
    2242, "answer_aborted", "An answer that was passed on as it came broke off."
)
SENDER_LEFT = Event(
    2229, "sender_left", "The instance that forwarded a request ended its connection."
)
HEAD_LATE = Event(2214, "head_late", "A caller's request head did not come in time.")

WORK_HELD = Event(2216, "work_held", "A request is held back: servers end under it.")
TRAIT_CLEARED = Event(2217, "trait_cleared", "An answer shows that a suspect is sound.")
HOLD_UNWRITTEN = Event(2218, "hold_unwritten", "A hold could not be stored yet.")
HOLD_READ = Event(2219, "hold_read", "A hold was read from the store.")
TRIAL_BEGUN = Event(
    2231, "trial_begun", "A request with a held part is let through to try it."
)
PROBE_AWAITED = Event(
    2232, "probe_awaited", "A request waited for another one with its prompt's part."
)

ADMISSION_CHANGED = Event(
    2220, "admission_changed", "What is admitted of each priority has changed."
)
START_DELAYED = Event(2221, "start_delayed", "A stream waited for a path with room.")
START_REFUSED = Event(2222, "start_refused", "A stream was not admitted.")
START_RESERVED = Event(
    2223, "start_reserved", "A start is reserved for a refused call."
)
START_CLAIMED = Event(2224, "start_claimed", "A refused call came back.")

REQUEST_FORWARDED = Event(
    2225, "request_forwarded", "A request goes on through another instance."
)
FORWARD_REFUSED = Event(
    2226, "forward_refused", "An instance did not serve a forwarded request."
)
FORWARD_LOST = Event(
    2227, "forward_lost", "The answer to a forwarded request was lost."
)
FORWARD_TAKEN = Event(2241, "forward_taken", "An instance serves a forwarded request.")
FORWARD_SILENT = Event(
    2240, "forward_silent", "An instance says nothing of a forwarded request."
)
FORWARD_UNSERVED = Event(
    2243, "forward_unserved", "No other instance serves a request."
)

REVISION_APPLIED = Event(2401, "revision_applied", "A configuration is in force.")
REVISION_ACCEPTED = Event(2402, "revision_accepted", "A confirmed plan was stored.")
TABLE_REPAIRED = Event(2403, "table_repaired", "An older table got the revision back.")
REVISION_FORKED = Event(2404, "revision_forked", "One revision, two contents.")
TABLE_UNREACHABLE = Event(2405, "table_unreachable", "The table can't be read.")
TABLE_REACHABLE = Event(2406, "table_reachable", "The table answers again.")
HISTORY_GONE = Event(2407, "history_gone", "The table's changes must be read anew.")
STATE_REFUSED = Event(2408, "state_refused", "A row can't be understood.")
SOURCE_CHANGED = Event(2409, "source_changed", "A table's news comes from elsewhere.")
HELPER_SILENT = Event(2410, "helper_silent", "An instance had no newer proof.")
INSTANCES_KNOWN = Event(2411, "instances_known", "The list of instances has changed.")
STORE_RESTORED = Event(2413, "store_restored", "The store was restored from a copy.")
STORE_ERA_OLD = Event(2414, "store_era_old", "An answer has an older era of the store.")
TABLE_READ = Event(2415, "table_read", "A whole table was read.")
ENTRY_LOST = Event(2416, "entry_lost", "The store has lost the own entry.")
READ_REPEATED = Event(2417, "read_repeated", "A lost read was sent once more.")
ENTRY_UNWRITTEN = Event(2412, "entry_unwritten", "The own entry may not be written.")

PEER_FOUND = Event(2501, "peer_found", "A peer answers heartbeats.")
PEER_LOST = Event(2502, "peer_lost", "A peer missed its heartbeats.")
PEER_REFUSED = Event(2503, "peer_refused", "A peer failed to authenticate.")

LEASE_WON = Event(2601, "lease_won", "The instance holds a job's lease.")
LEASE_LOST = Event(2602, "lease_lost", "The instance no longer holds the lease.")
ORDER_DONE = Event(2603, "order_done", "A runner carried out a fenced order.")
ORDER_REFUSED = Event(2604, "order_refused", "A runner refused a fenced order.")
ORDER_WITHHELD = Event(
    2606, "order_withheld", "A runner is not as it is listed, or can't be asked."
)
LEASE_UNREACHABLE = Event(2605, "lease_unreachable", "A lease's row can't be told.")

ALL_EVENTS = tuple(value for value in list(globals().values()) if type(value) is Event)

_SECRET_WORDS = ("key", "token", "secret", "authorization", "password")


def log(event: Event, **fields: object) -> None:
    """Write *event* with *fields*, leaving out those that may hold secrets.

    .. versionadded:: 26.1.0
    """
    safe = {name: value for name, value in fields.items() if not _is_secret(name)}
    eliot.log_message(
        message_type=f"violethatch:{event.name}", number=event.number, **safe
    )


def _is_secret(name: str) -> bool:
    """Tell whether a field's name suggests that its value is a secret."""
    return any(word in name.split("_") for word in _SECRET_WORDS)
