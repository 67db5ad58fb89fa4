# SPDX-License-Identifier: MIT
"""Which modules of the package import each other."""

from __future__ import annotations

import ast
import pathlib

import networkx

import violethatch


SOURCES = pathlib.Path(violethatch.__file__).parent


def module_name(path):
    """Return a file's module name."""
    parts = path.relative_to(SOURCES.parent).with_suffix("").parts
    return ".".join(parts[:-1] if parts[-1] == "__init__" else parts)


def imported(path, names):
    """Yield the package's modules that a file imports, for types alone as well."""
    package = list(path.relative_to(SOURCES.parent).parent.parts)
    for node in ast.walk(ast.parse(path.read_text())):
        if not isinstance(node, ast.ImportFrom) or not node.level:
            continue
        base = package[: len(package) - node.level + 1]
        base = ".".join([*base, *([node.module] if node.module else [])])
        for one in node.names:
            full = f"{base}.{one.name}"
            yield full if full in names else base


def test_no_modules_import_each_other():
    """Guards against parts that can't be read or embedded alone."""
    paths = {module_name(path): path for path in SOURCES.rglob("*.py")}
    graph = networkx.DiGraph()
    for name, path in paths.items():
        # The whole package names its parts for embedding, and imports none with itself.
        if path.parent != SOURCES or path.name != "__init__.py":
            graph.add_edges_from((name, one) for one in imported(path, paths))
    assert list(networkx.simple_cycles(graph)) == []
