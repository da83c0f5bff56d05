"""Applies commands to the replicated state: keys with bounded history, client sessions, and events.

This module is pure: the same commands produce the same state on every member. A revision is the log index of
the write. Keys can have a time to live. The clock is in milliseconds and comes from the timestamps that the
leader adds to commands. It never goes back, never runs faster than a leader's own clock, and stops while
there is no leader.
"""

from __future__ import annotations

from collections.abc import Iterator

import msgspec

from wheatstile.store.commands import (
    ABSENT_REVISION,
    ANY_REVISION,
    MAX_TTL_MS,
    Command,
    CommandResult,
    Operation,
    OperationKind,
    Precondition,
)
from wheatstile.store.event_history import ChangeKind, Event, EventHistory
from wheatstile.store.expiration_queue import ExpirationQueue
from wheatstile.store.key_pattern import matches_pattern

SNAPSHOT_FORMAT = 1
MAX_KEYS = 200_000
"""Maximum number of keys, including deleted keys whose history is still stored."""
MAX_VERSIONS_PER_KEY = 8
MAX_SESSIONS = 10_000
SESSION_TTL_MS = 3_600_000
"""Time after which an unused session is discarded."""
DELETED_KEY_TTL_MS = SESSION_TTL_MS
"""Time after which a deleted key is discarded with its history."""


class Version(msgspec.Struct, frozen=True, array_like=True):
    """One version of a key.

    `expires_at_ms` is the time when it expires, or when a deleted key is discarded, or 0 if it has none.
    """

    revision: int
    change: ChangeKind
    value: bytes
    written_at_ms: int
    expires_at_ms: int = 0


class Session(msgspec.Struct, frozen=True, array_like=True):
    """The last command of a client's session, by which a repeated command is recognized."""

    sequence: int
    result: CommandResult
    last_used_ms: int


class SnapshotData(msgspec.Struct, frozen=True):
    """The data of a snapshot, encoded as a MessagePack map; `format` is `SNAPSHOT_FORMAT`."""

    format: int
    clock_ms: int = msgspec.field(name="now_ms")
    keys: dict[str, list[Version]]
    sessions: dict[str, Session]
    events: list[Event]
    compacted_revision: int = msgspec.field(name="forgotten")


