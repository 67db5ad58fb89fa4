# SPDX-License-Identifier: MIT
"""Figures of limits, sound ones and others."""

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
def test_figures(values, per_s):
    """Of several the lowest counts, however they came."""
    figure = parse_limit(values)
    assert (figure.per_s, figure.invalid, figure.exceeds_max) == (per_s, "", False)


def test_no_figure_is_no_limit():
    """An answer without the word."""
    assert parse_limit([]).per_s == math.inf


@pytest.mark.parametrize(
    "value",
    ["", "-1", "nan", "inf", "1e3", "+5", "2.4/s", "0x10", "1_000", "\u0662"],
)
def test_what_is_no_number(value):
    """It says nothing either way, and is told."""
    figure = parse_limit([value])
    assert figure.per_s is None
    assert figure.invalid == (value or "(empty)")


def test_sound_figure_beside_another():
    """What can be understood counts, and the rest is told."""
    figure = parse_limit(["soon", "3"])
    assert (figure.per_s, figure.invalid) == (3.0, "soon")


@pytest.mark.parametrize("value", ["1000000000", "1000.1", "9" * 64, "9" * 400])
def test_limits_nothing(value):
    """What is beyond any fleet's need is no limit, and is told."""
    figure = parse_limit([value])
    assert figure.per_s == math.inf
    assert figure.exceeds_max
    assert parse_limit([str(int(MAX_LIMIT_PER_S))]).per_s == MAX_LIMIT_PER_S
