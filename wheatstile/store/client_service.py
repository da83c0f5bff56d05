"""Serves client requests. A connection carries either a sequence of requests or one watch."""

from __future__ import annotations

import asyncio
import socket
from functools import partial
from itertools import islice

from wheatstile.store.commands import validate
from wheatstile.store.errors import (
    InvalidCommandError,
    MembershipChangeRejectedError,
    NotLeaderError,
    OutcomeUnknownError,
)
from wheatstile.store.framing import MAX_REQUEST_BYTES, FrameReader, encode_frame
from wheatstile.store.member import Member
from wheatstile.store.protocol import LINEARIZABLE, ErrorCode, KeyVersion, Reply, Request, RequestKind
from wheatstile.store.reply_parts import divide_reply
from wheatstile.store.state_machine import Version
from wheatstile.store.watch_stream import WatchStream

MAX_CLIENTS = 1024
"""Maximum number of concurrent client connections. Further connections are closed."""
MAX_LISTED_KEYS = 10_000
"""Maximum number of keys in the result of one read."""
MAX_REQUEST_TIMEOUT_MS = 60_000
BACKUP_CHUNK_BYTES = 1 << 20
SEND_TIMEOUT_S = 5.0
"""Time limit for sending one reply, after which the connection is closed."""
TRANSFER_POLL_INTERVAL_S = 0.01


async def send_reply(sock: socket.socket, reply: Reply) -> None:
    """Send one reply. Raises OSError, and TimeoutError if the client does not read the reply in time."""
    async with asyncio.timeout(SEND_TIMEOUT_S):
        await asyncio.get_running_loop().sock_sendall(sock, encode_frame(reply))


class ClientService:
    """Serves the requests of all clients of one member."""

    def __init__(self, member: Member) -> None:
        self._member = member
        self._client_count = 0

    async def serve(self, sock: socket.socket) -> None:
        """Serve one connection until it ends. Raises `ProtocolError`, `msgspec.DecodeError`, OSError."""
        if self._client_count >= MAX_CLIENTS:
            return
        self._client_count += 1
        try:
            await self._serve_requests(sock)
        finally:
            self._client_count -= 1

    async def _serve_requests(self, sock: socket.socket) -> None:
        frames = FrameReader(sock, MAX_REQUEST_BYTES)
        while (request := await frames.read(Request)) is not None:
            if request.kind is RequestKind.WATCH:
                send = partial(send_reply, sock)
                await WatchStream(self._member, send, request.key, request.after_revision).run()
                return
            reply = await self._reply_to(request)
            if request.kind is RequestKind.BACKUP and reply.error is ErrorCode.NONE:
                await self._send_backup(sock)
            else:
                for part in divide_reply(reply):
                    await send_reply(sock, part)

    async def _reply_to(self, request: Request) -> Reply:
        """Process a request within its timeout, and return the result or the error as a reply."""
        timeout_ms = min(max(request.timeout_ms, 1), MAX_REQUEST_TIMEOUT_MS)
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                return await self._dispatch(request)
        except TimeoutError:
            reason = f"the request was not completed within {request.timeout_ms} ms"
            return Reply(ErrorCode.OUTCOME_UNKNOWN, reason, self._member.node.leader or "")
        except OutcomeUnknownError as error:
            return Reply(ErrorCode.OUTCOME_UNKNOWN, error.reason)
        except NotLeaderError as error:
            return Reply(ErrorCode.NOT_LEADER, str(error), error.leader or "")
        except MembershipChangeRejectedError as error:
            return Reply(ErrorCode.REJECTED, error.reason)
        except InvalidCommandError as error:
            return Reply(ErrorCode.INVALID, error.reason)

    async def _dispatch(self, request: Request) -> Reply:
        member = self._member
        match request.kind:
            case RequestKind.WRITE:
                return await self._write(request)
            case RequestKind.CHANGE_MEMBERS:
                await member.change_members(request.voters, request.learners)
                return Reply(status=member.status())
            case RequestKind.TRANSFER_LEADERSHIP:
                return await self._transfer_leadership(request.key)
            case RequestKind.STATUS:
                return Reply(status=member.status())
            case RequestKind.BACKUP:
                await member.wait_until_current()
                return Reply()
        return await self._read(request)

    async def _write(self, request: Request) -> Reply:
        if request.command is None:
            return Reply(ErrorCode.INVALID, "the write request has no command")
        validate(request.command)
        result = await self._member.write(request.command)
        return Reply(result=result, revision=result.revision)

    async def _transfer_leadership(self, target: str) -> Reply:
        """Transfer leadership, and return the reply when a new term has begun."""
        term = self._member.node.term
        self._member.transfer_leadership(target)
        while self._member.node.term == term:  # noqa: ASYNC110  no event signals a change of the term
            await asyncio.sleep(TRANSFER_POLL_INTERVAL_S)
        return Reply(status=self._member.status())

    async def _read(self, request: Request) -> Reply:
        """Return the reply to a get, list or history request, from a state that is as recent as requested."""
        member = self._member
        if request.max_staleness_ms <= LINEARIZABLE:
            await member.wait_until_current()
        elif member.commit_age_ms > request.max_staleness_ms:
            age_ms = member.commit_age_ms
            reason = f"the state may be {age_ms} ms old; the request allows {request.max_staleness_ms} ms"
            return Reply(ErrorCode.STALE, reason, commit_age_ms=age_ms)
        versions = self._find_versions(request)
        if len(versions) > MAX_LISTED_KEYS:
            reason = f'more than {MAX_LISTED_KEYS} keys match "{request.key}"'
            return Reply(ErrorCode.INVALID, reason)
        return Reply(versions=versions, revision=member.applied.index, commit_age_ms=member.commit_age_ms)

    def _find_versions(self, request: Request) -> list[KeyVersion]:
        """Return the versions that a read requests, for at most `MAX_LISTED_KEYS` + 1 keys."""
        state_machine = self._member.applied.state_machine
        found: list[tuple[str, Version]] = []
        match request.kind:
            case RequestKind.GET:
                version = state_machine.get(request.key)
                found = [(request.key, version)] if version else []
            case RequestKind.LIST:
                found = list(islice(state_machine.matching_keys(request.key), MAX_LISTED_KEYS + 1))
            case RequestKind.HISTORY:
                versions = state_machine.keys.get(request.key, [])
                found = [(request.key, version) for version in versions]
        return [
            KeyVersion(key, version.revision, version.change, version.value, version.written_at_ms)
            for key, version in found
        ]

    async def _send_backup(self, sock: socket.socket) -> None:
        """Send the complete current state in chunks."""
        data = self._member.applied.state_machine.dump()
        revision = self._member.applied.index
        for start in range(0, len(data), BACKUP_CHUNK_BYTES):
            chunk = data[start : start + BACKUP_CHUNK_BYTES]
            remaining_bytes = len(data) - start - len(chunk)
            await send_reply(sock, Reply(revision=revision, chunk=chunk, remaining_bytes=remaining_bytes))
