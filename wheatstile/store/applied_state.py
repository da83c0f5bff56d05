"""Applies committed log entries to a member's state machine, and provides the store's clock."""

from __future__ import annotations

import asyncio
import zlib
from collections.abc import Callable

import msgspec

from wheatstile.store.commands import Command, CommandResult
from wheatstile.store.leader_clock import LeaderClock
from wheatstile.store.raft.messages import Entry, EntryKind, Role, Snapshot
from wheatstile.store.raft.node import RaftNode
from wheatstile.store.state_machine import StateMachine


class AppliedState:
    """Applies committed entries of `node` to a state machine, which starts from `snapshot` or empty.

    Each installed snapshot and each applied entry is reported to `trace` as one line.
    """

    def __init__(self, node: RaftNode, snapshot: Snapshot | None, trace: Callable[[str], None]) -> None:
        self._node = node
        self._trace = trace
        self._leader_clock = LeaderClock()
        self.state_machine = StateMachine.load(snapshot.data if snapshot else b"")
        self.index = snapshot.index if snapshot else 0
        """Index of the last entry that the state includes, which is the revision of this member's state.

        It may be lower than the log's `applied_index`, which includes what the node has handed out, and a
        snapshot that it has yet to hand out.
        """
        self._confirmed_at_tick = node.confirmed_at_tick
        self.next_apply = asyncio.Event()
        """Set when the next entry or snapshot has been applied, and then replaced by a new event."""

    @property
    def age_ticks(self) -> int:
        """Upper bound, in ticks, on the time by which the state lags behind the leader's commit index."""
        return self._node.ticks - self._confirmed_at_tick

    async def wait_for(self, index: int) -> None:
        """Wait until the entry at `index` is applied."""
        while self.index < index:
            await self.next_apply.wait()

    def clock_ms(self) -> int:
        """Return the time of the leader clock if it is running, and of the committed clock otherwise."""
        committed_ms = self.state_machine.clock_ms
        if self._leader_clock.term != self._node.term or self._node.role is not Role.LEADER:
            return committed_ms
        return self._leader_clock.now_ms(committed_ms)

    def is_expiration_due(self) -> bool:
        """Return whether a key has expired by the leader clock, but not by the committed clock."""
        expires_at_ms = self.state_machine.next_expiration_ms()
        if expires_at_ms is None or self._leader_clock.term != self._node.term:
            return False
        return expires_at_ms <= self.clock_ms()

    def install(self, snapshot: Snapshot) -> None:
        """Replace the state with that of a snapshot."""
        self.state_machine = StateMachine.load(snapshot.data)
        self.index = snapshot.index
        self._trace(f"snapshot {snapshot.index}")

    def apply(self, entry: Entry) -> CommandResult:
        """Apply a committed entry and return its result."""
        result = CommandResult(True, entry.index)
        if entry.kind is EntryKind.DATA:
            command = msgspec.msgpack.decode(entry.data, type=Command)
            result = self.state_machine.apply(entry.index, command)
        elif self._is_first_entry_as_leader(entry):
            self._leader_clock.start(entry.term, self.state_machine.clock_ms)
        self.index = entry.index
        self._trace(f"applied {entry.index} {entry.term} {zlib.crc32(entry.data):08x} {int(result.ok)}")
        return result

    def _is_first_entry_as_leader(self, entry: Entry) -> bool:
        is_leader = entry.term == self._node.term and self._node.role is Role.LEADER
        return is_leader and self._leader_clock.term != entry.term

    def on_ready_processed(self) -> None:
        """Record that the state includes everything up to the node's commit index."""
        self._confirmed_at_tick = self._node.confirmed_at_tick

    def notify_applied(self) -> None:
        """Wake all tasks that wait for `next_apply`."""
        event = self.next_apply
        self.next_apply = asyncio.Event()
        event.set()
