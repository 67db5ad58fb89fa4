# SPDX-License-Identifier: MIT
"""The catalogues in docs/ are held against the code."""

from __future__ import annotations

import doctest
import pathlib
import re

from typing import get_type_hints

import pytest

from violethatch.errors import VioletHatchError
from violethatch.events import ALL_EVENTS
from violethatch.router_settings import RouterSettings
from violethatch.settings import Settings


DOCS = pathlib.Path(__file__).parent.parent / "docs"
ROOT = DOCS.parent


def rows(name):
    """Return the cells of a page's tables, without headings."""
    lines = (DOCS / name).read_text().splitlines()
    tables = [line for line in lines if line.startswith("|")]
    cells = [[cell.strip() for cell in line.strip("|").split("|")] for line in tables]
    return [row for row in cells if not set(row[0]) <= {"-"}]


class TestCatalogues:
    def test_errors(self):
        """Each code stands in the table with its status, title and `ran`."""
        listed = {(*tuple(row[:3]), row[4]) for row in rows("errors.md")[1:]}
        kinds = VioletHatchError.registry.values()
        assert listed == {
            (str(kind.code), str(kind.status), kind.title, kind.default_ran.value)
            for kind in kinds
        }

    def test_events(self):
        """Each event stands in the table, and its number is its own."""
        listed = {tuple(row) for row in rows("events.md")[1:]}
        assert listed == {(str(e.number), e.name, e.summary) for e in ALL_EVENTS}
        assert len({event.number for event in ALL_EVENTS}) == len(ALL_EVENTS)

    def test_settings(self):
        """Each key stands in its section's table with its default."""
        sections = [(f"[{name}]", k) for name, k in get_type_hints(Settings).items()]
        sections += [
            (f"router [{name}]", k)
            for name, k in get_type_hints(RouterSettings).items()
        ]
        text = (DOCS / "settings.md").read_text()
        for heading, kind in sections:
            part = text.split(f"## {heading}")[1].split("\n## ")[0]
            listed = dict(re.findall(r"^\| (\w+) \| ([^|]*?) \|", part, re.MULTILINE))
            listed.pop("key")
            defaults = kind._field_defaults
            assert listed == {
                key: str(defaults.get(key, "*required*")) or "none"
                for key in kind._fields
            }

    def test_promises_name_what_exists(self):
        """Modules and tests that the promises' page names are there."""
        text = (DOCS / "design" / "promises.md").read_text()
        modules = set(re.findall(r"`((?:\w+/)?\w+)\.py`", text))
        assert modules
        for module in modules:
            folder = ROOT if module.startswith("tests/") else ROOT / "src/violethatch"
            assert (folder / f"{module}.py").exists(), module
        proofs = (ROOT / "tests" / "test_promises.py").read_text()
        named = set(re.findall(r"proof `(\w+)`", text))
        assert named == set(re.findall(r"^    \((\w+), \"", proofs, re.MULTILINE))


class TestExamples:
    @pytest.mark.parametrize("page", ["embedding.md"])
    def test_examples_run(self, page):
        """The examples in the docs give what they show."""
        failed, tried = doctest.testfile(
            str(DOCS / page), module_relative=False, optionflags=doctest.ELLIPSIS
        )
        assert tried > 0
        assert failed == 0
