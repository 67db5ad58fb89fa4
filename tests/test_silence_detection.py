# SPDX-License-Identifier: MIT
"""Detection of silent runners from an instance's own streams."""

from __future__ import annotations

import pytest

from violethatch.silence_detection import SilenceDetector


def make_detector(*, streams, gap_s=0.06):
    """Return a detector for runners a and b, with an event every *gap_s* until 10 s."""
    detector = SilenceDetector(max_silence_s=0.4)
    for _ in range(streams):
        detector.stream_started({"a", "b"}, now_s=0.0)
    for n in range(500):
        detector.stream_continued(
            {"a", "b"}, gap_s=gap_s, now_s=10.0 - (500 - n) * 0.001
        )
    detector.stream_continued({"a", "b"}, gap_s=gap_s, now_s=10.0)
    return detector


def detected_after_s(detector, server_id="a"):
    """Return after which silence a runner is detected, to 5 ms."""
    return next(
        n * 0.005
        for n in range(200)
        if detector.silent_runners([server_id], now_s=10.0 + n * 0.005)
    )


class TestSilenceDetector:
    def test_mean_gap_follows_observations(self):
        """The mean gap follows the observed gaps."""
        assert make_detector(streams=1).mean_gap_s == pytest.approx(0.06, rel=0.01)

    def test_one_stream_is_slow_to_detect(self):
        """One stream has to miss one and a half events."""
        assert detected_after_s(make_detector(streams=1)) == pytest.approx(
            0.09, abs=0.006
        )

    def test_many_streams_detect_sooner(self):
        """The more streams use a runner, the sooner its silence is detected."""
        assert detected_after_s(make_detector(streams=2)) < detected_after_s(
            make_detector(streams=1)
        )

    def test_pauses_of_all_streams_are_not_silence(self):
        """Prefill delays all streams now and then, whatever their number."""
        assert detected_after_s(make_detector(streams=90)) == pytest.approx(
            0.08, abs=0.006
        )

    def test_silence_has_an_upper_bound(self):
        """The maximum silence applies whatever the mean gap is."""
        assert detected_after_s(make_detector(streams=1, gap_s=3.0)) <= 0.4

    def test_event_of_another_stream_counts(self):
        """An event of one stream shows that its runners work for all."""
        detector = make_detector(streams=3)
        detector.stream_started({"b"}, now_s=10.2)
        assert detector.silent_runners(["a", "b"], now_s=10.25) == ["a"]

    def test_finished_streams_do_not_count(self):
        """Only streams that still use a runner count."""
        detector = make_detector(streams=9)
        for _ in range(8):
            detector.stream_ended({"a", "b"})
        assert detected_after_s(detector) == pytest.approx(0.09, abs=0.006)

    def test_runners_without_events(self):
        """Before its first event a stream looks for runners without recent events."""
        detector = make_detector(streams=1)
        assert detector.not_seen_since(["a", "c"], since_s=9.9) == ["c"]
        detector.forget("a")
        assert detector.not_seen_since(["a", "c"], since_s=9.9) == ["a", "c"]
