# SPDX-License-Identifier: MIT
"""What calls over HTTP may end with."""

from __future__ import annotations

import aiohttp


#: What a call may end with beside a time-out.  uvloop raises a RuntimeError where the
#: descriptor of a connect that was given up on is in use again; one that nobody took
#: ended a process.
CALL_ERRORS = (aiohttp.ClientError, OSError, ValueError, RuntimeError)
#: What a call ends with whose connection did not come about: nothing was sent.
NOT_CONNECTED = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)
