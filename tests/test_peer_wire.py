# SPDX-License-Identifier: MIT
"""Connections between peers: who gets in, and which frames count."""

from __future__ import annotations

import asyncio
import contextlib

import pytest

from hypothesis import given, settings
from hypothesis import strategies as st

from violethatch._peer_wire import (
    _decode,
    accept_peer,
    beats_message,
    connect_peer,
    read_beats,
    read_puts,
)
from violethatch.errors import PeerRefusedError
from violethatch.gossip import Beat


BEAT = Beat("e1", "z1", 12, 34, 5, False)


@contextlib.asynccontextmanager
async def listening(serve):
    """Provide a listener's address; close its connections when they were served."""
    serving = set()

    async def serve_and_close(reader, writer):
        serving.add(asyncio.current_task())
        with contextlib.closing(writer):
            await serve(reader, writer)

    server = await asyncio.start_server(serve_and_close, "127.0.0.1", 0)
    yield f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    server.close()
    await asyncio.gather(*serving)


class TestPeerChannel:
    async def test_messages_arrive(self):
        """Peers with one key exchange messages."""
        got = asyncio.get_running_loop().create_future()

        async def serve(reader, writer):
            channel, who = await accept_peer(reader, writer, key=b"key")
            message = await channel.receive()
            got.set_result((who, read_beats(message.beats)))

        async with listening(serve) as address:
            channel = await connect_peer(address, own_id="e2", key=b"key")
            await channel.send(beats_message([BEAT]))
            assert await got == ("e2", [BEAT])
            channel.close()

    async def test_wrong_key_is_refused_on_both_sides(self):
        """Neither side trusts the other without the key."""
        refused = asyncio.get_running_loop().create_future()

        async def serve(reader, writer):
            try:
                await accept_peer(reader, writer, key=b"right")
            except PeerRefusedError as error:
                refused.set_result(error.code)

        async with listening(serve) as address:
            with pytest.raises(PeerRefusedError):
                await connect_peer(address, own_id="e2", key=b"wrong")
            assert await refused == 1701

    async def test_listener_without_the_key_is_refused(self):
        """A listener that just echoes is not taken for a peer."""

        async def serve(reader, writer):
            while data := await reader.read(1000):
                writer.write(data)

        async with listening(serve) as address:
            with pytest.raises((PeerRefusedError, TimeoutError)):
                async with asyncio.timeout(0.5):
                    await connect_peer(address, own_id="e2", key=b"key")

    @pytest.mark.parametrize("attack", ["repeat", "alter", "huge"])
    async def test_forged_frames_end_the_connection(self, attack):
        """A repeated, altered or oversize frame is refused."""
        outcome = asyncio.get_running_loop().create_future()

        async def serve(reader, writer):
            channel, _ = await accept_peer(reader, writer, key=b"key")
            try:
                await channel.receive()
                await channel.receive()
                outcome.set_result("taken")
            except PeerRefusedError:
                outcome.set_result("refused")

        async with listening(serve) as address:
            channel = await connect_peer(address, own_id="e2", key=b"key")
            frames = []
            write = channel._writer.write
            channel._writer.write = lambda data: (frames.append(data), write(data))
            await channel.send(beats_message([BEAT]))
            frame = frames[0]
            if attack == "alter":
                frame = frame[:-1] + bytes([frame[-1] ^ 1])
            elif attack == "huge":
                frame = b"\xff" * 24
            write(frame)
            assert await outcome == "refused"
            channel.close()


class TestDecode:
    @given(data=st.binary(max_size=200))
    @settings(derandomize=True, deadline=None, max_examples=300)
    def test_any_bytes(self, data):
        """A malformed message or list of writes is a coded error."""
        for decode in (_decode, read_puts):
            try:
                decode(data)
            except PeerRefusedError as error:
                assert error.code == 1701
