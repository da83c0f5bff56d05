"""The replicated state: keys with revisions and bounded history, times to live, client sessions, events.

Pure: a `Command` is applied at its log index and answered with a `CommandResult`; the same commands give the
same state on every member. A revision is the log index of the write. The clock is the leader's, in
milliseconds, carried by commands: it runs only while somebody leads, never back, and never faster than a
leader's own.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterator
from typing import NamedTuple

import msgspec

from wheatstile.store.commands import (
    ANY_REVISION,
    Command,
    CommandResult,
    Operation,
    OperationKind,
    Precondition,
)
from wheatstile.store.event_history import ChangeKind, Event, EventHistory
from wheatstile.store.key_pattern import matches_pattern

SNAPSHOT_FORMAT = 1
MAX_KEYS = 200_000
"""Keys at most, including deleted ones whose history is still stored."""
MAX_VERSIONS_PER_KEY = 8
MAX_SESSIONS = 10_000
SESSION_TTL_MS = 3_600_000
"""Time after which an unused session is discarded."""
DELETED_KEY_TTL_MS = SESSION_TTL_MS
"""Time after which a deleted key is discarded with its history."""


class Version(msgspec.Struct, frozen=True, array_like=True):
    """One version of a key; `expires_at_ms` is 0 where it does not expire."""

    revision: int
    change: ChangeKind
    value: bytes
    written_at_ms: int
    expires_at_ms: int = 0


class Session(msgspec.Struct, frozen=True, array_like=True):
    """The last command of a client's session, so that its repetition is recognised."""

    sequence: int
    result: CommandResult
    last_used_ms: int


class SnapshotData(msgspec.Struct, frozen=True):
    """The data of a snapshot, as a map; `SNAPSHOT_FORMAT` is the only format so far."""

    format: int
    clock_ms: int = msgspec.field(name="now_ms")
    keys: dict[str, list[Version]]
    sessions: dict[str, Session]
    events: list[Event]
    compacted_revision: int = msgspec.field(name="forgotten")


class Expiration(NamedTuple):
    """When a key expires, or is discarded if it is deleted; void once the key has another revision."""

    at_ms: int
    key: str
    revision: int


