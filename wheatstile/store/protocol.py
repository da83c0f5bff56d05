"""Defines the messages on the store's connections. Each is a MessagePack map in a frame (`framing`).

A connection between members is used in one direction: the sender sends a `PeerHandshake` and then
`raft.messages.Message`s. A client sends `Request`s and receives one `Reply` for each, in order. There are
three exceptions: a watch receives replies until either side closes the connection, a backup receives replies
until no bytes remain, and a read with a large result receives replies with `ErrorCode.PARTIAL` before the
last one. If a key on the wire differs from the name of the field, `msgspec.field(name=...)` defines the key.
"""

from __future__ import annotations

import enum

import msgspec

from wheatstile.store.commands import Command, CommandResult
from wheatstile.store.event_history import ChangeKind, Event
from wheatstile.store.raft.messages import Role

LINEARIZABLE = -1
"""Value of `Request.max_staleness_ms` for a read that returns every write acknowledged before it."""
DEFAULT_TIMEOUT_MS = 2000


class RequestKind(enum.StrEnum):
    """The kind of a client's request; the values are used on the wire."""

    WRITE = "write"
    GET = "get"
    LIST = "list"
    HISTORY = "history"
    WATCH = "watch"
    STATUS = "status"
    CHANGE_MEMBERS = "members"
    TRANSFER_LEADERSHIP = "transfer"
    BACKUP = "backup"


class ErrorCode(enum.StrEnum):
    """The reason why a request was not carried out; the values are used on the wire."""

    NONE = ""
    NOT_LEADER = "not-leader"  # `Reply.leader` is the leader, if this member knows it
    OUTCOME_UNKNOWN = "unknown"  # a write may have been applied, or may be applied later
    REJECTED = "refused"  # the membership change or the leadership transfer is not possible now
    STALE = "stale"  # this member's state may be older than the read allows
    WATCH_COMPACTED = "behind"  # events that the watch requires were discarded
    PARTIAL = "partial"  # not an error: the reply has the first versions, and further replies follow
    INVALID = "bad"  # the request is malformed or violates a limit


class PeerHandshake(msgspec.Struct, frozen=True):
    """The first frame on a connection between members: the cluster, the sender and the recipient."""

    cluster: str
    name: str
    recipient: str = msgspec.field(name="to")


class Request(msgspec.Struct, frozen=True):
    """A client's request.

    Depending on `kind`, `key` is a key, a pattern or the name of a member. A watch returns the events after
    `after_revision`. A read may return a state that is up to `max_staleness_ms` old. The member replies
    within `timeout_ms`.
    """

    kind: RequestKind = msgspec.field(name="op")
    command: Command | None = None
    key: str = ""
    after_revision: int = msgspec.field(default=0, name="after")
    max_staleness_ms: int = msgspec.field(default=LINEARIZABLE, name="stale_ms")
    timeout_ms: int = msgspec.field(default=DEFAULT_TIMEOUT_MS, name="within_ms")
    voters: list[str] = []
    learners: list[str] = []


class KeyVersion(msgspec.Struct, frozen=True, array_like=True):
    """One version of a key."""

    key: str
    revision: int
    change: ChangeKind
    value: bytes
    written_at_ms: int = 0


class MemberStatus(msgspec.Struct, frozen=True):
    """The status of a member, which `store status --json` prints with the keys on the wire."""

    name: str
    role: Role
    leader: str
    term: int
    commit_index: int = msgspec.field(name="commit")
    applied_index: int = msgspec.field(name="applied")
    snapshot_index: int = msgspec.field(name="snapshot")
    voters: list[str]
    learners: list[str]
    is_changing_members: bool = msgspec.field(name="changing")
    commit_age_ms: int = msgspec.field(name="age_ms")
    clock_ms: int
    key_count: int = msgspec.field(name="keys")
    fsync_count: int = msgspec.field(name="syncs")
    cluster: str


class Reply(msgspec.Struct, frozen=True):
    """The reply to a request. `error` is `ErrorCode.NONE` if the request was carried out."""

    error: ErrorCode = ErrorCode.NONE
    reason: str = ""
    leader: str = ""
    result: CommandResult | None = None
    versions: list[KeyVersion] = msgspec.field(default_factory=list, name="found")
    events: list[Event] = []
    revision: int = 0
    """The revision of the state that a read returns, or up to which a watch has sent all events."""
    commit_age_ms: int = msgspec.field(default=0, name="age_ms")
    """Upper bound, in milliseconds, for the age of the returned state."""
    status: MemberStatus | None = None
    chunk: bytes = msgspec.field(default=b"", name="data")
    """One chunk of a backup's data."""
    remaining_bytes: int = msgspec.field(default=0, name="left")
    """Number of bytes of the backup's data that follow in further replies."""