class StateMachine:
    """The state of the store after the commands that have been applied."""

    def __init__(self) -> None:
        self.clock_ms = 0
        self.keys: dict[str, list[Version]] = {}  # versions ordered from the oldest to the latest
        self.sessions: dict[str, Session] = {}  # ordered from the least to the most recently used
        self.events = EventHistory()
        self._expirations = ExpirationQueue()

    def get(self, key: str) -> Version | None:
        """Return the key's latest version, or None if the key is absent or deleted."""
        versions = self.keys.get(key)
        return versions[-1] if versions and versions[-1].change is ChangeKind.PUT else None

    def matching_keys(self, pattern: str) -> Iterator[tuple[str, Version]]:
        """Yield the keys that match `pattern` in alphabetical order, each with its latest version."""
        for key in sorted(self.keys):
            version = self.get(key)
            if version and matches_pattern(pattern, key):
                yield key, version

    def next_expiration_ms(self) -> int | None:
        """Return the time, by the committed clock, when the next key expires or is discarded, or None."""
        return self._expirations.next_ms()

    def apply(self, index: int, command: Command) -> CommandResult:
        """Apply the command at log index `index`, unless it repeats a command of its session."""
        self.clock_ms = max(self.clock_ms, command.clock_ms)
        self._expire_keys(index)
        if not command.session_id:
            return self._execute(index, command)
        return self._apply_in_session(index, command)

    def _apply_in_session(self, index: int, command: Command) -> CommandResult:
        session_id = command.session_id
        session = self.sessions.pop(session_id, None)  # added again below, as the most recently used
        if session is None and command.sequence != 1:
            reason = f"session {session_id} is unknown; the command may have been applied before"
            return CommandResult(False, reason=reason)
        if session and command.sequence <= session.sequence:
            self.sessions[session_id] = session
            return _result_of_repeated_command(session, command)
        result = self._execute(index, command)
        self.sessions[session_id] = Session(command.sequence, result, self.clock_ms)
        self._discard_old_sessions()
        return result

    def _discard_old_sessions(self) -> None:
        """Discard sessions unused for `SESSION_TTL_MS`, and the least recently used above `MAX_SESSIONS`."""
        while self.sessions:
            session_id, session = next(iter(self.sessions.items()))
            is_in_use = session.last_used_ms > self.clock_ms - SESSION_TTL_MS
            if len(self.sessions) <= MAX_SESSIONS and is_in_use:
                break
            del self.sessions[session_id]

    def _execute(self, index: int, command: Command) -> CommandResult:
        """Execute all operations, or none if a precondition fails or there would be too many keys."""
        failure = self._find_failed_precondition(command)
        if failure is not None:
            return failure
        if self._exceeds_max_keys(command.operations):
            return CommandResult(False, reason=f"{MAX_KEYS} keys at most")
        for operation in command.operations:
            self._execute_operation(index, operation)
        return CommandResult(True, index)

    def _find_failed_precondition(self, command: Command) -> CommandResult | None:
        """Return the result for the first precondition that fails, or None if all preconditions hold."""
        preconditions = [*command.preconditions]
        preconditions += [
            Precondition(operation.key, operation.expected_revision) for operation in command.operations
        ]
        for precondition in preconditions:
            version = self.get(precondition.key)
            revision = version.revision if version else ABSENT_REVISION
            if precondition.expected_revision not in (ANY_REVISION, revision):
                reason = f"{precondition.key} is at revision {revision}, not {precondition.expected_revision}"
                return CommandResult(False, revision, reason)
        return None

    def _exceeds_max_keys(self, operations: list[Operation]) -> bool:
        puts = [operation for operation in operations if operation.kind is OperationKind.PUT]
        new_key_count = sum(operation.key not in self.keys for operation in puts)
        return len(self.keys) + new_key_count > MAX_KEYS

    def _execute_operation(self, index: int, operation: Operation) -> None:
        if operation.kind is OperationKind.PUT:
            # Logs of earlier versions may contain a longer time to live.
            ttl_ms = min(operation.ttl_ms, MAX_TTL_MS)
            expires_at_ms = self.clock_ms + ttl_ms if ttl_ms else 0
            version = Version(index, ChangeKind.PUT, operation.value, self.clock_ms, expires_at_ms)
            self._add_version(operation.key, version)
        elif operation.key in self.keys:
            self._remove(index, operation.key, ChangeKind(operation.kind))

    def _remove(self, index: int, key: str, change: ChangeKind) -> None:
        """Add a version that marks the key as removed. The key is discarded after `DELETED_KEY_TTL_MS`."""
        if change is ChangeKind.PURGE:
            self.keys[key] = []
        discarded_at_ms = self.clock_ms + DELETED_KEY_TTL_MS
        self._add_version(key, Version(index, change, b"", self.clock_ms, discarded_at_ms))

    def _add_version(self, key: str, version: Version) -> None:
        """Add a key's latest version, discard its oldest one above the limit, and record the event."""
        previous = self.keys.get(key, [])
        self.keys[key] = [*previous[-MAX_VERSIONS_PER_KEY + 1 :], version]
        self._expirations.set_time(key, version.expires_at_ms)
        self.events.append(Event(version.revision, key, version.change, version.value))

    def _expire_keys(self, index: int) -> None:
        """Mark expired keys as removed, and discard keys that were removed `DELETED_KEY_TTL_MS` ago."""
        while key := self._expirations.pop_due(self.clock_ms):
            if self.get(key):
                self._remove(index, key, ChangeKind.EXPIRE)
            else:
                del self.keys[key]

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
        """Return a state machine with the state that `dump` returned, or an empty one if `data` is empty.

        Raises ValueError for an unsupported format, and `msgspec.DecodeError` if `data` is malformed.
        """
        machine = cls()
        if not data:
            return machine
        state = msgspec.msgpack.decode(data, type=SnapshotData)
        if state.format != SNAPSHOT_FORMAT:
            supported = f"this program reads format {SNAPSHOT_FORMAT}"
            raise ValueError(f"snapshot format {state.format} is not supported; {supported}")
        machine.clock_ms = state.clock_ms
        machine.keys = state.keys
        machine.sessions = state.sessions
        machine.events = EventHistory(state.events, state.compacted_revision)
        for key, versions in state.keys.items():
            machine._expirations.set_time(key, versions[-1].expires_at_ms)
        return machine


def _result_of_repeated_command(session: Session, command: Command) -> CommandResult:
    """Return the result of a command whose sequence number is not higher than that of its session."""
    if command.sequence == session.sequence:
        return msgspec.structs.replace(session.result, repeated=True)
    reason = f"sequence {command.sequence} is older than the session's last one, {session.sequence}"
    return CommandResult(False, reason=reason)
