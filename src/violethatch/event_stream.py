# SPDX-License-Identifier: MIT
"""Event streams: whole events only, each id once, in rising order.

.. versionadded:: 26.1.0
"""

from __future__ import annotations

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