class StateMachine:
    """The state of the store after the commands applied so far."""

    def __init__(self) -> None:
        self.clock_ms = 0
        self.keys: dict[str, list[Version]] = {}  # the latest version last
        self.sessions: dict[str, Session] = {}  # the least recently used first
        self.events = EventHistory()
        self._expirations: list[Expiration] = []  # a heap

    def get(self, key: str) -> Version | None:
        """Return the key's latest version; None where it is absent or deleted."""
        versions = self.keys.get(key)
        return versions[-1] if versions and versions[-1].change is ChangeKind.PUT else None

    def matching(self, pattern: str) -> Iterator[tuple[str, Version]]:
        """Yield the keys that match `pattern`, in order, each with its latest version."""
        for key in sorted(self.keys):
            version = self.get(key)
            if version and matches_pattern(pattern, key):
                yield key, version

    def next_expiration_ms(self) -> int | None:
        """Return when, by the committed clock, a key expires or is discarded next."""
        return self._expirations[0].at_ms if self._expirations else None

    def apply(self, index: int, command: Command) -> CommandResult:
        """Apply the command at log index `index`, unless its session has applied it already."""
        self.clock_ms = max(self.clock_ms, command.clock_ms)
        self._expire_keys(index)
        if not command.session_id:
            return self._execute(index, command)
        return self._apply_in_session(index, command)

    def _apply_in_session(self, index: int, command: Command) -> CommandResult:
        session_id = command.session_id
        session = self.sessions.pop(session_id, None)  # added again below, as the most recently used
        if session is None and command.sequence != 1:
            reason = f"session {session_id} is not known, nor whether it was applied"
            return CommandResult(False, reason=reason)
        if session and command.sequence <= session.sequence:
            self.sessions[session_id] = session
            if command.sequence < session.sequence:
                reason = f"sequence {command.sequence} is before {session.sequence}"
                return CommandResult(False, reason=reason)
            return msgspec.structs.replace(session.result, repeated=True)
        result = self._execute(index, command)
        self.sessions[session_id] = Session(command.sequence, result, self.clock_ms)
        self._discard_old_sessions()
        return result

    def _discard_old_sessions(self) -> None:
        while self.sessions:
            session_id, session = next(iter(self.sessions.items()))
            is_in_use = session.last_used_ms > self.clock_ms - SESSION_TTL_MS
            if len(self.sessions) <= MAX_SESSIONS and is_in_use:
                break
            del self.sessions[session_id]

    def _execute(self, index: int, command: Command) -> CommandResult:
        preconditions = [*command.preconditions]
        preconditions += [
            Precondition(operation.key, operation.expected_revision) for operation in command.operations
        ]
        for precondition in preconditions:
            version = self.get(precondition.key)
            revision = version.revision if version else 0
            if precondition.expected_revision not in (ANY_REVISION, revision):
                reason = f"{precondition.key} is at revision {revision}, not {precondition.expected_revision}"
                return CommandResult(False, revision, reason)
        puts = [operation for operation in command.operations if operation.kind is OperationKind.PUT]
        new_keys = sum(operation.key not in self.keys for operation in puts)
        if len(self.keys) + new_keys > MAX_KEYS:
            return CommandResult(False, reason=f"{MAX_KEYS} keys at most")
        for operation in command.operations:
            self._execute_operation(index, operation)
        return CommandResult(True, index)

    def _execute_operation(self, index: int, operation: Operation) -> None:
        if operation.kind is OperationKind.PUT:
            expires_at_ms = self.clock_ms + operation.ttl_ms if operation.ttl_ms else 0
            version = Version(index, ChangeKind.PUT, operation.value, self.clock_ms, expires_at_ms)
            self._add_version(operation.key, version)
        elif operation.key in self.keys:
            self._remove(index, operation.key, ChangeKind(operation.kind))

    def _remove(self, index: int, key: str, change: ChangeKind) -> None:
        """Mark a key as removed; the mark is discarded later."""
        if change is ChangeKind.PURGE:
            self.keys[key] = []
        self._add_version(key, Version(index, change, b"", self.clock_ms, self.clock_ms + DELETED_KEY_TTL_MS))

    def _add_version(self, key: str, version: Version) -> None:
        previous = self.keys.get(key, [])
        self.keys[key] = [*previous[-MAX_VERSIONS_PER_KEY + 1 :], version]
        if version.expires_at_ms:
            heapq.heappush(self._expirations, Expiration(version.expires_at_ms, key, version.revision))
        self.events.append(Event(version.revision, key, version.change, version.value))

    def _expire_keys(self, index: int) -> None:
        while self._expirations and self._expirations[0].at_ms <= self.clock_ms:
            expiration = heapq.heappop(self._expirations)
            versions = self.keys.get(expiration.key)
            if not versions or versions[-1].revision != expiration.revision:
                continue  # written again since
            if versions[-1].change is ChangeKind.PUT:
                self._remove(index, expiration.key, ChangeKind.EXPIRE)
            else:
                del self.keys[expiration.key]

    def dump(self) -> bytes:
        """Return the state as the data of a snapshot."""
        state = SnapshotData(
            SNAPSHOT_FORMAT,
            self.clock_ms,
            self.keys,
            self.sessions,
            list(self.events.events),
            self.events.compacted_revision,
        )
        return msgspec.msgpack.encode(state)

    @classmethod
    def load(cls, data: bytes) -> StateMachine:
        """Return the state that `dump` returned; of no data, the empty state.

        Raises ValueError for another format, `msgspec.DecodeError` for other data.
        """
        machine = cls()
        if not data:
            return machine
        state = msgspec.msgpack.decode(data, type=SnapshotData)
        if state.format != SNAPSHOT_FORMAT:
            raise ValueError(f"a snapshot of format {state.format}, and this program reads {SNAPSHOT_FORMAT}")
        machine.clock_ms = state.clock_ms
        machine.keys = state.keys
        machine.sessions = state.sessions
        machine.events = EventHistory(state.events, state.compacted_revision)
        machine._expirations = [
            Expiration(versions[-1].expires_at_ms, key, versions[-1].revision)
            for key, versions in state.keys.items()
            if versions[-1].expires_at_ms
        ]
        heapq.heapify(machine._expirations)
        return machine
