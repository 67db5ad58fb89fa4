# SPDX-License-Identifier: MIT
"""The command line.

.. versionadded:: 26.1.0
"""

from __future__ import annotations

import os


# Before uvloop is imported: it would open an io_uring otherwise.
os.environ["UV_USE_IO_URING"] = "0"

import json
import pathlib
import sys
import urllib.error
import urllib.request

from typing import Any

import defopt
import eliot

from .errors import VioletHatchError
from .explaining import explain_request
from .router_settings import load_router_settings
from .settings import load_settings


_FAILED = 1
_BAD_SETTINGS = 2


def serve(*, settings: str) -> None:
    """Run an entry instance.

    Args:
        settings: The settings file (INI).
    """
    import uvloop

    from ._entry import serve as serve_entry
    from .event_loop import EventLoop

    loaded = load_settings(settings)
    eliot.to_file(sys.stderr)
    uvloop.run(serve_entry(loaded), loop_factory=EventLoop)


def route(*, settings: str) -> None:
    """Run the router on the platform.

    Args:
        settings: The router's settings file (INI).
    """
    from . import clocks
    from .platform import run

    run(settings, began_s=clocks.now_s())


def check_router_settings(*, settings: str) -> None:
    """Check a router's settings file and say what is wrong with it.

    Args:
        settings: The router's settings file (INI).
    """
    load_router_settings(settings)
    print(f"{settings}: valid")


def explain(*logs: str, request: str) -> None:
    """Show a request's log lines from several instances, in order of time.

    Args:
        logs: Files with instances' log lines.
        request: The request's id.
    """
    for line in explain_request(logs, request_id=request):
        print(line)


def preview_admission(*, settings: str, state: str) -> None:
    """Show what would be refused under other settings, at a running instance's demand.

    Args:
        settings: The router's settings file (INI) whose [admission] is tried.
        state: An instance's state dump: a file, or the URL of /state on its metrics
            port.
    """
    from .admission_preview import active_section, parse_state, preview_lines

    proposed = load_router_settings(settings).admission
    try:
        dump = parse_state(_read_state(state))
        active = active_section(dump)
    except ValueError as error:
        sys.exit(f"{state}: {error}")
    for line in preview_lines(dump, active=active, proposed=proposed):
        print(line)


def _read_state(source: str) -> bytes:
    """Read a state dump from a URL or a file."""
    if not source.startswith(("http://", "https://")):
        return pathlib.Path(source).read_bytes()
    with urllib.request.urlopen(source, timeout=30) as answer:
        data: bytes = answer.read()
        return data


def check_settings(*, settings: str) -> None:
    """Check a settings file and say what is wrong with it.

    Args:
        settings: The settings file (INI).
    """
    load_settings(settings)
    print(f"{settings}: valid")


def plan(intent: str, *, url: str, key_file: str) -> None:
    """Show what an intent would change.

    Args:
        intent: A file with the intent, as JSON.
        url: An entry instance's address for operators.
        key_file: A file with the operators' key.
    """
    answer = _call("POST", f"{url}/plan", key_file, pathlib.Path(intent).read_bytes())
    print(f"on revision {answer['base_revision']}, to digest {answer['digest']}:")
    for change in answer["changes"]:
        print(f"  {change['text']}")
    if not answer["changes"]:
        print("  nothing changes")


def confirm(
    intent: str, *, base_revision: int, digest: str, url: str, key_file: str
) -> None:
    """Bring a plan into force.

    Args:
        intent: The file with the intent that was planned.
        base_revision: The revision that the plan starts from.
        digest: The digest that the plan showed.
        url: An entry instance's address for operators.
        key_file: A file with the operators' key.
    """
    body = {
        "intent": json.loads(pathlib.Path(intent).read_bytes()),
        "base_revision": base_revision,
        "digest": digest,
    }
    answer = _call("POST", f"{url}/confirm", key_file, json.dumps(body).encode())
    print(f"revision {answer['revision']} accepted")


def state(*, url: str, key_file: str) -> None:
    """Show an instance's state as JSON.

    Args:
        url: The entry instance's address for operators.
        key_file: A file with the operators' key.
    """
    print(json.dumps(_call("GET", f"{url}/state", key_file), indent=2))


def _call(method: str, url: str, key_file: str, body: bytes | None = None) -> Any:
    """Call an instance's operators' listener."""
    key = pathlib.Path(key_file).read_text(encoding="utf-8").strip()
    request = urllib.request.Request(
        url, data=body, method=method, headers={"Authorization": f"Bearer {key}"}
    )
    try:
        with urllib.request.urlopen(request, timeout=30) as answer:
            return json.load(answer)
    except urllib.error.HTTPError as error:
        problem = json.load(error)
        sys.exit(f"violethatch error {problem['code']}: {problem['detail']}")
    except OSError as error:
        sys.exit(f"{url}: {error}")


def main() -> None:
    """Run the command line."""
    try:
        defopt.run(
            [
                serve,
                route,
                check_settings,
                check_router_settings,
                plan,
                confirm,
                state,
                explain,
                preview_admission,
            ],
            argv=sys.argv[1:],
        )
    except VioletHatchError as error:
        print(f"violethatch error {error.code}: {error.detail}", file=sys.stderr)
        sys.exit(_BAD_SETTINGS)
    except OSError as error:
        print(error, file=sys.stderr)
        sys.exit(_FAILED)
