# SPDX-License-Identifier: MIT
"""What instances ask of the store and of each other when all take in a large state.

    python3 bench/intake_fanout.py [ROUTES]

Worked out, not played: whom each instance follows comes from the router's own choice,
sizes from a state of so many routes, and the times of the steps are constants measured
by `intake_costs.py`.  All instances wait for the change when it comes.
"""

from __future__ import annotations

import collections
import sys
import zlib

from collections.abc import Sequence

from _report import write_rows
from intake_costs import answer, row
from violethatch.instances import InstanceDirectory, InstanceEntry


#: Instances, zones, regions.
_SIZES = ((8, 3, 1), (72, 3, 1), (350, 7, 2))
_LINK_MBPS = 1000.0
_BITS_A_BYTE = 8
_BYTES_A_MB = 1e6
#: Seconds for 10,000 routes on a busy machine: the store's answer read, an answer to
#: followers packed, the same read, and the state taken in.
_READ_S, _PACK_S, _UNPACK_S, _TAKE_S = 0.04, 0.036, 0.015, 0.1


def entries(instances: int, zones: int, regions: int) -> list[InstanceEntry]:
    """Return the entries of instances that are spread over zones."""
    return [
        InstanceEntry(
            id=f"edge-{n}",
            availability_zone=f"z{n % zones}",
            address=f"10.0.{n // 250}.{n % 250}:1",
            token="",
            link_mbps=_LINK_MBPS,
            written_s=0.0,
            region=f"r{n % zones % regions}",
        )
        for n in range(instances)
    ]


def sources(listed: Sequence[InstanceEntry]) -> dict[str, str | None]:
    """Return whom each instance follows; None for those that read the store."""
    by_id = {one.id: one for one in listed}
    found = {}
    for own in listed:
        directory = InstanceDirectory(own)
        directory.take(by_id, is_whole=True)
        source = directory.source(now_s=0.0)
        found[own.id] = None if source is None else source.id
    return found


def transfer_s(size_bytes: float) -> float:
    """Return how long a link is taken up, in seconds."""
    return size_bytes * _BITS_A_BYTE / (_LINK_MBPS * 1e6)


def account(size: tuple[int, int, int], routes: int) -> dict[str, object]:
    """Return what a deployment's instances ask for, and until when it takes."""
    state = row(routes, 1)
    from_store, packed = len(answer(state, 1)), len(zlib.compress(state, 1))
    followed = sources(entries(*size))
    followers = collections.Counter(one for one in followed.values() if one)
    readers = [one for one, source in followed.items() if source is None]
    known_s: dict[str, float] = {}
    hops: dict[str, int] = {}
    # The store's link is shared by all who read it.
    read_s = transfer_s(from_store * len(readers)) + _READ_S
    waiting = list(readers)
    for one in readers:
        known_s[one], hops[one] = read_s, 0
    while waiting:
        source = waiting.pop()
        sent_s = _PACK_S + transfer_s(packed * followers[source]) + _UNPACK_S
        for one, its_source in followed.items():
            if its_source == source:
                known_s[one] = known_s[source] + sent_s
                hops[one] = hops[source] + 1
                waiting.append(one)
    most = max(followers.values(), default=0)
    return {
        "instances": size[0],
        "zones": size[1],
        "read the store": len(readers),
        "from the store MB": round(from_store * len(readers) / _BYTES_A_MB, 1),
        "hops at most": max(hops.values()),
        "followers at most": most,
        "sent by one MB": round(packed * most / _BYTES_A_MB, 1),
        "reached": len(known_s),
        "in force after s": round(max(known_s.values()) + _TAKE_S, 2),
    }


def main(arguments: Sequence[str]) -> int:
    """Print the account of some deployments."""
    routes = int(arguments[0]) if arguments else 10_000
    write_rows("intake_fanout", [account(size, routes) for size in _SIZES])
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
