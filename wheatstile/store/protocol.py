"""Messages on the store's connections; each is a MessagePack map in a frame (`framing`).

A member sends a `PeerHandshake` and then `raft.messages.Message`s to another, one way. A client sends
`Request`s and gets one `Reply` for each, in order; a watch's replies go on until either side ends the
connection, a backup's until no bytes remain. Fields whose key on the wire differs give it with
`msgspec.field(name=...)`.
"""

from __future__ import annotations

import enum

import msgspec

from wheatstile.store.commands import Command, CommandResult
from wheatstile.store.event_history import ChangeKind, Event
from wheatstile.store.raft.messages import Role

LINEARIZABLE = -1
"""As `Request.max_staleness_ms`: the read has to see every write acknowledged before it."""
DEFAULT_TIMEOUT_MS = 2000


class RequestKind(enum.StrEnum):
    """What a client asks for; the values are those on the wire."""

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
    """Why a request was not carried out; the values are those on the wire."""

    NONE = ""
    NOT_LEADER = "not-leader"  # `Reply.leader` may name the leader
    OUTCOME_UNKNOWN = "unknown"  # a write may yet be applied
    REJECTED = "refused"  # the membership change or transfer is not possible now
    STALE = "stale"  # this member may be further behind than the read allows
    WATCH_COMPACTED = "behind"  # events after the watch's revision were discarded
    INVALID = "bad"


class PeerHandshake(msgspec.Struct, frozen=True):
    """The first frame from one member to another, with the names of both and of the cluster."""

    cluster: str
    name: str
    recipient: str = msgspec.field(name="to")


class Request(msgspec.Struct, frozen=True):
    """A client's request.

    `key` is a key, a pattern or a member's name, by `kind`. A watch gives events after `after_revision`. A
    read may be behind by `max_staleness_ms`. The member answers within `timeout_ms`.
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
    """What a member reports of itself; the keys on the wire are those that `store status --json` prints."""

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
    """The answer to a request; `error` is `ErrorCode.NONE` where the request was carried out."""

    error: ErrorCode = ErrorCode.NONE
    reason: str = ""
    leader: str = ""
    result: CommandResult | None = None
    versions: list[KeyVersion] = msgspec.field(default_factory=list, name="found")
    events: list[Event] = []
    revision: int = 0
    """The revision as of which a read is answered, or up to which a watch has come."""
    commit_age_ms: int = msgspec.field(default=0, name="age_ms")
    """By how much the answer may be behind."""
    status: MemberStatus | None = None
    chunk: bytes = msgspec.field(default=b"", name="data")
    """A part of a backup."""
    remaining_bytes: int = msgspec.field(default=0, name="left")
    """Bytes of the backup that follow in further replies."""
