"""A client of the store: finds the leader, retries where that is safe, and says so where it cannot know.

A write carries the client's session and a sequence number, so that a write that is retried is applied once.
"""

from __future__ import annotations

import asyncio
import itertools
import uuid
from collections.abc import AsyncGenerator, AsyncIterator, Iterable, Mapping
from contextlib import aclosing, suppress
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
from wheatstile.store.errors import OutcomeUnknownError, RequestRejectedError, WatchCompactedError
from wheatstile.store.event_history import Event
from wheatstile.store.framing import FrameReader, connect, encode_frame
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

DEFAULT_TIMEOUT_S = 5.0
MAX_ATTEMPT_S = 2.0
"""Time that one member is given for one request."""
ATTEMPT_MARGIN_S = 0.5
"""Further time for its reply to arrive."""
RETRY_DELAY_S = 0.05
"""Time between two attempts while nobody leads."""
WATCH_SILENCE_S = 3.0
"""Time without a reply after which a watch is opened anew elsewhere; members send one each second."""

RETRYABLE_ERRORS = (ErrorCode.NOT_LEADER, ErrorCode.OUTCOME_UNKNOWN, ErrorCode.STALE)
CONNECTION_ERRORS = (OSError, TimeoutError, ValueError)
"""What a connection to a member may raise; protocol errors and decoding errors are ValueErrors."""


@dataclass(frozen=True, slots=True)
class Listing:
    """Keys with their latest versions, as of `revision`."""

    revision: int
    versions: list[KeyVersion]


@dataclass(frozen=True, slots=True)
class DownloadedState:
    """The state machine's data, complete as of `revision`."""

    revision: int
    data: bytes


