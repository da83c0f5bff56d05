"""One member of the store without its sockets: Raft, storage, state machine, and the requests that wait.

What comes up within one turn of the event loop is processed together, with one fsync for all (group commit).
"""

from __future__ import annotations

import asyncio
import itertools
import random
import time
import zlib
from collections.abc import Callable
from contextlib import suppress
from types import TracebackType
from typing import Self

import msgspec
import structlog

from wheatstile.store.commands import Command, CommandResult
from wheatstile.store.errors import NotLeaderError, StorageFailedError
from wheatstile.store.leader_clock import LeaderClock
from wheatstile.store.member_config import MemberConfig
from wheatstile.store.proposal_queue import ProposalQueue
from wheatstile.store.protocol import MemberStatus
from wheatstile.store.raft.messages import Entry, EntryKind, Message, Ready, Role, Snapshot
from wheatstile.store.raft.node import RaftNode
from wheatstile.store.state_machine import StateMachine
from wheatstile.store.storage import Storage

log = structlog.get_logger()

TICK_S = 0.05
"""Length of a Raft tick: an election time-out is 0.5 to 1 s, a heartbeat goes every 0.1 s."""
MAX_CATCH_UP_TICKS = 100
"""Ticks made up for after a pause; a leader steps down within them, a follower starts an election."""


