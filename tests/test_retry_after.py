# SPDX-License-Identifier: MIT
"""How long servers ask to be left alone, in whatever form they say it."""

from __future__ import annotations

import pytest

from violethatch.retry_after import MAX_RETRY_AFTER_S, parse_retry_after


NOON = "Thu, 03 Dec 2026 12:00:00 GMT"
NOON_S = 1_796_299_200.0


def read(*values, server_time=None, wall_s=NOON_S):
    """Read some figures."""
    return parse_retry_after(values, server_time=server_time, wall_s=wall_s)


@pytest.mark.parametrize(
    ("values", "length_s"),
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
def test_figures(values, length_s):
    """Seconds, fractions and dates; of several the longest counts."""
    read_ = read(*values)
    assert (read_.delay_s, read_.invalid, read_.exceeds_max) == (length_s, "", False)


@pytest.mark.parametrize(
    "value", ["", "-3", "nan", "inf", "1e9", "soon", "3 s", "0x10", "3;4", "٣"]
)
def test_what_cannot_be_understood(value):
    """It says nothing, and is told for the log."""
    read_ = read(value)
    assert read_.delay_s is None
    assert read_.invalid


def test_understood_beside_what_is_not():
    """One figure that can be read counts, and the other one is told."""
    assert read("soon", "2") == (2.0, "soon", False)


def test_no_figure():
    """No header is no word."""
    assert read() == (None, "", False)


@pytest.mark.parametrize("value", ["1000000000", "9" * 60, "86401"])
def test_longer_than_a_day_is_cut(value):
    """A figure beyond a day is kept for a day, and told."""
    assert read(value) == (MAX_RETRY_AFTER_S, "", True)


def test_date_goes_by_the_servers_own_clock():
    """A clock that differs by an hour makes no rest of an hour."""
    read_ = read(
        "Thu, 03 Dec 2026 12:00:05 GMT", server_time=NOON, wall_s=NOON_S - 3600.0
    )
    assert read_.delay_s == 5.0


def test_garbled_server_time_falls_back_to_the_own_clock():
    """Without the server's time the own one has to do."""
    read_ = read("Thu, 03 Dec 2026 12:00:05 GMT", server_time="?", wall_s=NOON_S)
    assert read_.delay_s == 5.0


def test_long_header_is_cut_before_it_is_read():
    """What is logged of it stays short."""
    assert len(read("x" * 10_000).invalid) <= 64
