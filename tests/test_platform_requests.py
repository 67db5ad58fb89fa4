# SPDX-License-Identifier: MIT
"""What is read of callers' requests."""

from __future__ import annotations

import pytest

from violethatch.platform._requests import _shared_parts


class TestSharedParts:
    @pytest.mark.parametrize(
        ("lines", "parts"),
        [
            ((), ()),
            (("",), ()),
            (("5c1e07a2:800",), ()),
            (("5c1e07a2:800,91bd3f06:410,e4402b7d:250",), ("5c1e07a2", "91bd3f06")),
            (("5C1E07A2:800, 5c1e07a2:800,e4:1",), ("5c1e07a2",)),
            (("5c1e07a2,91bd3f06:x:y,e4:1",), ("5c1e07a2", "91bd3f06")),
            (("zz:1,:2,,e4:1,e5:1",), ("e4",)),
            ((f"{'a' * 65}:1,e4:1,e5:1",), ("e4",)),
            (("a1:1", "b2:1,c3:1"), ("a1", "b2")),
        ],
    )
    def test_last_part_is_the_requests_own(self, lines, parts):
        """The others count once each; what is no id is left out."""
        assert _shared_parts(lines) == parts

    def test_parts_without_number(self):
        """Only the first ones are read."""
        header = ",".join(f"{number:x}:1" for number in range(1_000))
        assert len(_shared_parts((header,))) == 64
