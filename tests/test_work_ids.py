# SPDX-License-Identifier: MIT
"""Which requests are the same piece of work."""

from __future__ import annotations

import pytest

from violethatch.work_ids import caller_prefix, work_id


SAMPLE = {
    "caller": "clinic",
    "method": "POST",
    "host": "menu.example",
    "target": "/draft/1?day=2",
    "body": b"a menu",
}


class TestWorkId:
    def test_same_request_is_the_same_work(self):
        """Nothing else than its parts counts, and nothing of them is shown."""
        assert work_id(**SAMPLE) == work_id(**SAMPLE)
        assert len(work_id(**SAMPLE)) == 32

    @pytest.mark.parametrize(
        ("part", "other"),
        [
            ("caller", "depot"),
            ("caller", None),
            ("method", "PUT"),
            ("host", "other.example"),
            ("target", "/draft/1?day=3"),
            ("body", b"a menu "),
        ],
    )
    def test_each_part_counts(self, part, other):
        """Another caller's same request is other work."""
        assert work_id(**SAMPLE | {part: other}) != work_id(**SAMPLE)

    def test_parts_do_not_run_together(self):
        """What ends one part and begins the next is told apart."""
        one = work_id(**SAMPLE | {"host": "ab", "target": "c"})
        assert one != work_id(**SAMPLE | {"host": "a", "target": "bc"})

    def test_callers_are_told_apart_by_the_first_part(self):
        """What is kept can be counted for each caller."""
        other = work_id(**SAMPLE | {"body": b""})
        assert caller_prefix(other) == caller_prefix(work_id(**SAMPLE))
        assert caller_prefix(work_id(**SAMPLE | {"caller": "d"})) != caller_prefix(
            other
        )
