#!/bin/sh
# SPDX-License-Identifier: MIT
# Builds the stand-ins that the scripts start: Python modules of the standard library.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q standins
