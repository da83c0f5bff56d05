"""Client of the store, which finds the leader and retries requests until a timeout.

A write contains the client's session and a sequence number, so that a retried write is applied only once.
"""

from __future__ import annotations

import asyncio
import itertools
import uuid
from collections.abc import AsyncIterator, Iterable, Mapping
from dataclasses import dataclass

import msgspec

from wheatstile.store.client_connections import ClientConnections
from wheatstile.store.commands import (
    ANY_REVISION,
    Command,
    CommandResult,
    Operation,
    OperationKind,
    Precondition,
)
from wheatstile.store.errors import OutcomeUnknownError, RequestRejectedError
from wheatstile.store.event_history import Event
from wheatstile.store.protocol import (
    LINEARIZABLE,
    ErrorCode,
    KeyVersion,
    MemberStatus,
    Reply,
    Request,
    RequestKind,
)
from wheatstile.store.raft.messages import Role
from wheatstile.store.watch_client import watch_events

DEFAULT_TIMEOUT_S = 5.0
MAX_ATTEMPT_S = 2.0
"""Timeout for the processing of one attempt by one member."""
ATTEMPT_MARGIN_S = 0.5
"""Time added to the timeout of an attempt, so that the reply of the member can arrive."""
RETRY_DELAY_S = 0.05
"""Delay between an attempt that failed and the attempt with the next member."""

RETRYABLE_ERRORS = (ErrorCode.NOT_LEADER, ErrorCode.OUTCOME_UNKNOWN, ErrorCode.STALE)
CONNECTION_ERRORS = (OSError, TimeoutError, ValueError)
"""Errors of a connection to a member. Protocol errors and decoding errors are subclasses of ValueError."""


@dataclass(frozen=True, slots=True)
class Listing:
    """Keys that match a pattern, with their latest versions at `revision`."""

    revision: int
    versions: list[KeyVersion]


@dataclass(frozen=True, slots=True)
class DownloadedState:
    """The complete data of the state machine at `revision`."""

    revision: int
    data: bytes


