# SPDX-License-Identifier: MIT
"""Runs the command line with `python -m`."""

from .cli import main


main()
