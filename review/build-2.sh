#!/bin/sh
# SPDX-License-Identifier: MIT
# Builds the stand-ins that the second review's scripts start: they are Python modules of
# the standard library, which need no build.
set -eu
