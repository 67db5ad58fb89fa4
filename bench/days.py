# SPDX-License-Identifier: MIT
"""Play days of our own on the users' bench, and name those that broke a rule.

    FLEETBENCH=PATH SITE=FILE python3 bench/days.py kept
    FLEETBENCH=PATH SITE=FILE python3 bench/days.py alone [PART OF A NAME]
    FLEETBENCH=PATH SITE=FILE python3 bench/days.py pairs --count 20 --seed 7

Days for incidents and mended findings stand in ``deploy/days/``; ``kept`` plays
these.  The others are made by ``_trouble_days.py`` and played from a temporary folder.
Each run ends with a line that counts the days and names those that broke a rule.
"""

from __future__ import annotations

import argparse
import concurrent.futures
import json
import os
import pathlib
import re
import subprocess
import sys
import tempfile

from collections.abc import Mapping, Sequence
from typing import NamedTuple

from _trouble_days import alone, pairs


_KEPT = pathlib.Path(__file__).parent.parent / "deploy" / "days"
#: How long a day may take to play, in seconds.
_PLAY_LIMIT_S = 580
#: Days that are played at one time, of some two cores each.
_AT_ONCE = 3
#: How the bench names the entry that it has written to the journal.
_ENTRY = re.compile(r"^snapshot (\w+)$", re.MULTILINE)
#: Where the bench writes its entries, from the folder that it is started in.
_JOURNAL = pathlib.Path("journal")


class Played(NamedTuple):
    """What came of a day."""

    name: str
    worth: float
    served: float
    #: Broken rules, a fault, or why it was not played.
    broken: tuple[str, ...]


def _outcome(name: str, output: str) -> Played:
    """Return what the journal holds of a day that was played."""
    entry_id = _ENTRY.search(output)
    if entry_id is None:
        return Played(name, 0.0, 0.0, ("not played", *output.splitlines()[-3:]))
    (path,) = _JOURNAL.glob(f"*-{entry_id[1]}.json")
    (day,) = json.loads(path.read_text(encoding="utf-8"))["days"]
    broken = [f"{rule}: {what}" for rule, what in day["rules"].items()]
    if day["fault"]:
        broken.append(f"fault: {day['fault']}")
    if day["restarts"]:
        broken.append(f"processes that ended by themselves: {day['restarts']:g}")
    return Played(name, day["G"], day["served"], tuple(broken))


def _play(bench: str, site: str, name: str, path: pathlib.Path) -> Played:
    """Play a day; return what came of it."""
    command = [bench, "run", site, str(path), "--why", f"a day of our own: {name}"]
    try:
        done = subprocess.run(
            command, capture_output=True, text=True, timeout=_PLAY_LIMIT_S, check=False
        )
    except subprocess.TimeoutExpired:
        return Played(name, 0.0, 0.0, ("not played in time",))
    return _outcome(name, done.stdout + done.stderr)


def _print(played: Played) -> None:
    """Print what came of a day."""
    print(f"{played.name}: worth {played.worth:.3f}, served {played.served:.3f}")
    for line in played.broken:
        print(f"    {line}", flush=True)


def _play_all(bench: str, site: str, days: Mapping[str, pathlib.Path]) -> int:
    """Play days; print each one's line, and which were broken; return how many."""
    broken = []
    with concurrent.futures.ThreadPoolExecutor(_AT_ONCE) as pool:
        plays = [
            pool.submit(_play, bench, site, name, path) for name, path in days.items()
        ]
        for play in concurrent.futures.as_completed(plays):
            played = play.result()
            _print(played)
            if played.broken:
                broken.append(played.name)
    print(f"{len(days)} days, {len(broken)} broke something: {' '.join(broken)}")
    return len(broken)


def _play_made(bench: str, site: str, made: Mapping[str, str]) -> int:
    """Play days given as TOML, by name; return how many were broken."""
    with tempfile.TemporaryDirectory() as folder:
        days = {name: pathlib.Path(folder) / f"{name}.toml" for name in made}
        for name, text in made.items():
            days[name].write_text(text, encoding="utf-8")
        return _play_all(bench, site, days)


def main(arguments: Sequence[str]) -> int:
    """Play the days that were asked for; return 1 if one broke something."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("which", choices=("kept", "alone", "pairs"))
    parser.add_argument("part", nargs="?", default="")
    parser.add_argument("--count", type=int, default=20)
    parser.add_argument("--seed", type=int, default=1)
    asked = parser.parse_args(arguments)
    bench, site = os.environ["FLEETBENCH"], os.environ["SITE"]
    if asked.which == "kept":
        days = {path.stem: path for path in sorted(_KEPT.glob("*.toml"))}
        broken = _play_all(bench, site, days)
    elif asked.which == "alone":
        broken = _play_made(bench, site, dict(alone(asked.part)))
    else:
        broken = _play_made(bench, site, dict(pairs(asked.count, asked.seed)))
    return int(broken > 0)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
