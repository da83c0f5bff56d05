"""The log of one Raft node: a snapshot, the entries after it, and the configurations in both."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from wheatstile.store.raft.messages import Configuration, Entry, Snapshot

MAX_BATCH_ENTRIES = 256
"""Maximum number of entries in one append message."""
MAX_BATCH_BYTES = 1 << 20
"""Maximum bytes of entries in one append message; the entry that reaches this size is still included."""


@dataclass(frozen=True, slots=True)
class LoggedConfiguration:
    """A configuration, and the index of the entry or of the snapshot that contains it."""

    index: int
    configuration: Configuration


class RaftLog:
    """A snapshot and the contiguous entries from `snapshot.index + 1` on.

    `unpersisted_entries` and `unpersisted_snapshot` have not been returned to the caller yet (etcd's unstable
    log). `applied_index` is the last index of what was returned to the caller for its state machine, or of an
    unpersisted snapshot: the caller's state may be older. Raises ValueError if the indices of `entries` are
    not contiguous.
    """

    def __init__(self, snapshot: Snapshot, entries: Iterable[Entry], commit_index: int = 0) -> None:
        self.snapshot = snapshot
        self.entries: list[Entry] = [entry for entry in entries if entry.index > snapshot.index]
        for offset, entry in enumerate(self.entries):
            expected = snapshot.index + 1 + offset
            if entry.index != expected:
                raise ValueError(f"entry {offset} of the log has index {entry.index}, not {expected}")
        self.commit_index = max(min(commit_index, self.last_index), snapshot.index)
        self.applied_index = snapshot.index
        self.configurations = self._find_configurations()
        self.unpersisted_entries: list[Entry] = []
        self.unpersisted_snapshot: Snapshot | None = None

    def _find_configurations(self) -> list[LoggedConfiguration]:
        """Return the snapshot's configuration and those in the log, oldest first."""
        found = [LoggedConfiguration(self.snapshot.index, self.snapshot.configuration)]
        found += [
            LoggedConfiguration(entry.index, entry.configuration)
            for entry in self.entries
            if entry.configuration
        ]
        return found

    @property
    def configuration(self) -> Configuration:
        """The current configuration. It is the latest one in the log, committed or not (§4.1)."""
        return self.configurations[-1].configuration

    @property
    def is_configuration_committed(self) -> bool:
        """True if the current configuration is committed. Until then, no further change may begin."""
        return self.configurations[-1].index <= self.commit_index

    @property
    def preceding_configuration(self) -> Configuration | None:
        """The configuration before the current one, or None if the log does not have it.

        It is committed, because a leader appends a configuration only after the previous one is committed.
        """
        return self.configurations[-2].configuration if len(self.configurations) > 1 else None

    @property
    def last_index(self) -> int:
        """The index of the last entry."""
        return self.entries[-1].index if self.entries else self.snapshot.index

    @property
    def last_term(self) -> int:
        """The term of the last entry."""
        return self.entries[-1].term if self.entries else self.snapshot.term

    def term_at(self, index: int) -> int | None:
        """Return the term of the entry at `index`, or None if it was compacted or is not in the log yet."""
        if index == self.snapshot.index:
            return self.snapshot.term
        if index < self.snapshot.index or index > self.last_index:
            return None
        return self.entries[index - self.snapshot.index - 1].term

    def batch_from(self, first: int) -> tuple[Entry, ...]:
        """Return the entries from index `first` on that fit into one append message."""
        start = first - self.snapshot.index - 1
        entries = self.entries[start : start + MAX_BATCH_ENTRIES]
        size_bytes = 0
        for count, entry in enumerate(entries, 1):
            size_bytes += entry.max_encoded_bytes
            if size_bytes >= MAX_BATCH_BYTES:
                return tuple(entries[:count])
        return tuple(entries)

    def append(self, entries: Iterable[Entry]) -> None:
        """Append `entries`, the first of which follows the last entry of the log."""
        for entry in entries:
            self.entries.append(entry)
            self.unpersisted_entries.append(entry)
            if entry.configuration:
                self.configurations.append(LoggedConfiguration(entry.index, entry.configuration))

    def truncate_from(self, index: int) -> None:
        """Remove the entries from `index` on.

        The caller removes them from disk when it stores the next entry, which has the index of a removed one.
        """
        del self.entries[index - self.snapshot.index - 1 :]
        self.unpersisted_entries = [entry for entry in self.unpersisted_entries if entry.index < index]
        while self.configurations[-1].index >= index:
            self.configurations.pop()

    def take_committed(self) -> list[Entry]:
        """Return the committed entries that are not applied yet, and mark them as applied."""
        start = self.applied_index - self.snapshot.index
        end = self.commit_index - self.snapshot.index
        self.applied_index = self.commit_index
        return self.entries[start:end]

    def take_unpersisted_entries(self) -> list[Entry]:
        """Return and clear the entries that the caller has to store."""
        entries = self.unpersisted_entries
        self.unpersisted_entries = []
        return entries

    def take_unpersisted_snapshot(self) -> Snapshot | None:
        """Return and clear the snapshot that the caller has to store, or return None if there is none."""
        snapshot = self.unpersisted_snapshot
        self.unpersisted_snapshot = None
        return snapshot

    def compact(self, data: bytes) -> None:
        """Replace the applied entries with a snapshot; `data` is the state after the last of them (§5.1)."""
        index = self.applied_index
        term = self.term_at(index)
        if index == self.snapshot.index or term is None:
            return
        latest_applied = next(logged for logged in reversed(self.configurations) if logged.index <= index)
        self.entries = self.entries[index - self.snapshot.index :]
        self.snapshot = Snapshot(index, term, latest_applied.configuration, data)
        self.configurations = self._find_configurations()

    def install(self, snapshot: Snapshot) -> None:
        """Replace the log with the leader's `snapshot`; keep later entries if the log matches it (§5.3)."""
        matches = self.term_at(snapshot.index) == snapshot.term
        self.entries = [entry for entry in self.entries if matches and entry.index > snapshot.index]
        self.unpersisted_entries = [
            entry for entry in self.unpersisted_entries if matches and entry.index > snapshot.index
        ]
        self.snapshot = snapshot
        self.commit_index = snapshot.index
        self.applied_index = snapshot.index
        self.configurations = self._find_configurations()
        self.unpersisted_snapshot = snapshot
