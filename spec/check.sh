#!/bin/sh
# SPDX-License-Identifier: MIT
# Checks the models in this directory exhaustively, and that each catches its mutants.
set -eu
cd "$(dirname "$0")"