class StoreClient:
    """Client of `members`, which maps member names to loopback ports. `close` closes its connections.

    The client sends one write at a time. Requests raise `RequestRejectedError`, and `OutcomeUnknownError` if
    no member gives a final reply within `timeout_s`.
    """

    def __init__(self, members: Mapping[str, int], timeout_s: float = DEFAULT_TIMEOUT_S) -> None:
        if not members:
            raise ValueError("a store client needs at least one member")
        self.members = members
        self._timeout_s = timeout_s
        self._member_cycle = itertools.cycle(sorted(members))
        self._target = next(self._member_cycle)
        self._connections = ClientConnections(members)
        self._write_lock = asyncio.Lock()
        self._start_session()

    def _start_session(self) -> None:
        self._session_id = uuid.uuid4().hex
        self._sequence = 0

    def close(self) -> None:
        """Close the connections to the members."""
        self._connections.close()

    async def write(
        self, operations: Iterable[Operation], preconditions: Iterable[Precondition] = ()
    ) -> CommandResult:
        """Apply all `operations`, or none of them if a precondition does not hold."""
        async with self._write_lock:
            self._sequence += 1
            command = Command(list(operations), list(preconditions), self._session_id, self._sequence)
            try:
                reply = await self.request(Request(RequestKind.WRITE, command))
            except BaseException:
                # The write may still be applied. The next write starts a new session, so that the two writes
                # cannot share a sequence number.
                self._start_session()
                raise
        assert reply.result is not None
        return reply.result

    async def put(
        self, key: str, value: bytes, expected_revision: int = ANY_REVISION, ttl_ms: int = 0
    ) -> CommandResult:
        """Write a key if it is at `expected_revision`. It expires after `ttl_ms`, unless that is 0."""
        return await self.write([Operation(OperationKind.PUT, key, value, expected_revision, ttl_ms)])

    async def delete(self, key: str, expected_revision: int = ANY_REVISION) -> CommandResult:
        """Delete a key if it is at `expected_revision`."""
        operation = Operation(OperationKind.DELETE, key, expected_revision=expected_revision)
        return await self.write([operation])

    async def get(self, key: str, max_staleness_ms: int = LINEARIZABLE) -> KeyVersion | None:
        """Return the key's latest version; linearizable unless `max_staleness_ms` allows an older one."""
        reply = await self.request(Request(RequestKind.GET, key=key, max_staleness_ms=max_staleness_ms))
        return reply.versions[0] if reply.versions else None

    async def list_matching(self, pattern: str, max_staleness_ms: int = LINEARIZABLE) -> Listing:
        """Return the keys that match `pattern`; linearizable unless `max_staleness_ms` is given."""
        request = Request(RequestKind.LIST, key=pattern, max_staleness_ms=max_staleness_ms)
        reply = await self.request(request)
        return Listing(reply.revision, reply.versions)

    async def current_revision(self) -> int:
        """Return the current revision of the store. The read is linearizable."""
        return (await self.request(Request(RequestKind.GET))).revision

    async def status(self, name: str) -> MemberStatus:
        """Return the status of a member. Raises OSError, TimeoutError, ValueError."""
        async with asyncio.timeout(min(self._timeout_s, MAX_ATTEMPT_S)):
            reply = await self._connections.request(name, Request(RequestKind.STATUS))
        assert reply.status is not None
        return reply.status

    async def statuses(self) -> dict[str, MemberStatus | str]:
        """Return the status of each member, or the reason why the member could not be reached."""
        statuses: dict[str, MemberStatus | str] = {}
        for name in sorted(self.members):
            try:
                statuses[name] = await self.status(name)
            except CONNECTION_ERRORS as error:
                statuses[name] = str(error) or "no reply"
        return statuses

    async def find_leader(self) -> MemberStatus | None:
        """Return the status of the leader with the highest term, or None if no member is a leader."""
        statuses = (await self.statuses()).values()
        reached = [status for status in statuses if isinstance(status, MemberStatus)]
        leaders = [status for status in reached if status.role is Role.LEADER]
        return max(leaders, key=lambda status: status.term, default=None)

    async def change_members(self, voters: Iterable[str], learners: Iterable[str] = ()) -> MemberStatus:
        """Change the members, and return the leader's status after the change."""
        request = Request(RequestKind.CHANGE_MEMBERS, voters=sorted(voters), learners=sorted(learners))
        reply = await self.request(request)
        assert reply.status is not None
        return reply.status

    async def transfer_leadership(self, target: str) -> None:
        """Transfer leadership to `target`, and return when a new term has begun."""
        await self.request(Request(RequestKind.TRANSFER_LEADERSHIP, key=target))

    async def download_state(self) -> DownloadedState:
        """Return the complete state for a backup. The read is linearizable."""
        reply = await self.request(Request(RequestKind.BACKUP))
        name = self._target
        data = bytearray(reply.chunk)
        try:
            while reply.remaining_bytes:
                async with asyncio.timeout(self._timeout_s):
                    reply = await self._connections.receive(name)
                data += reply.chunk
        except CONNECTION_ERRORS as error:
            reason = f"{name}: {str(error) or type(error).__name__} before the end of the backup"
            raise OutcomeUnknownError(reason) from error
        return DownloadedState(reply.revision, bytes(data))

    async def request(self, request: Request) -> Reply:
        """Send a request to one member after another until one of them gives a final reply."""
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + self._timeout_s
        last_failure = "the request timed out before it was sent to a member"
        has_error_reply = False
        while (remaining_s := deadline_s - loop.time()) > 0:
            target = self._target
            try:
                reply = await self._attempt(request, remaining_s)
            except CONNECTION_ERRORS as error:
                # An attempt that is shortened by the deadline may fail although the member works, so an
                # earlier error reply remains the reported failure.
                if not (has_error_reply and remaining_s < MAX_ATTEMPT_S):
                    last_failure = f"{target}: {str(error) or type(error).__name__}"
                self._connections.discard(target)
                await self._select_next_member(deadline_s)
                continue
            if reply.error is ErrorCode.NONE:
                return reply
            if reply.error not in RETRYABLE_ERRORS:
                raise RequestRejectedError(reply.error, reply.reason)
            last_failure = f"{target}: {reply.error}: {reply.reason}"
            has_error_reply = True
            if reply.error is ErrorCode.NOT_LEADER and reply.leader in self.members:
                self._target = reply.leader
            else:
                await self._select_next_member(deadline_s)
        raise OutcomeUnknownError(last_failure)

    async def _attempt(self, request: Request, remaining_s: float) -> Reply:
        """Send a request to the current target, and return its reply with the versions of all parts.

        The attempt has a timeout of up to `MAX_ATTEMPT_S`, which starts again with each part.
        """
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + remaining_s
        timeout_ms = max(1, int(min(remaining_s, MAX_ATTEMPT_S) * 1000))
        bounded_request = msgspec.structs.replace(request, timeout_ms=timeout_ms)
        target = self._target
        async with asyncio.timeout(min(remaining_s, MAX_ATTEMPT_S + ATTEMPT_MARGIN_S)) as timeout:
            reply = await self._connections.request(target, bounded_request)
            versions: list[KeyVersion] = []
            while reply.error is ErrorCode.PARTIAL:
                versions += reply.versions
                timeout.reschedule(min(deadline_s, loop.time() + MAX_ATTEMPT_S + ATTEMPT_MARGIN_S))
                reply = await self._connections.receive(target)
        return msgspec.structs.replace(reply, versions=versions + reply.versions) if versions else reply

    async def _select_next_member(self, deadline_s: float) -> None:
        """Select the next member as the target, and wait `RETRY_DELAY_S`, but not beyond the deadline."""
        self._target = next(self._member_cycle)
        remaining_s = deadline_s - asyncio.get_running_loop().time()
        await asyncio.sleep(min(RETRY_DELAY_S, max(0.0, remaining_s)))

    def watch(self, pattern: str, after_revision: int) -> AsyncIterator[Event]:
        """Yield the events of matching keys after a revision, without gaps or duplicates.

        Continue with the next member when a connection is lost. Raises `WatchCompactedError`, and
        `OutcomeUnknownError` if no member sends replies that this client can decode.
        """
        return watch_events(self.members, self._member_cycle, pattern, after_revision)
