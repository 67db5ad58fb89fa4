#!/bin/sh
# SPDX-License-Identifier: MIT
# Plays the case on router processes; exits with 1 if DRAIN was broken, 0 if it held.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH=target/deps exec python3 review/7/case.py
