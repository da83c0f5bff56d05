"""`FrameReader`: frames that arrive together, and malformed frames."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Iterator

import msgspec
import pytest

from wheatstile.store.errors import FrameTooLargeError
from wheatstile.store.framing import FrameReader, encode_frame


@pytest.fixture
def sockets() -> Iterator[tuple[socket.socket, socket.socket]]:
    """Yield a connected pair (sender, receiver), and close both."""
    sender, receiver = socket.socketpair()
    receiver.setblocking(False)
    with sender, receiver:
        yield sender, receiver


async def read_all(receiver: socket.socket, max_frame_bytes: int = 1024) -> list[str]:
    """Return the values of all frames up to the end of the stream."""
    frames = FrameReader(receiver, max_frame_bytes)
    values = []
    while (value := await frames.read(str)) is not None:
        values.append(value)
    return values


def test_frames_that_arrive_together_are_read_one_by_one(
    sockets: tuple[socket.socket, socket.socket],
) -> None:
    sender, receiver = sockets
    sender.sendall(encode_frame("first") + encode_frame("second"))
    sender.shutdown(socket.SHUT_WR)
    assert asyncio.run(read_all(receiver)) == ["first", "second"]


def test_a_frame_above_the_limit_is_an_error(sockets: tuple[socket.socket, socket.socket]) -> None:
    sender, receiver = sockets
    sender.sendall(encode_frame("x" * 100))
    with pytest.raises(FrameTooLargeError) as caught:
        asyncio.run(read_all(receiver, max_frame_bytes=100))
    assert (caught.value.length_bytes, caught.value.max_bytes) == (102, 100)


def test_a_frame_that_the_recipient_would_reject_is_not_encoded() -> None:
    with pytest.raises(FrameTooLargeError) as caught:
        encode_frame("x" * 100, max_frame_bytes=100)
    assert (caught.value.length_bytes, caught.value.max_bytes) == (102, 100)


def test_the_idle_timeout_starts_again_with_each_byte_that_arrives(
    sockets: tuple[socket.socket, socket.socket],
) -> None:
    """Guards against a watch that discards a large reply on a slow connection, and requests it again."""
    sender, receiver = sockets
    frame = encode_frame("slow")

    async def scenario() -> None:
        frames = FrameReader(receiver)
        read = asyncio.create_task(frames.read(str, idle_timeout_s=0.5))
        for byte in frame:
            await asyncio.sleep(0.1)
            sender.send(bytes([byte]))
        assert await read == "slow"
        with pytest.raises(TimeoutError):
            await frames.read(str, idle_timeout_s=0.05)

    asyncio.run(scenario())


def test_a_frame_whose_body_has_another_type_is_an_error(
    sockets: tuple[socket.socket, socket.socket],
) -> None:
    sender, receiver = sockets
    sender.sendall(encode_frame(1))
    with pytest.raises(msgspec.DecodeError):
        asyncio.run(read_all(receiver))
