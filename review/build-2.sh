#!/bin/sh
# SPDX-License-Identifier: MIT
# Builds the stand-ins that the second review's scripts start: it has no script, so none.
set -eu
