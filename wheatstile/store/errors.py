"""The store's exceptions. All derive from `StoreError` and carry their data as attributes."""

from __future__ import annotations


class StoreError(Exception):
    """Base of the store's exceptions."""


class ReasonError(StoreError):
    """Base of the exceptions whose message is their `reason`."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class MembershipChangeRejectedError(ReasonError):
    """The membership change or the leadership transfer is unsafe, or currently not possible."""


class OutcomeUnknownError(ReasonError):
    """It is unknown whether the request was carried out. A write may have been applied or not."""


class InvalidCommandError(ReasonError):
    """The command violates a limit, or writes a key twice."""


class RestoreRejectedError(ReasonError):
    """The backup cannot be restored under this cluster name or into this directory."""


class NotLeaderError(StoreError):
    """The operation requires the leader, and this member is not the leader.

    `leader` is the leader that this member knows of, or None.
    """

    def __init__(self, leader: str | None) -> None:
        known_leader = "no leader is known" if leader is None else f'the leader is "{leader}"'
        super().__init__(f"this member is not the leader; {known_leader}")
        self.leader = leader


class StorageFailedError(StoreError):
    """A write to the member's directory failed.

    The contents of the disk are unknown after the failure, so the member must stop and send no more replies.
    """

    def __init__(self, directory: str, cause: OSError) -> None:
        super().__init__(f"{directory}: {cause}")
        self.directory = directory
        self.cause = cause


class CorruptStorageError(StoreError):
    """A file is damaged in a way that a crash during a write cannot cause.

    `offset` is the byte offset of the corrupt record, or None if the error concerns the whole file.
    """

    def __init__(self, path: str, offset: int | None, reason: str) -> None:
        position = "" if offset is None else f"offset {offset}: "
        super().__init__(f"{path}: {position}{reason}")
        self.path = path
        self.offset = offset
        self.reason = reason


class RecordTooLargeError(StoreError):
    """A value is not written to a file, because its record would exceed the limit."""

    def __init__(self, size_bytes: int, max_bytes: int) -> None:
        super().__init__(f"record of {size_bytes} bytes; the limit is {max_bytes} bytes")
        self.size_bytes = size_bytes
        self.max_bytes = max_bytes


class WatchCompactedError(StoreError):
    """A watch requires events that were discarded. The client has to read the keys again.

    `compacted_revision` is the revision of the latest event that was discarded.
    """

    def __init__(self, compacted_revision: int) -> None:
        super().__init__(f"events up to revision {compacted_revision} were discarded")
        self.compacted_revision = compacted_revision


class RequestRejectedError(StoreError):
    """The store rejected a client's request. `code` is the error code of the reply."""

    def __init__(self, code: str, reason: str) -> None:
        super().__init__(f"{code}: {reason}")
        self.code = code
        self.reason = reason


class ProtocolError(StoreError, ValueError):
    """A peer or a client violated the protocol. The connection is closed."""


class FrameTooLargeError(ProtocolError):
    """The body of a frame exceeds the receiver's limit. It is neither sent nor accepted."""

    def __init__(self, length_bytes: int, max_bytes: int) -> None:
        super().__init__(f"frame of {length_bytes} bytes; the limit is {max_bytes} bytes")
        self.length_bytes = length_bytes
        self.max_bytes = max_bytes
