"""Serves the watch of one client: sends the events of matching keys in order, without gaps or duplicates."""

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
"""Time without a reply after which a heartbeat is sent to the client."""


class WatchStream:
    """Passes the events after `revision` whose keys match `pattern` to `send`.

    All events of a revision are in one reply. A reply without events is a heartbeat: it contains the revision
    up to which all events were sent, and an upper bound for the age of the member's state.
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
        """Send events until `send` fails or the events that the watch requires were discarded."""
        if self._applied.index < self._revision:
            # This member has not applied the revision yet. It sends later events once it has applied them.
            await self._send(Reply(revision=self._revision))
        while True:
            # Read before the events, so that entries that are applied in between are not missed.
            next_apply = self._applied.next_apply
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
                    await next_apply.wait()
            await self._send_heartbeat_if_due()

    async def _send_matching(self, events: list[Event]) -> None:
        """Send the events whose keys match the pattern."""
        self._revision = events[-1].revision
        matching = [event for event in events if matches_pattern(self._pattern, event.key)]
        if matching:
            await self._send(Reply(events=matching, revision=self._revision))
            self._last_sent_at_s = self._loop.time()

    async def _send_heartbeat_if_due(self) -> None:
        """Report the age of the member's state to the client, because the member may be partitioned."""
        if self._loop.time() - self._last_sent_at_s >= HEARTBEAT_INTERVAL_S:
            self._last_sent_at_s = self._loop.time()
            await self._send(Reply(revision=self._revision, commit_age_ms=self._member.commit_age_ms))
