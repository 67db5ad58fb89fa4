# SPDX-License-Identifier: MIT
"""Turns for processes that start at the same moment on the same processors.

Load pattern: after a loss of power dozens of instances start together on a few shared
processors, and each needs most of a second of processor time before it can answer.
Sharing the processors evenly, all of them are ready as late as the last one could be.
One after another, the first answers at once.  Processes that may use a share of a
processor each leave the rest of it idle: as many start at once as use all of it.

A slot is a listening socket on a loopback address.  The kernel closes it when its
holder ends, which resets the connections of those that wait for it.  Processes of one
user on the same processors share slots, whatever their temporary folders and settings.

.. versionadded:: 26.5.0
"""

from __future__ import annotations

import errno
import os
import select
import socket
import time
import zlib

from typing import NamedTuple

from .processor_use import BusyMeter, ProcessorUse


__all__ = ["MAX_WAIT_S", "STALL_S", "StartSlot", "TurnWait", "slot_count"]

#: After each such time of waiting there are twice as many spare slots, in seconds:
#: holders may be frozen, or slow.
STALL_S = 3.0
#: How long a process waits at the most, in seconds.
MAX_WAIT_S = 8 * STALL_S
#: How many times the processes that use the processors up may start at once, where each
#: has a share of a processor only.
_OVERSUBSCRIPTION = 1.5
#: How often a waiting process looks for spare slots, in seconds.
_CHECK_S = 0.2
#: The most slots by shares; spare ones come beside.
_MAX_SLOTS = 512
#: The pause before a slot is tried again whose holder refuses connections, in seconds.
_RETRY_S = 0.01
#: The port of the first slot; outside the range that the kernel gives to callers.
_FIRST_PORT = 7301
#: How many processes may wait for a slot; more are woken by their own retransmissions.
_BACKLOG = 1024

_Endpoint = tuple[str, int]


class TurnWait(NamedTuple):
    """How a process got its turn.

    Attributes:
        has_slot: Whether it held a slot; it started without one otherwise.
        slots: How many slots there were for it when its turn came.
        processors_busy: The use of the processors by all during the wait, from 0 to 1;
            None if that is not known.
    """

    has_slot: bool
    slots: int
    processors_busy: float | None


def slot_count(*, processors: int, share: float) -> int:
    """Return how many processes may start at once.

    With a share of a processor each, so many use the processors up, and some more keep
    them in use until the last ones are ready.

    Args:
        processors: The processors that they share.
        share: The part of a processor that each may use at the most.

    .. versionadded:: 26.9.0
    """
    if share >= 1.0:
        return processors
    return max(processors, min(int(_OVERSUBSCRIPTION * processors / share), _MAX_SLOTS))


class StartSlot:
    """One process's turn to start.

    Args:
        host: The loopback address of the slots; one for the user and the processors if
            omitted.
        count: How many processes start at once; as many as use the processors up if
            omitted.
        share: The part of a processor that each may use at the most.
        meter: Measures the use of the processors; by the kernel's counters if omitted.
    """

    def __init__(
        self,
        *,
        host: str | None = None,
        count: int | None = None,
        share: float = 1.0,
        meter: BusyMeter | None = None,
    ) -> None:
        self._host = host or _shared_host()
        processors = len(os.sched_getaffinity(0))
        self._count = count or slot_count(processors=processors, share=share)
        self._meter = meter or ProcessorUse()
        self._held: socket.socket | None = None

    def acquire(self) -> TurnWait:
        """Wait for a slot; return how that went.

        Where there is no such address, or none is free for a long time, the process
        starts without one.
        """
        waiter = _Waiter(self._host)
        slots = self._count
        began_s = time.monotonic()
        while (waited_s := time.monotonic() - began_s) < MAX_WAIT_S:
            slots = self._count + _spare_slots(waited_s)
            try:
                self._held = waiter.acquire(slots)
                if self._held is not None:
                    break
                waiter.await_release(_CHECK_S)
            except OSError:
                break  # sockets can't be had here
        waiter.close()
        return TurnWait(self._held is not None, slots, self._meter.busy_fraction())

    def release(self) -> None:
        """Let the next process start."""
        if self._held is not None:
            self._held.close()
            self._held = None


def _spare_slots(waited_s: float) -> int:
    """Return how many more slots there are for a process after some time."""
    return (1 << int(waited_s / STALL_S)) - 1


class _Waiter:
    """Waits for slots by connections to their holders, which are reset on release.

    Args:
        host: The address of the slots.
    """

    def __init__(self, host: str) -> None:
        self._host = host
        #: By the slot's port.
        self._connections: dict[int, socket.socket] = {}

    def acquire(self, slots: int) -> socket.socket | None:
        """Return the first free slot, or None if all are held.

        Args:
            slots: How many there are.

        Raises:
            OSError: Sockets can't be had, or the address is not on this machine.
        """
        for port in range(_FIRST_PORT, _FIRST_PORT + slots):
            if port in self._connections:
                continue
            slot = _bind((self._host, port))
            if slot is not None:
                return slot
            self._connections[port] = _connect((self._host, port))
        return None

    def await_release(self, limit_s: float) -> None:
        """Wait for the release of a slot; forget the connections that have ended.

        Args:
            limit_s: How long to wait, in seconds.
        """
        poll = select.poll()
        ports = {}
        for port, connection in self._connections.items():
            poll.register(connection, 0)  # errors and hang-ups are always reported
            ports[connection.fileno()] = port
        ended = poll.poll(limit_s * 1000)
        is_released = False
        for file, _ in ended:
            connection = self._connections.pop(ports[file])
            error = connection.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            is_released |= error != errno.ECONNREFUSED
            connection.close()
        if ended and not is_released:
            time.sleep(_RETRY_S)  # its holder does not listen yet, or never will

    def close(self) -> None:
        """Close all connections."""
        for connection in self._connections.values():
            connection.close()
        self._connections.clear()


def _bind(endpoint: _Endpoint) -> socket.socket | None:
    """Return a slot, or None while another process holds it.

    Raises:
        OSError: The address is not on this machine, or sockets can't be had.
    """
    slot = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        slot.bind(endpoint)
        slot.listen(_BACKLOG)
    except OSError as error:
        slot.close()
        if error.errno == errno.EADDRINUSE:
            return None
        raise
    return slot


def _connect(endpoint: _Endpoint) -> socket.socket:
    """Return a connection to a slot's holder.

    Raises:
        OSError: Sockets can't be had.
    """
    connection = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    connection.setblocking(False)
    connection.connect_ex(endpoint)  # refusals are reported by the poll
    return connection


def _shared_host() -> str:
    """Return the loopback address of this user's processes on these processors."""
    shared = repr((os.getuid(), sorted(os.sched_getaffinity(0)))).encode()
    number = zlib.crc32(shared)
    return f"127.{64 + (number >> 16) % 64}.{(number >> 8) % 256}.{1 + number % 254}"
