# SPDX-License-Identifier: MIT
"""Who is there: peers, and which of them has a job.

.. versionadded:: 26.1.0
"""

from __future__ import annotations

import hashlib

from collections.abc import Iterable, Mapping, Sequence


class PeerTable:
    """Peers of an availability zone, from the lagging list and heartbeats.

    The list only says whom to talk to.  A peer counts as live once it
    answered a heartbeat, and no longer once it has been silent for the limit.

    Args:
        silence_limit_s: How long a live peer may be silent, in seconds.

    .. versionadded:: 26.1.0
    """

    __slots__ = ("_heard_s", "silence_limit_s")

    def __init__(self, *, silence_limit_s: float) -> None:
        self.silence_limit_s = silence_limit_s
        self._heard_s: dict[str, float] = {}

    def heard(self, peer_id: str, *, now_s: float) -> bool:
        """Note a heartbeat; tell whether the peer is new."""
        is_new = peer_id not in self._heard_s
        self._heard_s[peer_id] = now_s
        return is_new

    def left(self, peer_id: str) -> bool:
        """Note that a peer is gone; tell whether it was known."""
        return self._heard_s.pop(peer_id, None) is not None

    def note_standstill(self, stood_s: float, *, now_s: float) -> None:
        """Count this process's own standstill as nobody's silence.

        Args:
            stood_s: How long it lasted, in seconds.
            now_s: The current monotonic time, in seconds.
        """
        for peer_id, heard_s in self._heard_s.items():
            self._heard_s[peer_id] = min(now_s, heard_s + stood_s)

    def expire(self, *, now_s: float) -> list[str]:
        """Drop the peers that have been silent too long; return them."""
        silent = [
            peer_id
            for peer_id, heard_s in self._heard_s.items()
            if now_s - heard_s > self.silence_limit_s
        ]
        for peer_id in silent:
            del self._heard_s[peer_id]
        return silent

    @property
    def live(self) -> list[str]:
        """The ids of the live peers, in order."""
        return sorted(self._heard_s)


class LeavingMarks:
    """Why runners get no new work.

    A runner's own refusal, its load report, the platform's list and an
    operator's word each mark it.  A mark of one source is lifted only by that
    source, so none of them alone puts a runner back.

    .. versionadded:: 26.1.0
    """

    __slots__ = ("_sources",)

    def __init__(self) -> None:
        self._sources: dict[str, set[str]] = {}

    def mark(self, runner_id: str, source: str) -> bool:
        """Mark a runner; tell whether it had no mark before."""
        sources = self._sources.setdefault(runner_id, set())
        was_unmarked = not sources
        sources.add(source)
        return was_unmarked

    def lift(self, runner_id: str, source: str) -> None:
        """Take back one source's mark."""
        sources = self._sources.get(runner_id)
        if sources is None:
            return
        sources.discard(source)
        if not sources:
            del self._sources[runner_id]

    def forget(self, runner_id: str) -> None:
        """Drop all marks: the runner is another process now."""
        self._sources.pop(runner_id, None)

    def __bool__(self) -> bool:
        return bool(self._sources)

    def is_leaving(self, runner_id: str) -> bool:
        """Tell whether any source has marked the runner."""
        return runner_id in self._sources

    def sources(self, runner_id: str) -> list[str]:
        """Return the sources of a runner's marks, in order."""
        return sorted(self._sources.get(runner_id, ()))


def watched_runners(
    zone_by_runner: Mapping[str, str],
    *,
    instance_id: str,
    availability_zone: str,
    remote_limit: int,
) -> set[str]:
    """Return the runners that an instance connects to.

    All of its own zone, and a few of others, so that it can still cover a
    model when its zone has lost a range of layers.  Each instance takes other
    ones, so that between them they watch most of all.

    Args:
        zone_by_runner: Where each listed runner is.
        instance_id: The instance.
        availability_zone: Where the instance is.
        remote_limit: The most runners of other zones.

    .. versionadded:: 26.1.0
    """
    own = {key for key, zone in zone_by_runner.items() if zone == availability_zone}
    remote = set(zone_by_runner) - own
    return own | set(rendezvous(instance_id, remote, count=remote_limit))


def rendezvous(job: str, members: Iterable[str], *, count: int = 1) -> Sequence[str]:
    """Return the members that have *job*, by highest random weight.

    Every process that knows the same members comes to the same answer, and a
    member's leaving moves only that member's jobs.

    Args:
        job: What is to be done.
        members: The ids of those who may do it.
        count: How many of them should.

    .. versionadded:: 26.1.0
    """

    def weight(member: str) -> bytes:
        return hashlib.blake2b(f"{job}\0{member}".encode(), digest_size=8).digest()

    return sorted(members, key=weight, reverse=True)[:count]
