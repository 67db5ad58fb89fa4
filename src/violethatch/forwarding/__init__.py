# SPDX-License-Identifier: MIT
"""Request forwarding: calls that this instance can't bring to a server, through others.

.. versionadded:: 26.6.0
"""

from __future__ import annotations

from ._link_watch import LinkWatch, ServerProbe
from ._links import LinkCheck, LostLinks, ServerLinks, servers_to_check


__all__ = (
    "LinkCheck",
    "LinkWatch",
    "LostLinks",
    "ServerLinks",
    "ServerProbe",
    "servers_to_check",
)
