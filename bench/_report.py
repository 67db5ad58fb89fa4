# SPDX-License-Identifier: MIT
"""What the measurements print, and where they keep it."""

from __future__ import annotations

import csv
import pathlib

from collections.abc import Mapping, Sequence


OUT = pathlib.Path(__file__).with_name("out")


def percentile(values: Sequence[float], percent: float) -> float:
    """Return the value that *percent* of the values don't exceed."""
    ordered = sorted(values)
    if not ordered:
        return float("nan")
    index = min(len(ordered) - 1, round(percent / 100 * (len(ordered) - 1)))
    return ordered[index]


def write_rows(name: str, rows: Sequence[Mapping[str, object]]) -> None:
    """Print rows as a table and keep them as CSV."""
    OUT.mkdir(exist_ok=True)
    columns = list(rows[0])
    with (OUT / f"{name}.csv").open("w", newline="", encoding="utf-8") as file:
        writer = csv.DictWriter(file, columns)
        writer.writeheader()
        writer.writerows(rows)
    print("| " + " | ".join(columns) + " |")
    print("|" + "---|" * len(columns))
    for row in rows:
        print("| " + " | ".join(str(row[column]) for column in columns) + " |")
