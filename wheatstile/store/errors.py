"""The store's exceptions: all derive from `StoreError` and carry their data as attributes."""

from __future__ import annotations


class StoreError(Exception):
    """Base of the store's exceptions."""


class NotLeaderError(StoreError):
    """The operation needs the leader and reached another member.

    `leader` is the leader that the member knows of, or None.
    """

    def __init__(self, leader: str | None) -> None:
        super().__init__(f"not leader; leader {leader or '?'}")
        self.leader = leader


class MembershipChangeRejectedError(StoreError):
    """A membership change or a leadership transfer that is not safe or not possible now."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class OutcomeUnknownError(StoreError):
    """Whether the request was carried out is not known: a write may or may not be applied."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class StorageFailedError(StoreError):
    """Writing to a member's directory failed.

    What is on the disk is no longer known, so the member must stop without another answer.
    """

    def __init__(self, directory: str, cause: OSError) -> None:
        super().__init__(f"{directory}: {cause}")
        self.directory = directory
        self.cause = cause


class CorruptStorageError(StoreError):
    """A file holds what no crash leaves behind.

    `offset` is the byte offset of the bad record, or None where the file as a whole is meant.
    """

    def __init__(self, path: str, offset: int | None, reason: str) -> None:
        position = "" if offset is None else f"offset {offset}: "
        super().__init__(f"{path}: {position}{reason}")
        self.path = path
        self.offset = offset
        self.reason = reason


class WatchCompactedError(StoreError):
    """A watch asks for events that are no longer stored; the keys have to be read anew.

    `compacted_revision` is the revision of the latest event that was discarded.
    """

    def __init__(self, compacted_revision: int) -> None:
        super().__init__(f"the oldest is after {compacted_revision}")
        self.compacted_revision = compacted_revision


class InvalidCommandError(StoreError):
    """A command that breaks a limit, or writes a key twice."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class RestoreRejectedError(StoreError):
    """A backup may not be restored under this cluster's name or into this directory."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class ProtocolError(StoreError, ValueError):
    """A peer or a client sent what the protocol does not allow; the connection is closed."""


class FrameTooLargeError(ProtocolError):
    """A frame announces more bytes than the receiver accepts."""

    def __init__(self, length_bytes: int, max_bytes: int) -> None:
        super().__init__(f"a frame of {length_bytes} bytes, {max_bytes} at most")
        self.length_bytes = length_bytes
        self.max_bytes = max_bytes


class RequestRejectedError(StoreError):
    """The store has rejected a client's request; `code` is the reply's error code."""

    def __init__(self, code: str, reason: str) -> None:
        super().__init__(f"{code}: {reason}")
        self.code = code
        self.reason = reason
