"""`Member`: several members in one process, between which the test delivers the messages."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import ExitStack, asynccontextmanager, closing
from pathlib import Path

import msgspec
import pytest

from wheatstile.store.commands import Command, Operation, OperationKind
from wheatstile.store.member import Member
from wheatstile.store.member_config import MemberConfig
from wheatstile.store.raft.messages import (
    Configuration,
    Entry,
    EntryKind,
    Message,
    MessageKind,
    Role,
    Snapshot,
)
from wheatstile.store.state_machine import StateMachine, Version

STEP_S = 0.01
TIMEOUT_S = 10
READ_INDEX = 2
SNAPSHOT_INDEX = 3
MAX_CURRENT_AGE_MS = 1_000


class ConnectedMembers:
    """Member `a`, the only voter, and member `b`, which the test adds. Messages can be delayed."""

    def __init__(self, directory: Path, is_delayed: Callable[[Message], bool]) -> None:
        self._is_delayed = is_delayed
        self._delayed: list[Message] = []
        self.members = {
            name: Member(MemberConfig(name, frozenset(voters), directory / name), self._send)
            for name, voters in (("a", "a"), ("b", ""))
        }

    def _send(self, message: Message) -> None:
        if self._is_delayed(message):
            self._delayed.append(message)
        else:
            asyncio.get_running_loop().call_soon(self.members[message.recipient].on_message, message)

    def deliver_delayed(self) -> None:
        """Deliver the delayed messages, and delay no further messages."""
        self._is_delayed = lambda _message: False
        for message in self._delayed:
            self._send(message)

    async def wait_until_leader(self, name: str) -> Member:
        """Wait until a member is the leader and has committed an entry, and return it."""
        member = self.members[name]
        while not (member.node.role is Role.LEADER and member.node.state.has_committed_in_term):
            await asyncio.sleep(STEP_S)
        return member


def has_final_configuration(message: Message) -> bool:
    """Return whether a message has an entry with a configuration that contains only `b`."""
    configurations = [entry.configuration for entry in message.entries if entry.configuration]
    return any(not each.outgoing_voters and each.members == frozenset("b") for each in configurations)


def test_a_membership_change_returns_only_after_its_final_configuration_is_committed(tmp_path: Path) -> None:
    """Guards against the loss of the store if a removed leader is stopped as soon as the change returns."""

    async def scenario() -> None:
        cluster = ConnectedMembers(tmp_path, has_final_configuration)
        with ExitStack() as stack:
            running = [asyncio.create_task(member.run()) for member in cluster.members.values()]
            for member in cluster.members.values():
                stack.enter_context(closing(member))
            leader = await cluster.wait_until_leader("a")
            await leader.change_members(["a"], ["b"])
            change = asyncio.create_task(leader.change_members(["b"], []))
            while leader.node.log.configuration.members != {"b"}:
                await asyncio.sleep(STEP_S)
            await asyncio.wait([change], timeout=20 * STEP_S)
            assert not change.done(), (
                "the change returned while only the removed leader had the final configuration"
            )
            cluster.deliver_delayed()
            await change
            assert (await cluster.wait_until_leader("b")).node.log.configuration.voters == {"b"}
            for task in running:
                task.cancel()

    asyncio.run(asyncio.wait_for(scenario(), TIMEOUT_S))


@asynccontextmanager
async def open_follower(directory: Path) -> AsyncIterator[Member]:
    """Yield member `b` as a follower of the leader `a` in term 1, whose log it has up to `READ_INDEX`."""
    with closing(Member(MemberConfig("b", frozenset("ab"), directory), lambda _message: None)) as member:
        entries = tuple(Entry(1, index, EntryKind.NOOP) for index in range(1, READ_INDEX + 1))
        member.on_message(Message(MessageKind.APPEND, "a", "b", 1, entries=entries, commit=READ_INDEX))
        await asyncio.sleep(0)
        yield member


def make_snapshot_message() -> Message:
    """Return a message with the only chunk of a snapshot at `SNAPSHOT_INDEX`, which contains the key `k`."""
    machine = StateMachine()
    machine.apply(SNAPSHOT_INDEX, Command([Operation(OperationKind.PUT, "k", b"new")]))
    data = machine.dump()
    snapshot = Snapshot(SNAPSHOT_INDEX, 1, Configuration(frozenset("ab")), data)
    return Message(MessageKind.SNAPSHOT, "a", "b", 1, snapshot=snapshot, snapshot_size=len(data))


def test_a_read_waits_until_a_received_snapshot_is_installed(tmp_path: Path) -> None:
    """Guards against linearizable reads of the state from before the snapshot."""

    async def read_key(member: Member) -> tuple[Version | None, int]:
        await member.wait_until_current()
        return member.applied.state_machine.get("k"), member.applied.index

    async def scenario() -> None:
        async with open_follower(tmp_path) as member:
            read = asyncio.create_task(read_key(member))
            await asyncio.sleep(0)
            [request_id] = member.node.state.forwarded_reads
            reply = Message(MessageKind.READ_REPLY, "a", "b", 1, index=SNAPSHOT_INDEX, context=request_id)
            member.on_message(reply)
            await asyncio.sleep(0)  # the read index is known, and the read goes on in the next iteration
            member.on_message(make_snapshot_message())
            version, revision = await read
            assert version, "the read returned before the installation"
            assert revision == SNAPSHOT_INDEX

    asyncio.run(asyncio.wait_for(scenario(), TIMEOUT_S))


@pytest.mark.parametrize("has_snapshot", [True, False], ids=["snapshot", "entry"])
def test_the_age_and_the_index_of_the_state_are_not_those_of_a_state_to_be_applied(
    tmp_path: Path, has_snapshot: bool
) -> None:
    """Guards against reads that are older than `max_staleness_ms`, and revisions that are not applied."""

    async def scenario() -> None:
        async with open_follower(tmp_path) as member:
            age_ms = member.commit_age_ms
            entry = Entry(1, SNAPSHOT_INDEX, EntryKind.NOOP)
            append = Message(MessageKind.APPEND, "a", "b", 1, READ_INDEX, 1, (entry,), SNAPSHOT_INDEX)
            if has_snapshot:
                member.on_message(make_snapshot_message())
                append = msgspec.structs.replace(append, index=SNAPSHOT_INDEX, entries=())
            member.on_message(msgspec.structs.replace(append, echoed_tick=member.node.ticks))
            assert member.commit_age_ms >= age_ms
            assert member.status().applied_index == READ_INDEX
            await asyncio.sleep(0)
            assert member.commit_age_ms < MAX_CURRENT_AGE_MS
            assert member.status().applied_index == SNAPSHOT_INDEX

    asyncio.run(asyncio.wait_for(scenario(), TIMEOUT_S))


def test_an_unexpected_error_while_entries_are_applied_ends_the_member(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a member that goes on without the entries that it could not apply."""

    def fail(*_arguments: object) -> None:
        raise ValueError("the command cannot be applied")

    async def scenario() -> None:
        with closing(Member(MemberConfig("a", frozenset("a"), tmp_path), fail)) as member:
            monkeypatch.setattr(member.applied, "apply", fail)
            await member.run()

    with pytest.raises(ValueError, match="cannot be applied"):
        asyncio.run(asyncio.wait_for(scenario(), TIMEOUT_S))
