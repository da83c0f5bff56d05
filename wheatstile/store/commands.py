"""Commands to the state machine and their results: MessagePack arrays in the log and on the wire."""

from __future__ import annotations

import enum

import msgspec

from wheatstile.store.errors import InvalidCommandError

MAX_KEY_BYTES = 512
MAX_VALUE_BYTES = 1 << 20
MAX_COMMAND_CLAUSES = 64
"""Maximum number of operations and preconditions in one command."""
MAX_TTL_MS = 100 * 365 * 24 * 3600 * 1000
"""Maximum time to live: 100 years. The time when a key expires has to fit into 64 bits in a snapshot."""

ANY_REVISION = -1
"""Expected revision of a key that may be at any revision, or absent."""
ABSENT_REVISION = 0
"""Expected revision of a key that must be absent."""


class OperationKind(enum.StrEnum):
    """The effect of an operation on its key; the values are used in the log and on the wire."""

    PUT = "put"
    DELETE = "delete"
    PURGE = "purge"  # deletes the key's earlier versions as well


class Operation(msgspec.Struct, frozen=True, array_like=True):
    """One operation of a command on one key.

    `expected_revision` is the revision that the key must be at, `ANY_REVISION` or `ABSENT_REVISION`. `ttl_ms`
    is the time to live, or 0 if the key does not expire.
    """

    kind: OperationKind
    key: str
    value: bytes = b""
    expected_revision: int = ANY_REVISION
    ttl_ms: int = 0


class Precondition(msgspec.Struct, frozen=True, array_like=True):
    """A key that a command does not write, and the revision that the key must be at."""

    key: str
    expected_revision: int


class Command(msgspec.Struct, frozen=True, array_like=True):
    """A transaction: all `operations` are applied if every precondition holds, otherwise none.

    A command with a `session_id` is applied at most once for each `sequence`; a repeated command returns
    the first result. `clock_ms` is the leader clock at the time when the leader proposed the command.
    """

    operations: list[Operation] = []
    preconditions: list[Precondition] = []
    session_id: str = ""
    sequence: int = 0
    clock_ms: int = 0


class CommandResult(msgspec.Struct, frozen=True, array_like=True):
    """The result of a command.

    `ok` tells whether the command was applied. `revision` is the revision of the write; if a precondition
    failed, it is the revision of that key, and `reason` describes the failure. `repeated` is set if the
    command had been applied before and this is its first result.
    """

    ok: bool
    revision: int = 0
    reason: str = ""
    repeated: bool = False


def validate(command: Command) -> None:
    """Check the limits of a command. Raises `InvalidCommandError`."""
    clause_count = len(command.operations) + len(command.preconditions)
    if clause_count > MAX_COMMAND_CLAUSES:
        raise InvalidCommandError(
            f"{clause_count} operations and preconditions; the limit is {MAX_COMMAND_CLAUSES}"
        )
    written: set[str] = set()
    for operation in command.operations:
        _validate_operation(operation)
        if operation.key in written:
            raise InvalidCommandError(f'key "{operation.key}" is written twice in one command')
        written.add(operation.key)


def _validate_operation(operation: Operation) -> None:
    key_bytes = len(operation.key.encode())
    if not 0 < key_bytes <= MAX_KEY_BYTES:
        raise InvalidCommandError(f"key of {key_bytes} bytes; it must have 1 to {MAX_KEY_BYTES} bytes")
    value_bytes = len(operation.value)
    if value_bytes > MAX_VALUE_BYTES:
        raise InvalidCommandError(
            f"{operation.key}: value of {value_bytes} bytes; the limit is {MAX_VALUE_BYTES} bytes"
        )
    if not 0 <= operation.ttl_ms <= MAX_TTL_MS:
        raise InvalidCommandError(
            f"{operation.key}: ttl of {operation.ttl_ms} ms; it must be 0 to {MAX_TTL_MS} ms"
        )