class Member:
    """A running member; `close` releases its files, also at the end of a `with` statement.

    `send` takes a message for another member, and may lose it. Needs a running event loop. Raises
    `CorruptStorageError`, OSError.
    """

    def __init__(self, config: MemberConfig, send: Callable[[Message], None]) -> None:
        self.config = config
        self._send = send
        self._loop = asyncio.get_running_loop()
        self.storage = Storage(config.directory, config.cluster, config.name)
        recovered = self.storage.recovered
        if recovered.torn_bytes:
            log.warning("store_torn_record_truncated", truncated_bytes=recovered.torn_bytes)
        self.state_machine = StateMachine.load(recovered.snapshot.data if recovered.snapshot else b"")
        self.node = RaftNode(
            config.name,
            config.voters,
            random.Random(f"{config.seed}:{config.name}").randrange,
            hard_state=recovered.hard_state,
            snapshot=recovered.snapshot,
            entries=recovered.entries,
            ticks=self._now_ticks(),
        )
        self.failed: asyncio.Future[None] = self._loop.create_future()
        """Ends with `StorageFailedError`."""
        self.next_application = asyncio.Event()
        """Set when something is applied next, and then replaced by a new event."""
        self._leader_clock = LeaderClock()
        self._proposals = ProposalQueue(self.node, self.clock_ms)
        self._reads: dict[int, asyncio.Future[int]] = {}  # request identifier -> its read index
        # An answer to a read of this member's previous incarnation may still arrive: no identifier repeats.
        self._request_ids = itertools.count(time.monotonic_ns())
        self._is_flush_scheduled = False
        self._last_logged_role = Role.FOLLOWER

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        self.close()

    def close(self) -> None:
        """Close the files."""
        self.storage.close()

    @staticmethod
    def _now_ticks() -> int:
        return int(time.monotonic() / TICK_S)

    async def run(self) -> None:
        """Keep time until the storage fails. Raises `StorageFailedError`."""
        while not self.failed.done():
            self.catch_up()
            self._propose_expiration()
            self.schedule_flush()
            await asyncio.wait([self.failed], timeout=TICK_S)
        self.failed.result()

    def catch_up(self) -> None:
        """Bring Raft's clock up to the monotonic clock, also after the process was stopped for a while."""
        now = self._now_ticks()
        missed_ticks = now - self.node.ticks
        if missed_ticks > MAX_CATCH_UP_TICKS:
            log.warning("store_process_paused", paused_s=round(missed_ticks * TICK_S, 2))
            self.node.skip_ticks(missed_ticks - MAX_CATCH_UP_TICKS)
        while self.node.ticks < now:
            self.node.tick()

    @property
    def applied_index(self) -> int:
        """The index of the last applied entry, which is the store's revision on this member."""
        return self.node.log.applied_index

    @property
    def commit_age_ms(self) -> int:
        """By how much, at the most, a read that asks no other member may be behind."""
        self.catch_up()
        return (self.node.commit_age_ticks + 1) * int(TICK_S * 1000)

    def clock_ms(self) -> int:
        """Return the committed clock, as this member runs it on while it leads."""
        committed_ms = self.state_machine.clock_ms
        if self._leader_clock.term != self.node.term or self.node.role is not Role.LEADER:
            return committed_ms
        return self._leader_clock.now_ms(committed_ms)

    def status(self) -> MemberStatus:
        """Return what this member reports of itself."""
        raft_log = self.node.log
        configuration = self.node.configuration
        return MemberStatus(
            name=self.config.name,
            role=self.node.role,
            leader=self.node.leader or "",
            term=self.node.term,
            commit_index=raft_log.commit_index,
            applied_index=raft_log.applied_index,
            snapshot_index=raft_log.snapshot.index,
            voters=sorted(configuration.voters),
            learners=sorted(configuration.learners),
            is_changing_members=bool(configuration.outgoing_voters),
            commit_age_ms=self.commit_age_ms,
            clock_ms=self.clock_ms(),
            key_count=len(self.state_machine.keys),
            fsync_count=self.storage.fsync_count,
            cluster=self.config.cluster,
        )

    async def write(self, command: Command) -> CommandResult:
        """Return the command's result once it is committed and applied on this member.

        Raises `NotLeaderError`, `OutcomeUnknownError`.
        """
        self.catch_up()
        if self.node.role is not Role.LEADER:
            raise NotLeaderError(self.node.leader)
        result = self._proposals.submit(command)
        self.schedule_flush()
        return await result

    async def wait_until_current(self) -> None:
        """Return once all that was committed before the call is applied on this member (read index).

        Raises `NotLeaderError` where nobody leads; without a quorum it does not return.
        """
        self.catch_up()
        request_id = next(self._request_ids)
        read: asyncio.Future[int] = self._loop.create_future()
        self._reads[request_id] = read
        try:
            self.node.read(request_id)
            self.schedule_flush()
            index = await read
        finally:
            del self._reads[request_id]
            self.node.cancel_read(request_id)
        while self.applied_index < index:
            await self.next_application.wait()

    async def change_members(self, voters: list[str], learners: list[str]) -> None:
        """Return once these are the members. Raises `NotLeaderError`, `MembershipChangeRejectedError`."""
        index = self.node.change_members(voters, learners)
        self.schedule_flush()
        while self.applied_index < index or self.node.configuration.outgoing_voters:
            await self.next_application.wait()

    def transfer_leadership(self, target: str) -> None:
        """Begin to hand leadership to `target`. Raises `NotLeaderError`, `MembershipChangeRejectedError`."""
        self.node.transfer_leadership(target)
        self.schedule_flush()

    def on_message(self, message: Message) -> None:
        """Handle a message from another member."""
        self.catch_up()
        self.node.step(message)
        self.schedule_flush()

    def _propose_expiration(self) -> None:
        """Carry the committed clock on where a key expires and nobody writes."""
        expires_at_ms = self.state_machine.next_expiration_ms()
        if expires_at_ms is None or self._leader_clock.term != self.node.term:
            return
        now_ms = self.clock_ms()
        if expires_at_ms <= now_ms:
            with suppress(NotLeaderError):
                self.node.propose(msgspec.msgpack.encode(Command(clock_ms=now_ms)))

    def schedule_flush(self) -> None:
        """Process Raft's `Ready` in the next turn of the event loop."""
        if not self._is_flush_scheduled and not self.failed.done():
            self._is_flush_scheduled = True
            self._loop.call_soon(self._flush)

    def _flush(self) -> None:
        """Process one `Ready` in the order of its fields: persist, send, apply, answer reads."""
        self._is_flush_scheduled = False
        if self.failed.done():
            return
        self._proposals.propose_due()
        ready = self.node.ready()
        if ready.is_empty():
            return
        try:
            self._persist(ready)
        except OSError as error:
            self._fail(error)
            return
        if ready.snapshot is not None:
            self._install_snapshot(ready.snapshot)
        for message in ready.messages:
            self._send(message)
        for entry in ready.committed_entries:
            self._apply(entry)
        self._answer_reads(ready)
        if ready.committed_entries or ready.snapshot:
            self._announce_application()
        self._log_role_change()
        if self.applied_index - self.node.log.snapshot.index >= self.config.compact_every:
            self._compact()

    def _persist(self, ready: Ready) -> None:
        if ready.snapshot is None:
            self.storage.append(ready.hard_state, ready.entries)
        else:
            entries = list(self.node.log.entries)
            self.storage.save_snapshot(ready.snapshot, self.node.hard_state, entries)

    def _install_snapshot(self, snapshot: Snapshot) -> None:
        self.state_machine = StateMachine.load(snapshot.data)
        self._trace(f"snapshot {snapshot.index}")
        self._proposals.on_snapshot_installed(snapshot.index)

    def _apply(self, entry: Entry) -> None:
        result = CommandResult(True, entry.index)
        if entry.kind is EntryKind.DATA:
            command = msgspec.msgpack.decode(entry.data, type=Command)
            result = self.state_machine.apply(entry.index, command)
        elif self._is_first_entry_as_leader(entry):
            self._leader_clock.start(entry.term, self.state_machine.clock_ms)
        self._trace(f"applied {entry.index} {entry.term} {zlib.crc32(entry.data):08x} {int(result.ok)}")
        self._proposals.on_applied(entry, result)

    def _is_first_entry_as_leader(self, entry: Entry) -> bool:
        is_leader = entry.term == self.node.term and self.node.role is Role.LEADER
        return is_leader and self._leader_clock.term != entry.term

    def _answer_reads(self, ready: Ready) -> None:
        for read_state in ready.read_states:
            if read := self._unfinished_read(read_state.request_id):
                read.set_result(read_state.index)
        for request_id in ready.rejected_reads:
            if read := self._unfinished_read(request_id):
                read.set_exception(NotLeaderError(self.node.leader))

    def _unfinished_read(self, request_id: int) -> asyncio.Future[int] | None:
        """Return the read that waits under this identifier, unless its client has given up."""
        read = self._reads.get(request_id)
        return None if read is None or read.done() else read

    def _announce_application(self) -> None:
        event = self.next_application
        self.next_application = asyncio.Event()
        event.set()

    def _log_role_change(self) -> None:
        role = self.node.role
        if role is self._last_logged_role:
            return
        self._last_logged_role = role
        log.info("store_role_changed", role=role.value, term=self.node.term, leader=self.node.leader)
        if role is Role.LEADER:
            self._trace(f"leader {self.node.term}")

    def _compact(self) -> None:
        self.node.compact(self.state_machine.dump())
        raft_log = self.node.log
        try:
            self.storage.save_snapshot(raft_log.snapshot, self.node.hard_state, list(raft_log.entries))
        except OSError as error:
            self._fail(error)

    def _fail(self, error: OSError) -> None:
        self.failed.set_exception(StorageFailedError(str(self.config.directory), error))

    def _trace(self, line: str) -> None:
        if self.config.trace:
            print(line, flush=True)
