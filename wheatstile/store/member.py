"""Combines Raft, storage, state machine and pending requests into one member without networking.

All messages and requests of one iteration of the event loop are persisted with one fsync (group commit).
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress
from pathlib import Path

import msgspec
import structlog

from wheatstile.store.applied_state import AppliedState
from wheatstile.store.commands import Command, CommandResult
from wheatstile.store.directory_contents import DirectoryContents
from wheatstile.store.errors import NotLeaderError, StorageFailedError
from wheatstile.store.member_config import MemberConfig
from wheatstile.store.pending_reads import PendingReads
from wheatstile.store.proposal_queue import ProposalQueue
from wheatstile.store.protocol import MemberStatus
from wheatstile.store.raft.messages import Message, Ready, Role
from wheatstile.store.raft.node import RaftNode
from wheatstile.store.raft_clock import TICK_MS, TICK_S, catch_up, now_ticks
from wheatstile.store.storage import Storage

log = structlog.get_logger()


class Member:
    """One running member, created in a running event loop. `close` closes its files.

    `send` sends a message to another member; messages may be lost. Raises `CorruptStorageError`, OSError.
    """

    def __init__(self, config: MemberConfig, send: Callable[[Message], None]) -> None:
        self.config = config
        self._send = send
        self._loop = asyncio.get_running_loop()
        self._storage = Storage(config.directory, config.cluster, config.name)
        recovered = self._storage.recovered
        log_recovery(recovered)
        self.node = RaftNode(
            config.name,
            config.voters,
            random.Random(f"{config.seed}:{config.name}").randrange,
            hard_state=recovered.hard_state,
            snapshot=recovered.snapshot,
            entries=recovered.entries,
            ticks=now_ticks(),
        )
        self.applied = AppliedState(self.node, recovered.snapshot, self._trace)
        self._proposals = ProposalQueue(self.node, self.applied.clock_ms)
        self._reads = PendingReads(self.node, self.schedule_flush)
        # This future never has a result. It fails with StorageFailedError or any error that ends the member.
        self._failure: asyncio.Future[None] = self._loop.create_future()
        self._is_flush_scheduled = False
        self._last_logged_role = Role.FOLLOWER

    def close(self) -> None:
        """Close the files of the directory, and process no further `Ready`."""
        self._failure.cancel()
        self._storage.close()

    async def run(self) -> None:
        """Advance Raft's clock until the member fails.

        Raises `StorageFailedError`, and any unexpected error in the processing of a `Ready`: the member must
        stop then, because the state that it would continue from is incomplete.
        """
        while not self._failure.done():
            catch_up(self.node)
            self._propose_due_expiration()
            self.schedule_flush()
            await asyncio.wait([self._failure], timeout=TICK_S)
        self._failure.result()

    @property
    def commit_age_ms(self) -> int:
        """Upper bound, in milliseconds, for the age of the state that this member can read locally."""
        catch_up(self.node)
        return (self.applied.age_ticks + 1) * TICK_MS

    def status(self) -> MemberStatus:
        """Return the member's role, term, log indices, configuration and counters."""
        raft_log = self.node.log
        configuration = raft_log.configuration
        return MemberStatus(
            name=self.config.name,
            role=self.node.role,
            leader=self.node.leader or "",
            term=self.node.term,
            commit_index=raft_log.commit_index,
            applied_index=self.applied.index,
            snapshot_index=raft_log.snapshot.index,
            voters=sorted(configuration.voters),
            learners=sorted(configuration.learners),
            is_changing_members=bool(configuration.outgoing_voters),
            commit_age_ms=self.commit_age_ms,
            clock_ms=self.applied.clock_ms(),
            key_count=len(self.applied.state_machine.keys),
            fsync_count=self._storage.fsync_count,
            cluster=self.config.cluster,
        )

    async def write(self, command: Command) -> CommandResult:
        """Return the command's result after it has been committed and applied on this member.

        Raises `NotLeaderError`, `OutcomeUnknownError`.
        """
        catch_up(self.node)
        if self.node.role is not Role.LEADER:
            raise NotLeaderError(self.node.leader)
        result = self._proposals.submit(command)
        self.schedule_flush()
        return await result

    async def wait_until_current(self) -> None:
        """Wait until this member has applied every entry that was committed before the call (read index).

        Raises `NotLeaderError` if no leader is known. Does not return without a quorum.
        """
        catch_up(self.node)
        index = await self._reads.read_index()
        await self.applied.wait_for(index)

    async def change_members(self, voters: list[str], learners: list[str]) -> None:
        """Change the members, and return when the change is complete.

        Raises `NotLeaderError`, `MembershipChangeRejectedError`.
        """
        index = self.node.change_members(voters, learners)
        self.schedule_flush()
        await self.applied.wait_for(index)
        while not self.node.is_membership_change_complete:
            await self.applied.next_apply.wait()

    def transfer_leadership(self, target: str) -> None:
        """Start a transfer to `target`. Raises `NotLeaderError`, `MembershipChangeRejectedError`."""
        self.node.transfer_leadership(target)
        self.schedule_flush()

    def on_message(self, message: Message) -> None:
        """Process a message from another member."""
        catch_up(self.node)
        self.node.step(message)
        self.schedule_flush()

    def _propose_due_expiration(self) -> None:
        """Propose an empty command if a key has expired and no write has advanced the committed clock."""
        if self.applied.is_expiration_due():
            command = Command(clock_ms=self.applied.clock_ms())
            with suppress(NotLeaderError):
                self.node.propose(msgspec.msgpack.encode(command))

    def schedule_flush(self) -> None:
        """Schedule the processing of Raft's `Ready` in the next iteration of the event loop."""
        if not self._is_flush_scheduled and not self._failure.done():
            self._is_flush_scheduled = True
            self._loop.call_soon(self._flush)

    def _flush(self) -> None:
        """Process one `Ready`. Make `run` raise the error if that fails."""
        self._is_flush_scheduled = False
        if self._failure.done():
            return
        try:
            self._process_ready()
        except Exception as error:
            self._failure.set_exception(error)

    def _process_ready(self) -> None:
        """Persist one `Ready`, then send its messages and apply its entries. Raises `StorageFailedError`."""
        self._proposals.propose_due()
        ready = self.node.ready()
        if not ready.is_empty():
            with storage_errors(self.config.directory):
                self._persist(ready)
            self._process_persisted(ready)
        self.applied.on_ready_processed()
        if self.applied.index - self.node.log.snapshot.index >= self.config.compact_every:
            with storage_errors(self.config.directory):
                self._compact()

    def _persist(self, ready: Ready) -> None:
        if ready.snapshot is None:
            self._storage.append(ready.hard_state, ready.entries)
        else:
            entries = list(self.node.log.entries)
            self._storage.save_snapshot(ready.snapshot, self.node.hard_state, entries)

    def _process_persisted(self, ready: Ready) -> None:
        """Install the snapshot, send messages, apply entries and answer reads, in this order."""
        if ready.snapshot is not None:
            self.applied.install(ready.snapshot)
            self._proposals.on_snapshot_installed(ready.snapshot.index)
        for message in ready.messages:
            self._send(message)
        for entry in ready.committed_entries:
            result = self.applied.apply(entry)
            self._proposals.on_applied(entry, result)
        self._reads.on_ready(ready)
        if ready.committed_entries or ready.snapshot:
            self.applied.notify_applied()
        self._log_role_change()

    def _compact(self) -> None:
        """Replace the applied entries with a snapshot. Raises OSError."""
        self.node.compact(self.applied.state_machine.dump())
        raft_log = self.node.log
        self._storage.save_snapshot(raft_log.snapshot, self.node.hard_state, list(raft_log.entries))

    def _log_role_change(self) -> None:
        role = self.node.role
        if role is self._last_logged_role:
            return
        self._last_logged_role = role
        log.info("store_role_changed", role=role.value, term=self.node.term, leader=self.node.leader)
        if role is Role.LEADER:
            self._trace(f"leader {self.node.term}")

    def _trace(self, line: str) -> None:
        if self.config.trace:
            print(line, flush=True)


@contextmanager
def storage_errors(directory: Path) -> Iterator[None]:
    """Raise `StorageFailedError` if the `with` block raises OSError."""
    try:
        yield
    except OSError as error:
        raise StorageFailedError(str(directory), error) from error


def log_recovery(recovered: DirectoryContents) -> None:
    """Log what a crash of an earlier process has interrupted."""
    if recovered.torn_bytes:
        log.warning("store_torn_record_truncated", truncated_bytes=recovered.torn_bytes)
    if recovered.is_log_outdated:
        log.warning(
            "store_outdated_log_replaced",
            snapshot_index=recovered.snapshot_index,
            entries=len(recovered.entries),
        )
