"""`StoreClient` with scripted members: the errors that it retries, and the members that it selects."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import msgspec
import pytest

from wheatstile.store.client import StoreClient
from wheatstile.store.commands import CommandResult
from wheatstile.store.errors import OutcomeUnknownError, RequestRejectedError, WatchCompactedError
from wheatstile.store.event_history import ChangeKind, Event
from wheatstile.store.framing import LENGTH_PREFIX, encode_frame
from wheatstile.store.protocol import ErrorCode, Reply, Request, RequestKind

WRITTEN = Reply(result=CommandResult(True, 7), revision=7)


class ScriptedMember:
    """Replies to each request with the next reply. Closes the connection after the last one, or for None."""

    def __init__(self, *replies: Reply | None) -> None:
        self.replies = list(replies)
        self.requests: list[Request] = []

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while self.replies and (prefix := await reader.read(LENGTH_PREFIX.size)):
                (length,) = LENGTH_PREFIX.unpack(prefix)
                body = await reader.readexactly(length)
                self.requests.append(msgspec.msgpack.decode(body, type=Request))
                reply = self.replies.pop(0)
                if reply is None:
                    return
                writer.write(encode_frame(reply))
        finally:
            writer.close()


class ChunkedMember(ScriptedMember):
    """Replies to a request for a backup with three chunks."""

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.read(1024)
        for chunk, remaining_bytes in ((b"ab", 3), (b"cd", 1), (b"e", 0)):
            writer.write(encode_frame(Reply(revision=9, chunk=chunk, remaining_bytes=remaining_bytes)))
        await reader.read()
        writer.close()


@asynccontextmanager
async def serve_members(timeout_s: float = 5.0, **members: ScriptedMember) -> AsyncIterator[StoreClient]:
    """Serve the members, yield a client that tries them in the order of their names, and close all."""
    servers = {
        name: await asyncio.start_server(member.serve, "127.0.0.1", 0) for name, member in members.items()
    }
    ports = {name: server.sockets[0].getsockname()[1] for name, server in servers.items()}
    client = StoreClient(ports, timeout_s)
    try:
        yield client
    finally:
        client.close()
        for server in servers.values():
            server.close()


def test_a_client_sends_its_requests_to_the_leader_that_a_member_names() -> None:
    async def scenario() -> None:
        follower = ScriptedMember(Reply(ErrorCode.NOT_LEADER, leader="c"))
        leader = ScriptedMember(WRITTEN, WRITTEN)
        async with serve_members(a=follower, b=ScriptedMember(), c=leader) as client:
            assert (await client.put("k", b"v")).revision == 7
            assert (await client.put("k", b"v")).revision == 7
        assert (len(follower.requests), len(leader.requests)) == (1, 2)

    asyncio.run(scenario())


@pytest.mark.parametrize("failure", [None, Reply(ErrorCode.OUTCOME_UNKNOWN), Reply(ErrorCode.STALE)])
def test_a_retried_write_carries_the_same_session_and_sequence(failure: Reply | None) -> None:
    async def scenario() -> None:
        first = ScriptedMember(failure)
        second = ScriptedMember(WRITTEN, WRITTEN)
        async with serve_members(a=first, b=second) as client:
            await client.put("k", b"v")
            await client.put("k", b"v")
        commands = [request.command for request in [*first.requests, *second.requests] if request.command]
        assert [command.sequence for command in commands] == [1, 1, 2]
        assert len({command.session_id for command in commands}) == 1

    asyncio.run(scenario())


@pytest.mark.parametrize("code", [ErrorCode.REJECTED, ErrorCode.INVALID])
def test_a_final_error_is_raised_and_the_next_write_starts_a_new_session(code: ErrorCode) -> None:
    async def scenario() -> None:
        member = ScriptedMember(Reply(code, "why"), WRITTEN)
        async with serve_members(a=member) as client:
            with pytest.raises(RequestRejectedError) as caught:
                await client.put("k", b"v")
            assert (caught.value.code, caught.value.reason) == (code, "why")
            await client.put("k", b"v")
        commands = [request.command for request in member.requests if request.command]
        assert [command.sequence for command in commands] == [1, 1]
        assert len({command.session_id for command in commands}) == 2

    asyncio.run(scenario())


def test_the_outcome_is_unknown_if_no_member_replies_in_time() -> None:
    async def scenario() -> None:
        client = StoreClient({"a": 1}, timeout_s=0.1)  # nothing listens on port 1
        with pytest.raises(OutcomeUnknownError, match="a: "):
            await client.put("k", b"v")
        client.close()

    asyncio.run(scenario())


def test_a_backup_is_assembled_from_its_chunks() -> None:
    async def scenario() -> None:
        async with serve_members(a=ChunkedMember()) as client:
            state = await client.download_state()
        assert (state.revision, state.data) == (9, b"abcde")

    asyncio.run(scenario())


def test_a_watch_continues_with_another_member_after_its_last_revision() -> None:
    async def scenario() -> None:
        events = [Event(revision, "k", ChangeKind.PUT, b"") for revision in (5, 6)]
        members = [ScriptedMember(Reply(events=[event], revision=event.revision)) for event in events]
        seen: list[int] = []
        async with serve_members(b=members[0], a=members[1]) as client:  # the first watch is sent to b
            async for event in client.watch("k", 4):
                seen.append(event.revision)
                if len(seen) == len(events):
                    break
        assert seen == [5, 6]

    asyncio.run(scenario())


def test_a_watch_that_requires_discarded_events_raises_an_error() -> None:
    async def scenario() -> None:
        member = ScriptedMember(Reply(ErrorCode.WATCH_COMPACTED, "the oldest is after 40", revision=40))
        async with serve_members(a=member) as client:
            with pytest.raises(WatchCompactedError) as caught:
                async for _ in client.watch("k", 4):
                    pass
        assert caught.value.compacted_revision == 40
        (request,) = member.requests
        assert (request.kind, request.key, request.after_revision) == (RequestKind.WATCH, "k", 4)

    asyncio.run(scenario())


class MalformedMember(ScriptedMember):
    """Sends a frame that is not a reply."""

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.read(1024)
        writer.write(encode_frame("no reply"))
        await reader.read()
        writer.close()


def test_a_watch_fails_if_no_member_sends_replies_that_can_be_decoded() -> None:
    """Guards against a watch that requests the same events for ever, without an error."""

    async def scenario() -> None:
        working = ScriptedMember(Reply(events=[Event(5, "k", ChangeKind.PUT, b"")], revision=5))
        async with serve_members(a=MalformedMember(), b=working, c=MalformedMember()) as client:
            events = client.watch("k", 4)
            assert (await anext(events)).revision == 5
            with pytest.raises(OutcomeUnknownError, match="the reply after revision 5 cannot be decoded"):
                await anext(events)

    asyncio.run(asyncio.wait_for(scenario(), 10))


class MemberThatStopsReplying(ScriptedMember):
    """Replies to the scripted requests of the first connection, and to no later request."""

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.replies:
            await super().serve(reader, writer)
        else:
            await reader.read()


def test_the_reason_of_an_error_reply_is_reported_if_a_shortened_last_attempt_times_out() -> None:
    """Guards against "TimeoutError" as the reported reason after a member has rejected a read as stale."""

    async def scenario() -> None:
        member = MemberThatStopsReplying(Reply(ErrorCode.STALE, "the state may be 900 ms old"))
        async with serve_members(timeout_s=0.3, a=member) as client:  # shorter than one attempt
            with pytest.raises(OutcomeUnknownError, match="the state may be 900 ms old"):
                await client.get("k", max_staleness_ms=200)

    asyncio.run(scenario())
