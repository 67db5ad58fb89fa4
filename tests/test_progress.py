# SPDX-License-Identifier: MIT
"""What an instance's own streams show of runners."""

from __future__ import annotations

import pytest

from violethatch.silence_detection import SilenceDetector


def progress(*, streams, gap_s=0.06):
    """Return what streams over a and b show, with events every *gap_s* until 10 s."""
    made = SilenceDetector(max_silence_s=0.4)
    for _ in range(streams):
        made.stream_started({"a", "b"}, now_s=0.0)
    for n in range(500):
        made.stream_continued({"a", "b"}, gap_s=gap_s, now_s=10.0 - (500 - n) * 0.001)
    made.stream_continued({"a", "b"}, gap_s=gap_s, now_s=10.0)
    return made


def silence_s(made, server_id="a"):
    """Return after what silence a runner is told, to 5 ms."""
    return next(
        n * 0.005
        for n in range(200)
        if made.silent_runners([server_id], now_s=10.0 + n * 0.005)
    )


class TestProgress:
    def test_usual_gap_is_learnt(self):
        """It follows what streams show."""
        assert progress(streams=1).mean_gap_s == pytest.approx(0.06, rel=0.01)

    def test_one_stream_tells_late(self):
        """Of one stream one event and a half have to be missing."""
        assert silence_s(progress(streams=1)) == pytest.approx(0.09, abs=0.006)

    def test_many_streams_tell_soon(self):
        """The more pass through a runner, the sooner its silence tells."""
        assert silence_s(progress(streams=2)) < silence_s(progress(streams=1))

    def test_pauses_of_all_are_no_silence(self):
        """However many streams: prompts hold all of them up now and then."""
        assert silence_s(progress(streams=90)) == pytest.approx(0.08, abs=0.006)

    def test_silence_has_a_bound(self):
        """Whatever was usual, a runner that shows nothing is looked at."""
        assert silence_s(progress(streams=1, gap_s=3.0)) <= 0.4

    def test_another_stream_clears(self):
        """A runner that works for one stream works."""
        made = progress(streams=3)
        made.stream_started({"b"}, now_s=10.2)
        assert made.silent_runners(["a", "b"], now_s=10.25) == ["a"]

    def test_streams_that_have_ended_miss_nothing(self):
        """Only those that still pass through a runner count."""
        made = progress(streams=9)
        for _ in range(8):
            made.stream_ended({"a", "b"})
        assert silence_s(made) == pytest.approx(0.09, abs=0.006)

    def test_unseen_runners(self):
        """Before its first event a stream asks who has shown nothing meanwhile."""
        made = progress(streams=1)
        assert made.not_seen_since(["a", "c"], since_s=9.9) == ["c"]
        made.forget("a")
        assert made.not_seen_since(["a", "c"], since_s=9.9) == ["a", "c"]
