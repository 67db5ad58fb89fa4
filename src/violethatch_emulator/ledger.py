# SPDX-License-Identifier: MIT
"""What every engine ran, written down outside the router."""

from __future__ import annotations

import collections
import pathlib

from collections.abc import Iterable
from typing import NamedTuple, TextIO

import msgspec


class LedgerLine(NamedTuple):
    """One step that an engine ran."""

    request: str
    epoch: int
    position: int
    positions: int
    first: int
    end: int
    runner_id: str


class LedgerWriter:
    """Appends lines to a file, which outlives its process."""

    def __init__(self, path: str) -> None:
        self._file: TextIO | None = None
        if path:
            # Open for as long as the process runs.
            self._file = pathlib.Path(path).open("a", encoding="utf-8")  # noqa: SIM115

    def write(self, lines: Iterable[LedgerLine]) -> None:
        """Append lines."""
        if self._file is None:
            return
        text = "".join(msgspec.json.encode(line).decode() + "\n" for line in lines)
        self._file.write(text)
        self._file.flush()


class Ledger:
    """The lines of all engines' files in a directory."""

    def __init__(self, directory: pathlib.Path) -> None:
        self.lines: list[LedgerLine] = []
        for path in sorted(directory.glob("*.ledger")):
            for line in path.read_bytes().splitlines():
                try:
                    self.lines.append(msgspec.json.decode(line, type=LedgerLine))
                except msgspec.DecodeError:
                    continue  # the last line of a killed process may be cut off

    @property
    def requests(self) -> set[str]:
        """The requests that ran anywhere."""
        return {line.request for line in self.lines}

    def faults(self, *, layer_count: int) -> list[str]:
        """List what contradicts "each layer exactly once for each token".

        Within an epoch no (position, layer) may run twice.  And for each
        position, the layers up to the last one that ran must all have run.
        Whether the right runs were *used* shows in the answers: the stand-in
        model's text comes out wrong otherwise.
        """
        counts: collections.Counter[tuple[str, int, int, int]] = collections.Counter()
        layers_run: dict[tuple[str, int], set[int]] = {}
        for line in self.lines:
            for position in range(line.position, line.position + line.positions):
                for layer in range(line.first, line.end):
                    counts[line.request, line.epoch, position, layer] += 1
                    layers_run.setdefault((line.request, position), set()).add(layer)
        found = [
            f"request {request} epoch {epoch}: layer {layer} ran {count} times "
            f"for position {position}"
            for (request, epoch, position, layer), count in counts.items()
            if count > 1
        ]
        for (request, position), layers in layers_run.items():
            if layers != set(range(max(layers) + 1)) or max(layers) >= layer_count:
                found.append(f"request {request}: layers skipped at {position}")
        return found
