# SPDX-License-Identifier: MIT
"""The share of a processor that the settings state, read before all other imports."""

from __future__ import annotations

import configparser
import os


__all__ = ["SETTINGS_VARIABLE", "stated_processor_share"]

#: Where the platform says the path of the settings file.
SETTINGS_VARIABLE = "VIOLETHATCH_BOOT"
_WHOLE = 1.0


def stated_processor_share() -> float:
    """Return the share of a processor that this process may use, from 0 to 1.

    Settings are validated later: until then, what can't be read counts as a whole one.
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read(os.environ.get(SETTINGS_VARIABLE, ""), encoding="utf-8")
        share = parser.getfloat("limits", "processor_share")
    except (configparser.Error, OSError, ValueError):
        return _WHOLE
    return share if 0.0 < share < _WHOLE else _WHOLE
