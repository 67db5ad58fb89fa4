# SPDX-License-Identifier: MIT
"""Request forwarding: calls that this instance can't bring to a server, through others.

.. versionadded:: 26.6.0
"""

from __future__ import annotations

from ._announced_links import AnnouncedLinks, LinkAnnouncement, lifetime_of
from ._call import ForwardedCall, MustForwardError
from ._choice import PeerChoice
from ._client import ForwardClient
from ._forwarding import Forwarding, PeerClient
from ._link_announcer import LinkAnnouncer
from ._link_watch import LinkWatch, ServerProbe
from ._links import LinkCheck, LinkState, LostLinks, ServerLinks, servers_to_check
from ._listener import ForwardListener, ForwardServer
from ._wire import PATH as FORWARD_PATH


__all__ = (
    "FORWARD_PATH",
    "AnnouncedLinks",
    "ForwardClient",
    "ForwardListener",
    "ForwardServer",
    "ForwardedCall",
    "Forwarding",
    "LinkAnnouncement",
    "LinkAnnouncer",
    "LinkCheck",
    "LinkState",
    "LinkWatch",
    "LostLinks",
    "MustForwardError",
    "PeerChoice",
    "PeerClient",
    "ServerLinks",
    "ServerProbe",
    "lifetime_of",
    "servers_to_check",
)
