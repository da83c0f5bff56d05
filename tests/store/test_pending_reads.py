"""`PendingReads`: reads that wait for their read index."""

from __future__ import annotations

import asyncio

import pytest
from raft_nodes import acknowledge_all, make_follower, make_leader

from wheatstile.store.errors import NotLeaderError
from wheatstile.store.pending_reads import PendingReads
from wheatstile.store.raft.messages import Message, MessageKind


async def start_read(reads: PendingReads) -> asyncio.Task[int]:
    """Return a task that has requested a read index and waits for it."""
    read = asyncio.create_task(reads.read_index())
    await asyncio.sleep(0)
    return read


def test_a_read_returns_its_read_index_after_a_quorum_has_confirmed_it() -> None:
    async def scenario() -> None:
        leader = make_leader()
        reads = PendingReads(leader, lambda: None)
        read = await start_read(reads)
        reads.on_ready(leader.ready())
        assert not read.done()
        acknowledge_all(leader, "b")
        reads.on_ready(leader.ready())
        assert await read == leader.log.commit_index

    asyncio.run(scenario())


def test_a_read_forwarded_to_a_leader_fails_when_that_leader_is_replaced() -> None:
    async def scenario() -> None:
        node = make_follower()
        reads = PendingReads(node, lambda: None)
        read = await start_read(reads)
        node.step(Message(MessageKind.APPEND, "c", "a", 2))
        reads.on_ready(node.ready())
        with pytest.raises(NotLeaderError) as caught:
            await read
        assert caught.value.leader == "c"

    asyncio.run(scenario())


def test_a_cancelled_read_is_discarded() -> None:
    async def scenario() -> None:
        node = make_follower()
        reads = PendingReads(node, lambda: None)
        read = await start_read(reads)
        read.cancel()
        with pytest.raises(asyncio.CancelledError):
            await read
        assert node.state.forwarded_reads == set()

    asyncio.run(scenario())
