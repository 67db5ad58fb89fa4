# SPDX-License-Identifier: MIT
"""The users' platform: its wire, its store and its runners.

Everything here translates between the platform's names and the product's
types.  Nothing here decides anything.
"""

from ._process import run, settings_path


__all__ = ["run", "settings_path"]
