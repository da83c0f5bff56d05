"""One client's watch: events of matching keys, in order, none left out and none twice."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import suppress

from wheatstile.store.errors import WatchCompactedError
from wheatstile.store.event_history import Event
from wheatstile.store.key_pattern import matches_pattern
from wheatstile.store.member import Member
from wheatstile.store.protocol import ErrorCode, Reply

HEARTBEAT_INTERVAL_S = 1.0
"""Time without events after which a watch is sent how old the member's state may be."""


class WatchStream:
    """Sends a watch's replies with `send`, from the events after `revision` on.

    All events of a revision go in one reply. A reply without events says up to which revision there was
    nothing.
    """

    def __init__(
        self, member: Member, send: Callable[[Reply], Awaitable[None]], pattern: str, revision: int
    ) -> None:
        self._member = member
        self._applied = member.applied
        self._send = send
        self._pattern = pattern
        self._revision = revision
        self._loop = asyncio.get_running_loop()
        self._last_sent_at_s = self._loop.time()

    async def run(self) -> None:
        """Send events until `send` fails or the watch is too far behind."""
        if self._applied.index < self._revision:
            await self._send(Reply(revision=self._revision))  # this member is behind: its events follow
        while True:
            # Taken before the events are read, so that none in between is missed.
            next_application = self._applied.next_application
            try:
                events = self._applied.state_machine.events.after(self._revision)
            except WatchCompactedError as error:
                await self._send(
                    Reply(ErrorCode.WATCH_COMPACTED, str(error), revision=error.compacted_revision)
                )
                return
            if events:
                await self._send_matching(events)
                continue
            with suppress(TimeoutError):
                async with asyncio.timeout(HEARTBEAT_INTERVAL_S):
                    await next_application.wait()
            await self._send_heartbeat_if_due()

    async def _send_matching(self, events: list[Event]) -> None:
        self._revision = events[-1].revision
        matching = [event for event in events if matches_pattern(self._pattern, event.key)]
        if matching:
            await self._send(Reply(events=matching, revision=self._revision))
            self._last_sent_at_s = self._loop.time()

    async def _send_heartbeat_if_due(self) -> None:
        """Let the client know how old its events may be: this member may be cut off from the others."""
        if self._loop.time() - self._last_sent_at_s >= HEARTBEAT_INTERVAL_S:
            self._last_sent_at_s = self._loop.time()
            await self._send(Reply(revision=self._revision, commit_age_ms=self._member.commit_age_ms))
