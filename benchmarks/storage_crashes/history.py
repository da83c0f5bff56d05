"""Random histories of one member's storage, with failures, and the check of what remains.

A history is a sequence of processes that use one directory. Each opens `Storage`, which has to return what
was acknowledged, and then stores entries, terms, votes and snapshots until its failure. The call that fails
may have taken effect or not; everything before it has to be there, also after further failures.
"""

from __future__ import annotations

import random
import tempfile
from contextlib import closing
from dataclasses import dataclass, field, replace
from pathlib import Path
from unittest import mock

from storage_crashes.disk import Failure, FailureKind, ProcessEndedError, SimulatedDisk
from wheatstile.store import log_records
from wheatstile.store.directory_contents import DirectoryContents
from wheatstile.store.errors import CorruptStorageError
from wheatstile.store.raft.log import RaftLog
from wheatstile.store.raft.messages import Configuration, Entry, EntryKind, HardState, Snapshot
from wheatstile.store.storage import Storage

PROCESSES = 8
"""Number of processes of one history."""
MAX_OPERATIONS = 12
"""Maximum number of operations of one process."""
MAX_CALL = 60
"""Highest number of the system call at which a process fails; some processes end before it."""
MAX_ENTRIES_BYTES = (1, log_records.MAX_ENTRIES_BYTES)
"""Limits for the entries in one record: one entry in a record, or all entries of an append."""
CONFIGURATION = Configuration(frozenset("abc"))
INITIAL_SNAPSHOT = Snapshot(0, 0, CONFIGURATION, b"")


class LostStateError(AssertionError):
    """The directory does not have what was acknowledged."""


@dataclass(frozen=True)
class StoredState:
    """What a directory has to return: the state after one operation."""

    term: int = 0
    vote: str | None = None
    snapshot: Snapshot = INITIAL_SNAPSHOT
    entries: tuple[Entry, ...] = ()


@dataclass
class MemberModel:
    """The member that uses the storage, as Raft would: its log, its term and its vote."""

    term: int
    vote: str | None
    log: RaftLog

    @classmethod
    def from_contents(cls, contents: DirectoryContents) -> MemberModel:
        """Return the member that starts with the contents of a directory."""
        hard_state = contents.hard_state or HardState(0, None, 0)
        log = RaftLog(contents.snapshot or INITIAL_SNAPSHOT, contents.entries, hard_state.commit)
        log.applied_index = log.commit_index
        return cls(hard_state.term, hard_state.vote, log)

    @property
    def hard_state(self) -> HardState:
        """The hard state that Raft would store."""
        return HardState(self.term, self.vote, self.log.commit_index)

    def state(self) -> StoredState:
        """Return what the directory has to return once the member's state is stored."""
        return StoredState(self.term, self.vote, self.log.snapshot, tuple(self.log.entries))


