# SPDX-License-Identifier: MIT
"""Runs the emulator with `python -m`."""

from .cli import main


main()
