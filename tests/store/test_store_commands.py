"""`validate`: the limits of commands."""

from __future__ import annotations

import pytest

from wheatstile.store.commands import MAX_TTL_MS, Command, Operation, OperationKind, Precondition, validate
from wheatstile.store.errors import InvalidCommandError

PUT = OperationKind.PUT
DELETE = OperationKind.DELETE


@pytest.mark.parametrize(
    ("command", "reason"),
    [
        (Command([Operation(PUT, "")]), "key of 0 bytes"),
        (Command([Operation(PUT, "k", bytes(2 << 20))]), "k: value of"),
        (Command([Operation(PUT, "k"), Operation(DELETE, "k")]), "twice"),
        (Command([Operation(PUT, "k", ttl_ms=-1)]), "ttl"),
        (Command([Operation(PUT, "k", ttl_ms=MAX_TTL_MS + 1)]), "ttl"),
        (Command(preconditions=[Precondition("k", 0)] * 65), "65 operations"),
    ],
)
def test_an_invalid_command_is_rejected(command: Command, reason: str) -> None:
    with pytest.raises(InvalidCommandError, match=reason):
        validate(command)