class StoreClient:
    """A client of the members at these loopback ports, NAME to port.

    One write at a time; `close` ends its connections. Requests raise `OutcomeUnknownError` where no member
    has answered within `timeout_s`, and `RequestRejectedError`.
    """

    def __init__(self, members: Mapping[str, int], timeout_s: float = DEFAULT_TIMEOUT_S) -> None:
        if not members:
            raise ValueError("no member to ask")
        self._members = members
        self._timeout_s = timeout_s
        self._names = itertools.cycle(sorted(members))
        self._target = next(self._names)
        self._connections = ClientConnections(members)
        self._writing = asyncio.Lock()
        self._start_session()

    def _start_session(self) -> None:
        self._session_id = uuid.uuid4().hex
        self._sequence = 0

    def close(self) -> None:
        """Close the connections."""
        self._connections.close()

    async def write(
        self, operations: Iterable[Operation], preconditions: Iterable[Precondition] = ()
    ) -> CommandResult:
        """Apply all `operations`, or none where a precondition does not hold."""
        async with self._writing:
            self._sequence += 1
            command = Command(list(operations), list(preconditions), self._session_id, self._sequence)
            try:
                reply = await self.request(Request(RequestKind.WRITE, command))
            except BaseException:
                # The write may yet be applied: this session could not tell its result from the next one's.
                self._start_session()
                raise
        assert reply.result is not None
        return reply.result

    async def put(
        self, key: str, value: bytes, expected_revision: int = ANY_REVISION, ttl_ms: int = 0
    ) -> CommandResult:
        """Write a key, if it is at `expected_revision`; it expires after `ttl_ms`, if that is not 0."""
        return await self.write([Operation(OperationKind.PUT, key, value, expected_revision, ttl_ms)])

    async def delete(self, key: str, expected_revision: int = ANY_REVISION) -> CommandResult:
        """Delete a key, if it is at `expected_revision`."""
        operation = Operation(OperationKind.DELETE, key, expected_revision=expected_revision)
        return await self.write([operation])

    async def get(self, key: str, max_staleness_ms: int = LINEARIZABLE) -> KeyVersion | None:
        """Return the key's latest version; linearizable unless `max_staleness_ms` allows an older one."""
        reply = await self.request(Request(RequestKind.GET, key=key, max_staleness_ms=max_staleness_ms))
        return reply.versions[0] if reply.versions else None

    async def list_matching(self, pattern: str, max_staleness_ms: int = LINEARIZABLE) -> Listing:
        """Return all keys that match `pattern`; linearizable unless `max_staleness_ms` is given."""
        request = Request(RequestKind.LIST, key=pattern, max_staleness_ms=max_staleness_ms)
        reply = await self.request(request)
        return Listing(reply.revision, reply.versions)

    async def status(self, name: str) -> MemberStatus:
        """Return what this member reports of itself. Raises OSError, TimeoutError, ValueError."""
        async with asyncio.timeout(min(self._timeout_s, MAX_ATTEMPT_S)):
            reply = await self._connections.request(name, Request(RequestKind.STATUS))
        assert reply.status is not None
        return reply.status

    async def statuses(self) -> dict[str, MemberStatus | str]:
        """Return what each member reports of itself, or a text why it was not reached."""
        statuses: dict[str, MemberStatus | str] = {}
        for name in sorted(self._members):
            try:
                statuses[name] = await self.status(name)
            except CONNECTION_ERRORS as error:
                statuses[name] = str(error) or "no answer"
        return statuses

    async def find_leader(self) -> MemberStatus | None:
        """Return the status of the leader in the highest term that any member reports."""
        statuses = (await self.statuses()).values()
        reached = [status for status in statuses if isinstance(status, MemberStatus)]
        leaders = [status for status in reached if status.role is Role.LEADER]
        return max(leaders, key=lambda status: status.term, default=None)

    async def change_members(self, voters: Iterable[str], learners: Iterable[str] = ()) -> MemberStatus:
        """Return the leader's status once these are the members."""
        request = Request(RequestKind.CHANGE_MEMBERS, voters=sorted(voters), learners=sorted(learners))
        reply = await self.request(request)
        assert reply.status is not None
        return reply.status

    async def transfer_leadership(self, target: str) -> None:
        """Hand leadership to `target`; returns once a new term has begun."""
        await self.request(Request(RequestKind.TRANSFER_LEADERSHIP, key=target))

    async def download_state(self) -> DownloadedState:
        """Return the complete state, for a backup; it is linearizable."""
        reply = await self.request(Request(RequestKind.BACKUP))
        name = self._target
        data = bytearray(reply.chunk)
        try:
            while reply.remaining_bytes:
                async with asyncio.timeout(self._timeout_s):
                    reply = await self._connections.receive(name)
                data += reply.chunk
        except CONNECTION_ERRORS as error:
            reason = f"{name}: {str(error) or 'silent'} before the backup's end"
            raise OutcomeUnknownError(reason) from error
        return DownloadedState(reply.revision, bytes(data))

    async def request(self, request: Request) -> Reply:
        """Ask one member after another until one of them gives a final answer."""
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + self._timeout_s
        last_failure = "nobody answered"
        while (remaining_s := deadline_s - loop.time()) > 0:
            target = self._target
            try:
                reply = await self._attempt(request, remaining_s)
            except CONNECTION_ERRORS as error:
                last_failure = f"{target}: {str(error) or type(error).__name__}"
                self._connections.discard(target)
                await self._try_next_member(deadline_s)
                continue
            if reply.error is ErrorCode.NONE:
                return reply
            if reply.error not in RETRYABLE_ERRORS:
                raise RequestRejectedError(reply.error, reply.reason)
            last_failure = f"{target}: {reply.error}: {reply.reason}"
            if reply.error is ErrorCode.NOT_LEADER and reply.leader in self._members:
                self._target = reply.leader
            else:
                await self._try_next_member(deadline_s)
        raise OutcomeUnknownError(last_failure)

    async def _attempt(self, request: Request, remaining_s: float) -> Reply:
        """Ask the current target, for up to `MAX_ATTEMPT_S`."""
        timeout_ms = max(1, int(min(remaining_s, MAX_ATTEMPT_S) * 1000))
        limited = msgspec.structs.replace(request, timeout_ms=timeout_ms)
        async with asyncio.timeout(min(remaining_s, MAX_ATTEMPT_S + ATTEMPT_MARGIN_S)):
            return await self._connections.request(self._target, limited)

    async def _try_next_member(self, deadline_s: float) -> None:
        self._target = next(self._names)
        remaining_s = deadline_s - asyncio.get_running_loop().time()
        await asyncio.sleep(min(RETRY_DELAY_S, max(0.0, remaining_s)))

    async def watch(self, pattern: str, after_revision: int) -> AsyncIterator[Event]:
        """Yield events of matching keys after a revision, without a gap or a repeat.

        Goes on with another member when one is lost. Raises `WatchCompactedError`.
        """
        revision = after_revision
        while True:
            name = next(self._names)
            with suppress(*CONNECTION_ERRORS):
                async with aclosing(self._watch_member(name, pattern, revision)) as replies:
                    async for reply in replies:
                        if reply.error is ErrorCode.WATCH_COMPACTED:
                            raise WatchCompactedError(reply.revision)
                        revision = max(revision, reply.revision)
                        for event in reply.events:
                            yield event
            await asyncio.sleep(RETRY_DELAY_S)

    async def _watch_member(self, name: str, pattern: str, revision: int) -> AsyncGenerator[Reply, None]:
        """Yield one member's replies to a watch, until it ends the connection or is silent."""
        async with asyncio.timeout(WATCH_SILENCE_S):
            sock = await connect(self._members[name])
        with sock:
            request = Request(RequestKind.WATCH, key=pattern, after_revision=revision)
            await asyncio.get_running_loop().sock_sendall(sock, encode_frame(request))
            frames = FrameReader(sock)
            while True:
                async with asyncio.timeout(WATCH_SILENCE_S):
                    reply = await frames.read(Reply)
                if reply is None:
                    return
                yield reply
