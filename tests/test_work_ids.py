# SPDX-License-Identifier: MIT
"""Ids of requests' work."""

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
    def test_same_request_has_same_id(self):
        """The id depends only on the request, and has a fixed length."""
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
    def test_each_input_changes_the_id(self, part, other):
        """A difference in any input, such as the caller, changes the id."""
        assert work_id(**SAMPLE | {part: other}) != work_id(**SAMPLE)

    def test_inputs_are_delimited(self):
        """Inputs whose concatenations are equal have different ids."""
        first = work_id(**SAMPLE | {"host": "ab", "target": "c"})
        assert first != work_id(**SAMPLE | {"host": "a", "target": "bc"})

    def test_prefix_identifies_the_caller(self):
        """The ids of a caller's works have a common prefix."""
        other = work_id(**SAMPLE | {"body": b""})
        assert caller_prefix(other) == caller_prefix(work_id(**SAMPLE))
        assert caller_prefix(work_id(**SAMPLE | {"caller": "d"})) != caller_prefix(
            other
        )
