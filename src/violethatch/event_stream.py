# SPDX-License-Identifier: MIT
"""Event streams: whole events only, each id once, in rising order.

.. versionadded:: 26.1.0
"""

from __future__ import annotations

from collections.abc import AsyncIterator
from typing import NamedTuple


_END = b"\n\n"
_ID = b"id:"
#: The longest event; the pages' events are below 1 KB, in bytes.
MAX_EVENT_BYTES = 262_144


class SpoiltStreamError(Exception):
    """A stream's bytes are not events in rising order."""


class StreamEvent(NamedTuple):
    """One event as it was sent, with its id if it has one."""

    id: int | None
    data: bytes


class EventSplitter:
    """Cuts the bytes of one run into whole events.

    .. versionadded:: 26.1.0
    """

    def __init__(self) -> None:
        self._rest = b""

    @property
    def has_rest(self) -> bool:
        """Whether a part of an event has come, but not its end."""
        return bool(self._rest.strip())

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Take bytes in; return the events that they complete.

        Raises:
            SpoiltStreamError: An event is too long or its id is no number.
        """
        *whole, self._rest = (self._rest + data).split(_END)
        if len(self._rest) > MAX_EVENT_BYTES:
            msg = "an event is too long"
            raise SpoiltStreamError(msg)
        return [StreamEvent(_event_id(event), event + _END) for event in whole]


def _event_id(event: bytes) -> int | None:
    """Return an event's id.

    Raises:
        SpoiltStreamError: It is no whole number.
    """
    for line in event.split(b"\n"):
        if line.startswith(_ID):
            try:
                return int(line[len(_ID) :])
            except ValueError as error:
                msg = "an event's id is no number"
                raise SpoiltStreamError(msg) from error
    return None


class StreamProgress:
    """How far a caller's stream has come, over all of its runs.

    Args:
        last_id: The id that the caller has already, if it resumes a stream.

    .. versionadded:: 26.1.0
    """

    def __init__(self, *, last_id: int | None = None) -> None:
        self.last_id = last_id

    def begin_run(self) -> RunProgress:
        """Return what one run's events go through.

        .. versionadded:: 26.7.0
        """
        return RunProgress(self)


class RunProgress:
    """The events of one run, which may repeat what the caller has.

    Args:
        stream: How far the stream has come.

    .. versionadded:: 26.7.0
    """

    def __init__(self, stream: StreamProgress) -> None:
        self._stream = stream
        self._is_repeating = stream.last_id is not None

    def take(self, event: StreamEvent) -> bool:
        """Tell whether the caller gets an event; events it has are left out.

        Raises:
            SpoiltStreamError: An event before this one is missing.
        """
        if event.id is None:
            # It can't be told whether the caller has it: runs begin anew with
            # such events, and they carry nothing of the answer.
            return not self._is_repeating
        last_id = self._stream.last_id
        if last_id is not None:
            if event.id <= last_id:
                return False
            if event.id != last_id + 1:
                msg = f"event {event.id} follows event {last_id}"
                raise SpoiltStreamError(msg)
        self._stream.last_id = event.id
        self._is_repeating = False
        return True


class KnownEventFilter:
    """Leaves out events that a caller has, where a server begins its stream anew.

    What is no stream of numbered events is passed on as it is.

    Args:
        last_id: The id of the last event that the caller has.

    .. versionadded:: 26.8.0
    """

    def __init__(self, *, last_id: int) -> None:
        self._last_id = last_id
        #: What was not passed on yet: events without an id, then a part of an event.
        self._pending = b""
        #: The end of the whole events in it.
        self._checked = 0
        self._is_passed = False

    def feed(self, data: bytes) -> bytes:
        """Take bytes in; return those to be passed on."""
        if self._is_passed:
            return data
        self._pending += data
        while not self._is_passed:
            end = self._pending.find(_END, self._checked)
            if end < 0:
                self._is_passed = len(self._pending) > MAX_EVENT_BYTES
                break
            self._take(end + len(_END))
        return self.finish() if self._is_passed else b""

    def finish(self) -> bytes:
        """Return what was not passed on yet."""
        pending, self._pending = self._pending, b""
        return pending

    def _take(self, end: int) -> None:
        """Take the next whole event in, up to a position."""
        try:
            event_id = _event_id(self._pending[self._checked : end])
        except SpoiltStreamError:
            self._is_passed = True
            return
        if event_id is None:
            self._checked = end
        elif event_id <= self._last_id:
            self._pending = self._pending[end:]
            self._checked = 0
        else:
            self._is_passed = True


async def without_known_events(
    parts: AsyncIterator[bytes], *, last_id: int
) -> AsyncIterator[bytes]:
    """Return the parts of a stream without the events that a caller has.

    Args:
        parts: The stream as it comes.
        last_id: The id of the last event that the caller has.

    .. versionadded:: 26.8.0
    """
    known = KnownEventFilter(last_id=last_id)
    async for part in parts:
        wanted = known.feed(part)
        if wanted:
            yield wanted
    rest = known.finish()
    if rest:
        yield rest
