# SPDX-License-Identifier: MIT
"""Event streams: whole events, each once."""

from __future__ import annotations

import pytest

from hypothesis import given
from hypothesis import strategies as st

from violethatch.event_stream import (
    MAX_EVENT_BYTES,
    EventSplitter,
    SpoiltStreamError,
    StreamProgress,
)


def event(number):
    """Return an event's bytes; without a number, of one that has no id."""
    if number is None:
        return b": still here\n\n"
    return b"id: %d\ndata: token %d\n\n" % (number, number)


class TestEventSplitter:
    @given(st.lists(st.integers(1, 60), max_size=20))
    def test_any_cut_gives_the_same_events(self, cuts):
        """Events come whole, however their bytes were cut."""
        data = b"".join(event(n) for n in range(1, 6))
        splitter = EventSplitter()
        found = []
        for cut in cuts:
            found += splitter.feed(data[:cut])
            data = data[cut:]
        found += splitter.feed(data)
        assert [one.id for one in found] == [1, 2, 3, 4, 5]
        assert b"".join(one.data for one in found) == b"".join(map(event, range(1, 6)))
        assert not splitter.has_rest

    def test_part_of_an_event_is_kept_back(self):
        """An event that was cut off is not given."""
        splitter = EventSplitter()
        assert [one.id for one in splitter.feed(event(1) + b"id: 2\nda")] == [1]
        assert splitter.has_rest

    def test_event_without_end(self):
        """An event that never ends does not fill the memory."""
        with pytest.raises(SpoiltStreamError, match="too long"):
            EventSplitter().feed(b"x" * (MAX_EVENT_BYTES + 1))

    def test_id_that_is_no_number(self):
        """Bytes that are no event spoil the stream."""
        with pytest.raises(SpoiltStreamError, match="no number"):
            EventSplitter().feed(b"id: one\n\n")


def take(progress, *numbers):
    """Return which of one run's events the caller gets."""
    splitter = EventSplitter()
    events = splitter.feed(b"".join(event(n) for n in numbers))
    run = progress.begin_run()
    return [one.id for one in events if run.take(one)]


class TestStreamProgress:
    def test_resumed_run_may_overlap(self):
        """Events that the caller has are left out."""
        progress = StreamProgress()
        assert take(progress, 1, 2, 3) == [1, 2, 3]
        assert take(progress, 2, 3, 4) == [4]

    def test_gap_spoils_the_stream(self):
        """A missing event is never passed over."""
        progress = StreamProgress(last_id=3)
        with pytest.raises(SpoiltStreamError, match="follows"):
            take(progress, 5)

    def test_caller_that_resumes(self):
        """A stream goes on after what the caller says it has."""
        assert take(StreamProgress(last_id=12), 12, 13) == [13]

    def test_events_without_an_id_come_once(self):
        """A further run begins with events that the caller may have already."""
        progress = StreamProgress()
        assert take(progress, None, 1, None, 2) == [None, 1, None, 2]
        assert take(progress, None, 2, None, 3, None) == [3, None]
