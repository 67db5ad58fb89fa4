# SPDX-License-Identifier: MIT
"""Check of a listed server against the service that it is listed for.

An entry may be well-formed and still describe a server that the service can't have, for
example one of another model.  Such a server must not be planned with or sent to.

Load pattern: the whole list, up to 790 entries, after a start, an outage and each
change of the services; single entries otherwise.  A check takes constant time.

.. versionadded:: 26.8.0
"""

from __future__ import annotations

from ._listed import BackendServer
from .engine_model import EngineSpec


__all__ = ["entry_fault"]

#: Max characters of an entry's value in a fault's description.
_MAX_QUOTED_CHARS = 40


def entry_fault(server: BackendServer, engine: EngineSpec | None) -> str | None:
    """Return why a server can't belong to its service, or None if it can.

    Args:
        server: The listed server.
        engine: The engine of the service; None if it has none or is not declared.

    .. versionadded:: 26.8.0
    """
    if engine is None:
        return None
    if server.kind not in engine.kinds:
        return f"kind {server.kind[:_MAX_QUOTED_CHARS]!r} is not one of the engine's"
    layers = server.layers
    if layers is not None and not 0 <= layers.first < layers.end <= engine.layer_count:
        return (
            f"layers {layers.first} to {layers.end} "
            f"of a model with {engine.layer_count} layers"
        )
    return None
