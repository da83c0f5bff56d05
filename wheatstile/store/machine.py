"""The store's state: keys with revisions, bounded history, times to live, sessions, and events for watches.

Pure: a `Command` is applied at its log index and answers with a `Result`; the same commands give the same
state on every member. A revision is the log index of the write. The clock is the leader's, in milliseconds,
carried by commands: it runs only while somebody leads, never back, and never faster than a leader's own.
"""

from __future__ import annotations

import heapq
from bisect import bisect_right
from collections import deque
from collections.abc import Iterator
from typing import Literal

import msgspec

MAX_KEYS = 200_000
"""Keys at most, deleted ones that are still remembered among them."""
MAX_KEY, MAX_VALUE = 512, 1 << 20
"""Bytes of a key and of a value."""
MAX_OPS = 64
"""Writes and conditions in one command."""
HISTORY = 8
"""Versions of a key that are kept."""
MAX_EVENTS = 10_000
"""Events kept for watches; who is further behind is told so, and reads the keys again."""
MAX_SESSIONS = 10_000
SESSION_MS = 3_600_000
"""A session that has not been used for so long is forgotten; so is a deleted key."""


class Op(msgspec.Struct, frozen=True, array_like=True):
    """One write. `revision`: what the key must be at (0: absent, -1: anything); `ttl_ms` 0: for ever."""

    op: Literal["put", "delete", "purge"]
    key: str
    value: bytes = b""
    revision: int = -1
    ttl_ms: int = 0


class Command(msgspec.Struct, frozen=True, array_like=True):
    """All of `ops` or none. `need` are keys and the revisions they must be at. With a `session`, a `seq` that
    has been applied is not applied again: its first result is given once more."""

    ops: list[Op] = []
    need: list[tuple[str, int]] = []
    session: str = ""
    seq: int = 0
    now_ms: int = 0


class Result(msgspec.Struct, frozen=True, array_like=True):
    """`revision` of the write, or of what stood in the way, with the `reason`."""

    ok: bool
    revision: int = 0
    reason: str = ""
    repeated: bool = False


class Version(msgspec.Struct, frozen=True, array_like=True):
    revision: int
    op: str  # put, delete, purge, expire
    value: bytes
    at_ms: int
    expires_ms: int = 0


class Event(msgspec.Struct, frozen=True, array_like=True):
    revision: int
    key: str
    op: str
    value: bytes


class Session(msgspec.Struct, frozen=True, array_like=True):
    seq: int
    result: Result
    used_ms: int


class State(msgspec.Struct, frozen=True):
    """What a snapshot holds."""

    format: int
    now_ms: int
    keys: dict[str, list[Version]]
    sessions: dict[str, Session]
    events: list[Event]
    forgotten: int


class Behind(Exception):
    """A watch asks for events that are no longer kept; the argument is the oldest revision to ask after."""


def fault(command: Command) -> str:
    """Why a command cannot be taken, before it is proposed; empty if it can."""
    if len(command.ops) + len(command.need) > MAX_OPS:
        return f"{len(command.ops) + len(command.need)} writes and conditions, {MAX_OPS} at most"
    seen = set()
    for op in command.ops:
        if not 0 < len(op.key.encode()) <= MAX_KEY:
            return f"key of {len(op.key.encode())} bytes, 1 to {MAX_KEY} wanted"
        if len(op.value) > MAX_VALUE:
            return f"{op.key}: value of {len(op.value)} bytes, {MAX_VALUE} at most"
        if op.ttl_ms < 0:
            return f"{op.key}: ttl of {op.ttl_ms} ms"
        if op.key in seen:
            return f"{op.key}: written twice in one command"
        seen.add(op.key)
    return ""


def matches(pattern: str, key: str) -> bool:
    """`*` stands for one part between dots or slashes, `>` at the end for all that follows."""
    wanted, parts = pattern.replace("/", ".").split("."), key.replace("/", ".").split(".")
    for position, word in enumerate(wanted):
        if word == ">" and position == len(wanted) - 1:
            return len(parts) > position
        if position >= len(parts) or word not in ("*", parts[position]):
            return False
    return len(wanted) == len(parts)


