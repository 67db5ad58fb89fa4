# SPDX-License-Identifier: MIT
"""Measurements of violethatch on real processes; see docs/measurements.md."""
