"""The client's side of a watch, which continues with the next member when a connection is lost."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncGenerator, Iterator, Mapping
from contextlib import aclosing

from wheatstile.store.errors import OutcomeUnknownError, WatchCompactedError
from wheatstile.store.event_history import Event
from wheatstile.store.framing import FrameReader, connect, encode_frame
from wheatstile.store.protocol import ErrorCode, Reply, Request, RequestKind

IDLE_TIMEOUT_S = 3.0
"""Time in which nothing arrives after which the next member is tried; a member sends every second."""
RECONNECT_DELAY_S = 0.05


async def watch_events(
    members: Mapping[str, int], names: Iterator[str], pattern: str, after_revision: int
) -> AsyncGenerator[Event, None]:
    """Yield the events of matching keys after a revision, without gaps or duplicates.

    `members` maps member names to loopback ports. `names` yields the members in the order in which they are
    tried, without an end. Raises `WatchCompactedError`, and `OutcomeUnknownError` if as many connections in a
    row as there are members end with a reply that cannot be decoded.
    """
    revision = after_revision
    undecodable_replies = 0
    while True:
        name = next(names)
        try:
            async with aclosing(_watch_member(members[name], pattern, revision)) as replies:
                async for reply in replies:
                    revision = max(revision, reply.revision)
                    for event in reply.events:
                        undecodable_replies = 0
                        yield event
        except ValueError as error:  # a protocol error or a decoding error
            undecodable_replies += 1
            if undecodable_replies >= len(members):
                reason = f"{name}: the reply after revision {revision} cannot be decoded: {error}"
                raise OutcomeUnknownError(reason) from error
        except (OSError, TimeoutError):
            pass
        await asyncio.sleep(RECONNECT_DELAY_S)


async def _watch_member(port: int, pattern: str, revision: int) -> AsyncGenerator[Reply, None]:
    """Yield one member's replies to a watch until the connection ends.

    Raises `WatchCompactedError`, OSError, ValueError, and TimeoutError after `IDLE_TIMEOUT_S` without a byte.
    """
    async with asyncio.timeout(IDLE_TIMEOUT_S):
        sock = await connect(port)
    with sock:
        request = Request(RequestKind.WATCH, key=pattern, after_revision=revision)
        await asyncio.get_running_loop().sock_sendall(sock, encode_frame(request))
        frames = FrameReader(sock)
        while True:
            reply = await frames.read(Reply, IDLE_TIMEOUT_S)
            if reply is None:
                return
            if reply.error is ErrorCode.WATCH_COMPACTED:
                raise WatchCompactedError(reply.revision)
            yield reply
