"""`ProposalQueue`: group commit, and the results of commands."""

from __future__ import annotations

import asyncio
from math import inf

import msgspec
import pytest
from raft_nodes import acknowledge_all, make_leader

from wheatstile.store import proposal_queue
from wheatstile.store.commands import Command, CommandResult
from wheatstile.store.errors import NotLeaderError, OutcomeUnknownError
from wheatstile.store.proposal_queue import MAX_GROUP_COMMANDS, ProposalQueue
from wheatstile.store.raft.messages import Entry, EntryKind
from wheatstile.store.raft.node import RaftNode

CLOCK_MS = 1234


def make_queue(node: RaftNode) -> ProposalQueue:
    """Return an empty queue. The caller must run in an event loop."""
    return ProposalQueue(node, lambda: CLOCK_MS)


def propose_command(queue: ProposalQueue) -> asyncio.Future[CommandResult]:
    """Submit a command, propose the commands that are due, and return the future of the command's result."""
    result = queue.submit(Command())
    queue.propose_due()
    return result


def test_commands_wait_until_the_previous_group_is_committed_and_are_proposed_together(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(proposal_queue, "MAX_GROUP_WAIT_S", inf)  # independent of the machine's speed

    async def scenario() -> None:
        leader = make_leader()
        queue = make_queue(leader)
        first_index = leader.log.last_index + 1
        propose_command(queue)
        for _ in range(3):
            queue.submit(Command())
        queue.propose_due()
        assert leader.log.last_index == first_index
        acknowledge_all(leader, "b")
        queue.propose_due()
        assert leader.log.last_index == first_index + 3

    asyncio.run(scenario())


def test_a_full_group_does_not_wait_for_the_previous_group() -> None:
    async def scenario() -> None:
        leader = make_leader()
        queue = make_queue(leader)
        first_index = leader.log.last_index + 1
        propose_command(queue)
        for _ in range(MAX_GROUP_COMMANDS):
            queue.submit(Command())
        queue.propose_due()
        assert leader.log.last_index == first_index + MAX_GROUP_COMMANDS

    asyncio.run(scenario())


def test_a_command_has_a_timestamp_and_gets_its_result_when_it_is_applied() -> None:
    async def scenario() -> None:
        leader = make_leader()
        queue = make_queue(leader)
        result = propose_command(queue)
        entry = leader.log.entries[-1]
        assert msgspec.msgpack.decode(entry.data, type=Command).clock_ms == CLOCK_MS
        queue.on_applied(entry, CommandResult(True, entry.index))
        assert await result == CommandResult(True, entry.index)

    asyncio.run(scenario())


def test_a_cancelled_command_is_not_proposed() -> None:
    async def scenario() -> None:
        leader = make_leader()
        queue = make_queue(leader)
        last_index = leader.log.last_index
        queue.submit(Command()).cancel()
        queue.propose_due()
        assert leader.log.last_index == last_index

    asyncio.run(scenario())


def test_a_command_whose_entry_another_leader_replaced_fails() -> None:
    async def scenario() -> None:
        leader = make_leader()
        queue = make_queue(leader)
        result = propose_command(queue)
        other = Entry(leader.term + 1, leader.log.last_index, EntryKind.NOOP)
        queue.on_applied(other, CommandResult(True, other.index))
        with pytest.raises(NotLeaderError):
            await result

    asyncio.run(scenario())


def test_the_outcome_of_a_command_covered_by_a_snapshot_is_unknown() -> None:
    async def scenario() -> None:
        leader = make_leader()
        queue = make_queue(leader)
        result = propose_command(queue)
        queue.on_snapshot_installed(leader.log.last_index)
        with pytest.raises(OutcomeUnknownError, match="covered by an installed snapshot"):
            await result

    asyncio.run(scenario())
