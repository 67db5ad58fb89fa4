# SPDX-License-Identifier: MIT
"""Valid and invalid values of the limit header."""

from __future__ import annotations

import math

import pytest

from violethatch.limit_header import MAX_LIMIT_PER_S, parse_limit


@pytest.mark.parametrize(
    ("values", "per_s"),
    [
        (["2.4"], 2.4),
        (["50"], 50.0),
        ([" 0.01 "], 0.01),
        ([".5"], 0.5),
        (["0"], 0.0),
        (["4.9", "2.4"], 2.4),
        (["4.9, 2.4"], 2.4),
        (["2,4"], 2.0),
    ],
)
def test_valid_values(values, per_s):
    """The lowest of several values applies, in one header or in several."""
    parsed = parse_limit(values)
    assert (parsed.per_s, parsed.invalid, parsed.exceeds_max) == (per_s, "", False)


def test_no_value_is_no_limit():
    """A response without the header."""
    assert parse_limit([]).per_s == math.inf


@pytest.mark.parametrize(
    "value",
    ["", "-1", "nan", "inf", "1e3", "+5", "2.4/s", "0x10", "1_000", "\u0662"],
)
def test_invalid_value(value):
    """An invalid value neither sets nor lifts a limit, and is reported."""
    parsed = parse_limit([value])
    assert parsed.per_s is None
    assert parsed.invalid == (value or "(empty)")


def test_valid_and_invalid_values():
    """The valid value applies, and the invalid one is reported."""
    parsed = parse_limit(["soon", "3"])
    assert (parsed.per_s, parsed.invalid) == (3.0, "soon")


@pytest.mark.parametrize("value", ["1000000000", "1000.1", "9" * 64, "9" * 400])
def test_limit_above_the_maximum(value):
    """A limit above the maximum is ignored, and is reported."""
    parsed = parse_limit([value])
    assert parsed.per_s == math.inf
    assert parsed.exceeds_max
    assert parse_limit([str(int(MAX_LIMIT_PER_S))]).per_s == MAX_LIMIT_PER_S
