# SPDX-License-Identifier: MIT
"""The users' platform: its wire, its store and its runners.

Everything here translates between the platform's names and the product's
types.  Nothing here decides anything.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any


if TYPE_CHECKING:
    from ._process import run, settings_path

__all__ = ["run", "settings_path"]


def __getattr__(name: str) -> Any:
    """Import the process at first use.

    ``python -m violethatch.platform`` imports this package before it runs
    ``__main__``, which sets variables that uvloop and aiohttp read when imported.
    """
    if name not in __all__:
        msg = f"module {__name__!r} has no attribute {name!r}"
        raise AttributeError(msg)
    from . import _process

    return getattr(_process, name)
