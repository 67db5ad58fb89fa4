# SPDX-License-Identifier: MIT
"""Event streams: whole events, each once."""

from __future__ import annotations

import itertools

import pytest

from hypothesis import given
from hypothesis import strategies as st

from violethatch.event_stream import (
    MAX_EVENT_BYTES,
    EventSplitter,
    KnownEventFilter,
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


class TestKnownEventFilter:
    def passed(self, data, *, last_id, cuts=()):
        """Return what is passed on of a stream that comes in parts."""
        known = KnownEventFilter(last_id=last_id)
        bounds = [0, *sorted(min(cut, len(data)) for cut in cuts), len(data)]
        parts = [data[a:b] for a, b in itertools.pairwise(bounds)]
        return b"".join(known.feed(part) for part in parts) + known.finish()

    @given(st.integers(0, 7), st.lists(st.integers(0, 140), max_size=9))
    def test_stream_that_begins_anew(self, last_id, cuts):
        """The caller gets each event once, however the bytes were cut."""
        data = b"".join(event(n) for n in (None, 1, 2, 3, 4, 5))
        wanted = b"".join(event(n) for n in range(last_id + 1, 6))
        if not last_id:
            wanted = data
        assert self.passed(data, last_id=last_id, cuts=cuts) == wanted

    @pytest.mark.parametrize(
        "data",
        [
            b"".join(event(n) for n in (None, 4, None, 5)),
            b"id: four\n\n" + event(1),
            b"no events at all",
            b"x" * (MAX_EVENT_BYTES + 1) + event(1),
            b"",
        ],
        ids=["resumed", "texts", "no events", "too long", "empty"],
    )
    def test_stream_that_is_passed_on_as_it_is(self, data):
        assert self.passed(data, last_id=3, cuts=(5, 20)) == data