@dataclass
class History:
    """One history, which `seed` determines."""

    seed: int
    committed: dict[int, int] = field(default_factory=dict)
    """The term of each committed entry by its index."""
    possible: list[StoredState] = field(default_factory=lambda: [StoredState()])
    """The states that the directory may have: the acknowledged one, and those of an interrupted call."""

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)

    def run(self) -> None:
        """Run all processes. Raises `LostStateError`, and `CorruptStorageError` if none can start."""
        with tempfile.TemporaryDirectory() as name:
            root = Path(name) / "root"
            removed = Path(name) / "removed"
            root.mkdir()
            removed.mkdir()
            disk = SimulatedDisk(root, removed, self.rng)
            with mock.patch.object(log_records, "MAX_ENTRIES_BYTES", self.rng.choice(MAX_ENTRIES_BYTES)):
                for _ in range(PROCESSES):
                    self._run_process(disk)
            with disk.process(None), Storage(root / "a", "c", "a") as storage:
                self._check(storage.recovered)

    def _run_process(self, disk: SimulatedDisk) -> None:
        failure = Failure(self.rng.choice(list(FailureKind)), self.rng.randint(1, MAX_CALL))
        try:
            with disk.process(failure), closing(Storage(disk.root / "a", "c", "a")) as storage:
                self._use(storage)
        except (ProcessEndedError, OSError):
            pass
        if failure.kind is FailureKind.POWER_LOSS:
            disk.lose_power()

    def _use(self, storage: Storage) -> None:
        """Check what the directory returned, and run operations until one fails."""
        self._check(storage.recovered)
        member = MemberModel.from_contents(storage.recovered)
        self.possible = [member.state()]
        for _ in range(self.rng.randint(1, MAX_OPERATIONS)):
            operation = self.rng.choice(OPERATIONS)
            operation(self, member, storage)
            self.possible = [member.state()]

    def store(self, member: MemberModel, storage: Storage, hard_state: HardState, count: int) -> None:
        """Append the member's last `count` entries and the hard state."""
        entries = member.log.entries[len(member.log.entries) - count :]
        self._expect_parts(entries)
        self._expect(member)
        storage.append(hard_state, entries)

    def store_snapshot(self, member: MemberModel, storage: Storage) -> None:
        """Store the member's snapshot and the entries after it."""
        self._expect(member)
        storage.save_snapshot(member.log.snapshot, member.hard_state, list(member.log.entries))

    def _expect(self, member: MemberModel) -> None:
        """Add the state that the next call stores to the possible ones, also without its term and vote."""
        before = self.possible[0]
        after = member.state()
        self.possible += [replace(after, term=before.term, vote=before.vote), after]

    def _expect_parts(self, entries: list[Entry]) -> None:
        """Add the states after a part of the entries, each of which may have a record of its own."""
        before = self.possible[0]
        for count in range(1, len(entries)):
            remaining = [entry for entry in before.entries if entry.index < entries[0].index]
            self.possible.append(replace(before, entries=(*remaining, *entries[:count])))

    def commit(self, member: MemberModel) -> None:
        """Commit a random number of the member's entries."""
        log = member.log
        commit_index = self.rng.randint(log.commit_index, log.last_index)
        for index in range(log.commit_index + 1, commit_index + 1):
            term = log.term_at(index)
            assert term is not None
            self.committed[index] = term
        log.commit_index = commit_index
        log.applied_index = commit_index

    def _check(self, contents: DirectoryContents) -> None:
        """Raise `LostStateError` unless the contents are a possible state with the committed entries."""
        member = MemberModel.from_contents(contents)
        if member.state() not in self.possible:
            raise LostStateError(f"{member.state()} is none of {self.possible}")
        for entry in contents.entries:
            expected = self.committed.get(entry.index, entry.term)
            if entry.index <= member.log.commit_index and entry.term != expected:
                raise LostStateError(f"{entry} is not the committed entry of its index")


def append(history: History, member: MemberModel, storage: Storage) -> None:
    """Append entries of the current or of a new term, which may replace uncommitted ones."""
    log = member.log
    if history.rng.random() < 0.3:
        member.term = max(member.term, log.last_term) + 1
        member.vote = history.rng.choice([None, "a", "b"])
        if log.last_index > log.commit_index:
            log.truncate_from(history.rng.randint(log.commit_index + 1, log.last_index))
    member.term = max(member.term, log.last_term, 1)
    count = history.rng.randint(1, 3)
    log.append(
        Entry(member.term, index, EntryKind.DATA, history.rng.randbytes(history.rng.randint(0, 40)))
        for index in range(log.last_index + 1, log.last_index + 1 + count)
    )
    hard_state = member.hard_state  # the commit index advances after the entries are stored
    history.store(member, storage, hard_state, count)
    history.commit(member)


def advance_commit(history: History, member: MemberModel, storage: Storage) -> None:
    """Store an advanced commit index, which is not synced."""
    history.commit(member)
    history.store(member, storage, member.hard_state, 0)


def vote(history: History, member: MemberModel, storage: Storage) -> None:
    """Vote in a new term."""
    member.term = max(member.term, member.log.last_term) + 1
    member.vote = history.rng.choice("abc")
    history.store(member, storage, member.hard_state, 0)


def compact(history: History, member: MemberModel, storage: Storage) -> None:
    """Replace the applied entries with a snapshot."""
    member.log.compact(history.rng.randbytes(history.rng.randint(0, 100)))
    history.store_snapshot(member, storage)


def receive_snapshot(history: History, member: MemberModel, storage: Storage) -> None:
    """Store a snapshot of the leader, which the member's log includes, conflicts with or does not reach."""
    log = member.log
    index = history.rng.randint(log.commit_index + 1, log.last_index + 4)
    term = log.term_at(index)
    if term is None or history.rng.random() < 0.5:
        member.term = max(member.term, log.last_term) + 1
        member.vote = None
        term = member.term
    history.committed[index] = term
    log.install(Snapshot(index, term, CONFIGURATION, history.rng.randbytes(20)))
    history.store_snapshot(member, storage)


OPERATIONS = (append, append, advance_commit, vote, compact, receive_snapshot)


def run_seed(seed: int) -> str | None:
    """Run the history of one seed, and return a description of its violation, or None."""
    try:
        History(seed).run()
    except (LostStateError, CorruptStorageError) as error:
        return f"seed {seed}: {error}"
    return None
