# SPDX-License-Identifier: MIT
"""Turns for processes that start at the same moment on the same processors.

Load pattern: after a loss of power dozens of instances start together on a few shared
processors, and each needs most of a second of processor time before it can answer.
Sharing the processors evenly, all of them are ready as late as the last one could be.
One after another, the first answers at once.

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

from collections.abc import Sequence
from typing import NamedTuple

from .processor_use import BusyMeter, ProcessorUse


__all__ = ["MAX_WAIT_S", "STALL_S", "StartSlot", "TurnWait"]

#: How long to wait while no slot changes hands, in seconds: a holder may be frozen.
STALL_S = 3.0
#: Slots beyond the processors', one for each stall: turns go on beside frozen holders.
_SPARE_SLOTS = 1
#: How long to wait while no slot changes hands, until a process starts without one.
MAX_WAIT_S = STALL_S * (1 + _SPARE_SLOTS)
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
        slots: How many slots there were for all when its turn came.
        processors_busy: The use of the processors while it waited, from 0 to 1; None
            if that is not known.
    """

    has_slot: bool
    slots: int
    processors_busy: float | None


class StartSlot:
    """One process's turn to start.

    Args:
        host: The loopback address of the slots; one for the user and the processors if
            omitted.
        count: How many processes start at once; one a processor if omitted.
        meter: Measures the use of the processors; by the kernel's counters if omitted.
    """

    def __init__(
        self,
        *,
        host: str | None = None,
        count: int | None = None,
        meter: BusyMeter | None = None,
    ) -> None:
        self._host = host or _shared_host()
        self._count = count or len(os.sched_getaffinity(0))
        self._meter = meter or ProcessorUse()
        self._held: socket.socket | None = None

    def acquire(self) -> TurnWait:
        """Wait for a slot; return how that went.

        Where there is no such address, or no slot changes hands for a while, the
        process starts without one.
        """
        endpoints = [
            (self._host, _FIRST_PORT + number)
            for number in range(self._count + _SPARE_SLOTS)
        ]
        waiter = _Waiter()
        slots = self._count
        try:
            for slots in range(self._count, len(endpoints) + 1):
                self._held = waiter.acquire(endpoints[:slots])
                if self._held is not None:
                    break
        except OSError:
            pass  # sockets can't be had here
        finally:
            waiter.close()
        return TurnWait(self._held is not None, slots, self._meter.busy_fraction())

    def release(self) -> None:
        """Let the next process start."""
        if self._held is not None:
            self._held.close()
            self._held = None


class _Waiter:
    """Waits for slots by connections to their holders, which are reset on release."""

    def __init__(self) -> None:
        self._connections: dict[_Endpoint, socket.socket] = {}

    def acquire(self, endpoints: Sequence[_Endpoint]) -> socket.socket | None:
        """Return the first free slot; None if none changes hands for a while.

        Raises:
            OSError: Sockets can't be had, or the address is not on this machine.
        """
        changed_s = time.monotonic()
        while time.monotonic() - changed_s < STALL_S:
            for endpoint in endpoints:
                if endpoint in self._connections:
                    continue
                slot = _bind(endpoint)
                if slot is not None:
                    return slot
                self._connections[endpoint] = _connect(endpoint)
            if self._await_release(changed_s + STALL_S - time.monotonic()):
                changed_s = time.monotonic()
        return None

    def _await_release(self, limit_s: float) -> bool:
        """Wait for a release; forget the connections that have ended.

        Args:
            limit_s: How long to wait, in seconds.

        Returns:
            Whether a slot was released.
        """
        poll = select.poll()
        endpoints = {}
        for endpoint, connection in self._connections.items():
            poll.register(connection, 0)  # errors and hang-ups are always reported
            endpoints[connection.fileno()] = endpoint
        is_released = False
        for file, _ in poll.poll(max(0.0, limit_s) * 1000):
            connection = self._connections.pop(endpoints[file])
            error = connection.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            is_released |= error != errno.ECONNREFUSED
            connection.close()
        if not is_released:
            time.sleep(_RETRY_S)  # its holder does not listen yet, or never will
        return is_released

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
