# SPDX-License-Identifier: MIT
"""Adds up by cause what requests lost, from the routers' log lines.

    python3 bench/lost_worth.py LOG... [--from-s S] [--to-s S]

LOG is what processes wrote, with anything before a line's first brace.  Each
request counts once, under what its instance last said of it; the cause is the
first of its lines that names a trouble.  Times are those of the lines.

Below stands, for each second that had any, how many sends runners did not run for
want of room, and how many runners that were: many at few runners, while requests
are served in the same second, are a herd.
"""

from __future__ import annotations

import argparse
import collections
import pathlib
import sys

from collections.abc import Iterable
from typing import Any, NamedTuple

from violethatch.explaining import log_messages


class Outcome(NamedTuple):
    """How a request ended, and why not better."""

    end: str
    cause: str


def outcome_of(lines: list[dict[str, Any]]) -> Outcome | None:
    """Return how a request ended by its lines, in order; None if it has not."""
    end = None
    for line in lines:
        end = _end(line) or end
    return Outcome(end, _cause(lines)) if end is not None else None


def _name(line: dict[str, Any]) -> str:
    """Return a line's event."""
    return str(line.get("message_type", "")).removeprefix("violethatch:")


def _end(line: dict[str, Any]) -> str | None:
    """Return how a request ended by one of its lines, if the line tells."""
    name = _name(line)
    if name in ("request_refused", "request_failed"):
        return f"{name} {line.get('code')}"
    if name in ("caller_left", "stream_cut", "answer_cut"):
        return name
    if name != "request_served":
        return None
    if line.get("is_in_target", True):
        return "in target" if line.get("status") == 200 else f"status {line['status']}"
    first_s = line.get("first_event_s") or 0.0
    gap_s = line.get("longest_gap_s") or 0.0
    return "late, a gap" if gap_s >= first_s else "late, the first event"


def _cause(lines: list[dict[str, Any]]) -> str:
    """Return the first trouble that a request's lines tell of."""
    for line in lines:
        name = _name(line)
        if name == "silence_seen":
            return "silence, " + ("named" if line.get("waits_for") else "nobody named")
        if name == "server_trouble":
            return f"trouble {line.get('trouble')}: {str(line.get('reason'))[:40]}"
        if name == "server_refused":
            return f"refused by a server: {line.get('trouble')}"
        if name in ("retries_spent", "run_given_up", "answer_failed"):
            return name
        if name in ("request_refused", "request_failed"):
            return str(line.get("reason"))[:50]
    return "nothing told"


class Shed(NamedTuple):
    """What runners without room did not run in a second."""

    sends: int
    servers: int
    served: int


def sheds(lines: Iterable[dict[str, Any]]) -> dict[int, Shed]:
    """Return, by second, what runners without room did not run."""
    full = collections.defaultdict(list)
    served: collections.Counter[int] = collections.Counter()
    for line in lines:
        second = int(line["timestamp"])
        if _name(line) == "server_refused" and line.get("trouble") == "full":
            full[second].append(line["server_id"])
        served[second] += _name(line) == "request_served"
    return {
        second: Shed(len(ids), len(set(ids)), served[second])
        for second, ids in sorted(full.items())
    }


def main() -> int:
    """Print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("logs", nargs="+", type=pathlib.Path)
    parser.add_argument("--from-s", type=float, default=float("-inf"))
    parser.add_argument("--to-s", type=float, default=float("inf"))
    options = parser.parse_args()
    by_request = collections.defaultdict(list)
    for log in options.logs:
        for _, line in log_messages(str(log)):
            if "request_id" in line:
                by_request[line["request_id"]].append(line)
    counts: collections.Counter[Outcome] = collections.Counter()
    for lines in by_request.values():
        lines.sort(key=lambda line: line["timestamp"])
        outcome = outcome_of(lines)
        if outcome and options.from_s <= lines[0]["timestamp"] <= options.to_s:
            counts[outcome] += 1
    for outcome, count in counts.most_common():
        print(f"{count:6}  {outcome.end:28}  {outcome.cause}")
    lines = [line for each in by_request.values() for line in each]
    for second, shed in sheds(lines).items():
        if options.from_s <= second <= options.to_s:
            print(
                f"second {second}: {shed.sends} sends not run for want of room at "
                f"{shed.servers} servers; {shed.served} requests served"
            )
    return 0


if __name__ == "__main__":
    sys.exit(main())