class Machine:
    def __init__(self) -> None:
        self.now_ms = 0
        self.keys: dict[str, list[Version]] = {}  # the latest version last
        self.sessions: dict[str, Session] = {}  # the longest unused first
        self.events: deque[Event] = deque()
        self.forgotten = 0  # the revision of the latest event that is no longer kept
        self._ends: list[tuple[int, str, int]] = []  # heap: (ms, key, revision) to expire or forget

    # -- what is asked --------------------------------------------------------------------------------------

    def get(self, key: str) -> Version | None:
        """The key as it stands; None if it is absent or deleted."""
        versions = self.keys.get(key)
        return versions[-1] if versions and versions[-1].op == "put" else None

    def matching(self, pattern: str) -> Iterator[tuple[str, Version]]:
        for key in sorted(self.keys):
            version = self.get(key)
            if version and matches(pattern, key):
                yield key, version

    def events_after(self, revision: int, limit: int = 256) -> list[Event]:
        """Up to `limit` events after `revision`, and all of the last one's revision. Raises `Behind`."""
        if revision < self.forgotten:
            raise Behind(self.forgotten)
        start = bisect_right(self.events, revision, key=lambda event: event.revision)
        found: list[Event] = []
        for position in range(start, len(self.events)):
            event = self.events[position]
            if len(found) >= limit and event.revision != found[-1].revision:
                break
            found.append(event)
        return found

    def next_end(self) -> int | None:
        """When, by the committed clock, a key is next to expire or to be forgotten."""
        return self._ends[0][0] if self._ends else None

    # -- what is done ---------------------------------------------------------------------------------------

    def apply(self, index: int, command: Command) -> Result:
        self.now_ms = max(self.now_ms, command.now_ms)
        self._expire(index)
        if not command.session:
            return self._write(index, command)
        known = self.sessions.pop(command.session, None)
        if known is None and command.seq != 1:
            return Result(False, reason=f"session {command.session} is not known, nor whether it was applied")
        if known and command.seq <= known.seq:
            self.sessions[command.session] = known
            if command.seq < known.seq:
                return Result(False, reason=f"sequence {command.seq} is before {known.seq}")
            return msgspec.structs.replace(known.result, repeated=True)
        result = self._write(index, command)
        self.sessions[command.session] = Session(command.seq, result, self.now_ms)
        while self.sessions:
            name, oldest = next(iter(self.sessions.items()))
            if len(self.sessions) <= MAX_SESSIONS and oldest.used_ms > self.now_ms - SESSION_MS:
                break
            del self.sessions[name]
        return result

    def _revision(self, key: str) -> int:
        version = self.get(key)
        return version.revision if version else 0

    def _write(self, index: int, command: Command) -> Result:
        for key, revision in [*command.need, *((op.key, op.revision) for op in command.ops)]:
            if revision not in (-1, found := self._revision(key)):
                return Result(False, found, f"{key} is at revision {found}, not {revision}")
        new = sum(op.key not in self.keys for op in command.ops if op.op == "put")
        if len(self.keys) + new > MAX_KEYS:
            return Result(False, reason=f"{MAX_KEYS} keys at most")
        for op in command.ops:
            if op.op == "put" or op.key in self.keys:
                self._set(index, op.key, op.op, op.value, op.ttl_ms)
        return Result(True, index)

    def _set(self, index: int, key: str, op: str, value: bytes = b"", ttl_ms: int = 0) -> None:
        end = self.now_ms + ttl_ms if ttl_ms else 0
        if op != "put":
            value, end = b"", self.now_ms + SESSION_MS
        version = Version(index, op, value, self.now_ms, end)
        kept = [] if op == "purge" else self.keys.get(key, [])
        self.keys[key] = [*kept[-HISTORY + 1 :], version]
        if end:
            heapq.heappush(self._ends, (end, key, index))
        self.events.append(Event(index, key, op, value))
        while len(self.events) > MAX_EVENTS:
            self.forgotten = self.events.popleft().revision

    def _expire(self, index: int) -> None:
        while self._ends and self._ends[0][0] <= self.now_ms:
            _, key, revision = heapq.heappop(self._ends)
            versions = self.keys.get(key)
            if not versions or versions[-1].revision != revision:
                continue  # written again since
            if versions[-1].op == "put":
                self._set(index, key, "expire")
            else:
                del self.keys[key]

    # -- snapshots ------------------------------------------------------------------------------------------

    def dump(self) -> bytes:
        return msgspec.msgpack.encode(
            State(1, self.now_ms, self.keys, self.sessions, list(self.events), self.forgotten)
        )

    @classmethod
    def load(cls, data: bytes) -> Machine:
        machine = cls()
        if data:
            state = msgspec.msgpack.decode(data, type=State)
            if state.format != 1:
                raise ValueError(f"a snapshot of format {state.format}, and this program reads 1")
            machine.now_ms, machine.keys, machine.sessions = state.now_ms, state.keys, state.sessions
            machine.events, machine.forgotten = deque(state.events), state.forgotten
            machine._ends = [
                (v[-1].expires_ms, key, v[-1].revision) for key, v in state.keys.items() if v[-1].expires_ms
            ]
            heapq.heapify(machine._ends)
        return machine
