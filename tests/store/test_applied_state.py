"""`AppliedState`: application of committed entries, and the store's clock."""

from __future__ import annotations

import asyncio

import msgspec
from raft_nodes import acknowledge_all, elect, make_node

from wheatstile.store.applied_state import AppliedState
from wheatstile.store.commands import Command, Operation, OperationKind
from wheatstile.store.raft.messages import Configuration, Snapshot
from wheatstile.store.raft.node import RaftNode
from wheatstile.store.state_machine import StateMachine


def ignore_trace(_line: str) -> None:
    pass


def apply_committed(node: RaftNode, applied: AppliedState) -> None:
    """Apply the node's committed entries to `applied`."""
    for entry in node.ready().committed_entries:
        applied.apply(entry)


def test_the_leader_clock_starts_when_the_first_entry_of_the_leader_is_applied() -> None:
    node = make_node()
    applied = AppliedState(node, None, ignore_trace)
    elect(node, "bc")
    applied.state_machine.clock_ms = 1000
    assert applied.clock_ms() == 1000
    acknowledge_all(node, "b")
    apply_committed(node, applied)
    started_ms = applied.clock_ms()
    assert started_ms >= 1000
    while applied.clock_ms() == started_ms:
        pass  # wait until the monotonic clock advances; no further entry is applied
    assert applied.state_machine.clock_ms == 1000


def test_an_expiration_is_due_by_the_leader_clock_before_the_committed_clock_advances() -> None:
    node = make_node()
    applied = AppliedState(node, None, ignore_trace)
    elect(node, "bc")
    put = Operation(OperationKind.PUT, "k", b"", ttl_ms=1)
    node.propose(msgspec.msgpack.encode(Command([put])))
    acknowledge_all(node, "b")
    apply_committed(node, applied)
    while not applied.is_expiration_due():
        pass
    assert applied.state_machine.get("k"), "the key expired before a command advanced the committed clock"


def test_an_installed_snapshot_replaces_the_state_and_is_traced() -> None:
    lines: list[str] = []
    applied = AppliedState(make_node(), None, lines.append)
    machine = StateMachine()
    machine.apply(1, Command([Operation(OperationKind.PUT, "k", b"v")]))
    applied.install(Snapshot(7, 1, Configuration(frozenset("abc")), machine.dump()))
    assert applied.state_machine.get("k")
    assert lines == ["snapshot 7"]


def test_tasks_that_wait_for_the_next_apply_are_woken() -> None:
    async def scenario() -> None:
        applied = AppliedState(make_node(), None, ignore_trace)
        event = applied.next_apply
        applied.notify_applied()
        await event.wait()
        assert not applied.next_apply.is_set()

    asyncio.run(scenario())
