# SPDX-License-Identifier: MIT
"""Parsing of ``Retry-After`` headers in all their forms."""

from __future__ import annotations

import pytest

from violethatch.retry_after import MAX_RETRY_AFTER_S, parse_retry_after


NOON = "Thu, 03 Dec 2026 12:00:00 GMT"
NOON_S = 1_796_299_200.0


def parse(*values, server_time=None, wall_s=NOON_S):
    """Parse header values."""
    return parse_retry_after(values, server_time=server_time, wall_s=wall_s)


@pytest.mark.parametrize(
    ("values", "delay_s"),
    [
        (("3",), 3.0),
        (("0.25",), 0.25),
        ((".5",), 0.5),
        ((" 2 ",), 2.0),
        (("0",), 0.0),
        (("1", "4", "2"), 4.0),
        (("1, 4",), 4.0),
        (("Thu, 03 Dec 2026 12:00:05 GMT",), 5.0),
        (("Thu, 03 Dec 2026 11:00:00 GMT",), 0.0),
    ],
)
def test_valid_values(values, delay_s):
    """Seconds, fractions and dates are supported; the largest of several counts."""
    parsed = parse(*values)
    assert (parsed.delay_s, parsed.invalid, parsed.exceeds_max) == (delay_s, "", False)


@pytest.mark.parametrize(
    "value", ["", "-3", "nan", "inf", "1e9", "soon", "3 s", "0x10", "3;4", "٣"]
)
def test_invalid_values(value):
    """An invalid value yields no delay, and is returned for logging."""
    parsed = parse(value)
    assert parsed.delay_s is None
    assert parsed.invalid


def test_valid_next_to_invalid_value():
    """A valid value counts next to an invalid one, which is returned too."""
    assert parse("soon", "2") == (2.0, "soon", False)


def test_no_value():
    """No header yields no delay."""
    assert parse() == (None, "", False)


@pytest.mark.parametrize("value", ["1000000000", "9" * 60, "86401"])
def test_longer_than_a_day_is_capped(value):
    """A value beyond a day is reduced to a day and marked."""
    assert parse(value) == (MAX_RETRY_AFTER_S, "", True)


def test_date_is_relative_to_server_clock():
    """A clock that is off by an hour doesn't yield a delay of an hour."""
    parsed = parse(
        "Thu, 03 Dec 2026 12:00:05 GMT", server_time=NOON, wall_s=NOON_S - 3600.0
    )
    assert parsed.delay_s == 5.0


def test_invalid_server_time_falls_back_to_local_clock():
    """The local clock is used if the server's time is invalid."""
    parsed = parse("Thu, 03 Dec 2026 12:00:05 GMT", server_time="?", wall_s=NOON_S)
    assert parsed.delay_s == 5.0


def test_long_header_is_truncated():
    """The logged value stays short."""
    assert len(parse("x" * 10_000).invalid) <= 64
