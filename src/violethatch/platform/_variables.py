# SPDX-License-Identifier: MIT
"""The variables that the platform sets, for what is read before all other imports."""

from __future__ import annotations


#: Where the platform says the path of the settings file.
SETTINGS_VARIABLE = "VIOLETHATCH_BOOT"
