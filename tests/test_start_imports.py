# SPDX-License-Identifier: MIT
"""What a router process imports, and when."""

from __future__ import annotations

import os
import pathlib
import subprocess
import sys

import pytest

import violethatch


SOURCES = pathlib.Path(violethatch.__file__).parent
#: What the process imports before it listens.
PROCESS = "import violethatch.platform._process"
#: Parts for embedding, the command line's parser and the wire of the other roles.
UNUSED = {
    "argparse",
    "capnp",
    "defopt",
    "violethatch._peer_wire",
    "violethatch.admission_preview",
    "violethatch.attempts",
    "violethatch.cli",
    "violethatch.gossip",
    "violethatch.limits",
    "violethatch.loads",
    "violethatch.routes",
}


def python(code):
    """Run code in a fresh interpreter without site packages' hooks; return its output.

    Hooks of the machine's Python may import modules on their own.
    """
    path = os.pathsep.join([str(SOURCES.parent), *filter(None, sys.path)])
    done = subprocess.run(
        [sys.executable, "-S", "-OO", "-c", code],
        env={"PATH": os.environ["PATH"], "PYTHONPATH": path},
        capture_output=True,
        text=True,
        check=True,
    )
    return done.stdout.split()


def loaded(code):
    """Return the names of the modules that a fresh interpreter has after *code*."""
    return set(python(f"{code}\nimport sys\nprint(*sys.modules)"))


class TestProcess:
    def test_unused_modules_stay_out(self):
        """Guards against start time spent on modules that no router uses."""
        names = loaded(PROCESS)
        assert "violethatch._router" in names
        assert not names & UNUSED

    def test_package_imports_no_library(self):
        """Guards against libraries that are imported before `__main__` runs.

        `python -m violethatch.platform` imports the package first; `__main__` then sets
        variables that uvloop and aiohttp read when they are imported.
        """
        names = loaded("import violethatch.platform")
        assert not names & {"aiohttp", "asyncio", "uvloop", "violethatch._router"}

    def test_preview_imports_no_server(self):
        """Guards against a command for operators that loads the router's libraries."""
        code = "import violethatch.cli, violethatch.admission_preview"
        names = loaded(code)
        assert "violethatch.admission_preview" in names
        assert not names & {"aiohttp", "uvloop", "violethatch._router"}

    def test_collections_go_on(self):
        """Guards against a process that never collects, or looks through all imports.

        Without its settings `main` ends right after the imports.
        """
        code = "from violethatch.platform.__main__ import main; print(main())"
        code += "\nimport gc; print(gc.isenabled(), gc.get_freeze_count() > 10_000)"
        assert python(code) == ["2", "True", "True"]

    def test_package_still_exports(self):
        """Guards against a lost name of the package."""
        code = "from violethatch.platform import *; print(run.__name__, settings_path)"
        assert python(code)[0] == "run"


def test_copied_build_is_not_compiled_at_each_start():
    """Guards against compiled modules that are void where files lose their dates."""
    script = (SOURCES.parent.parent / "deploy" / "build.sh").read_text()
    lines = [line for line in script.splitlines() if "-m compileall" in line]
    assert len(lines) == 2
    assert all("--invalidation-mode unchecked-hash" in line for line in lines)


class TestExports:
    def test_import_loads_no_part(self):
        """Guards against parts that are imported with the package."""
        names = loaded("import violethatch")
        assert [name for name in names if name.startswith("violethatch.")] == []

    def test_all_names_resolve(self):
        """Guards against an exported name without a module, and the reverse."""
        assert set(violethatch._MODULES) == set(violethatch.__all__)
        assert set(violethatch.__all__) <= set(dir(violethatch))
        for name, module in violethatch._MODULES.items():
            part = getattr(violethatch, module)
            assert getattr(violethatch, name) is getattr(part, name)

    def test_unknown_name(self):
        """Guards against an import error of another kind than other modules give."""
        with pytest.raises(AttributeError, match="no attribute 'unknown'"):
            _ = violethatch.unknown


@pytest.mark.parametrize("name", ["SIGHUP", "SIGUSR1"])
def test_signal_while_the_process_starts_ends_it(name):
    """Before it listens for the signal, its disposition must not be the usual one."""
    code = f"""
import builtins, os, signal, sys
real = builtins.__import__
def send_once(name, *rest):
    if "aiohttp" in name:
        builtins.__import__ = real
        os.kill(os.getpid(), signal.{name})
        print("alive")
        sys.exit()
    return real(name, *rest)
builtins.__import__ = send_once
import violethatch.platform.__main__ as program
program.main()
"""
    assert python(code) == ["alive"]
