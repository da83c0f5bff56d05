"""Checks whether the history of one register is linearizable.

A history is linearizable if there is an order of its operations that is correct for one register and
agrees with the times of their calls and returns. The search algorithm is that of Wing and Gong, "Testing and
Verifying Concurrent Objects" (JPDC 1993). It skips states that it has already visited (Lowe, "Testing for
Linearizability", 2017). An operation without a reply may have been applied at any time after its call, or
never.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass
from math import inf


class Kind(enum.Enum):
    """The kind of an operation on the register."""

    PUT = enum.auto()
    GET = enum.auto()
    SWAP = enum.auto()  # compare-and-swap


@dataclass(frozen=True)
class Operation:
    """One operation. `called_at` and `returned_at` are times on the same clock.

    `returned_at` is infinite if there was no reply. `value` is the value that was written or read. A swap
    writes `value` if the register has the value `expected`, and `succeeded` tells whether it was written.
    """

    kind: Kind
    value: str | None
    called_at: float
    returned_at: float
    expected: str | None = None
    succeeded: bool = True

    @property
    def is_answered(self) -> bool:
        return self.returned_at < inf


def apply(register: str | None, operation: Operation) -> tuple[bool, str | None]:
    """Return whether the operation can have this result, and the register's value after it."""
    if operation.kind is Kind.GET:
        return register == operation.value, register
    if operation.kind is Kind.PUT:
        return True, operation.value
    matches = register == operation.expected
    if not operation.is_answered:
        return True, operation.value if matches else register
    return matches is operation.succeeded, operation.value if operation.succeeded else register


def is_linearizable(history: list[Operation]) -> bool:
    """Return whether there is a valid order of the operations. Reads without a reply are ignored.

    `answered` and `applied` are sets of operations, represented as integers with one bit per operation.
    """
    operations = sorted(
        (operation for operation in history if operation.kind is not Kind.GET or operation.is_answered),
        key=lambda operation: operation.called_at,
    )
    answered = sum(1 << position for position, operation in enumerate(operations) if operation.is_answered)
    visited: set[tuple[int, str | None]] = set()
    stack: list[tuple[int, str | None]] = [(0, None)]
    while stack:
        applied, register = stack.pop()
        if applied & answered == answered:
            return True
        remaining = [position for position in range(len(operations)) if not applied >> position & 1]
        # The next operation must have been called before any of the remaining operations returned.
        first_return = min(operations[position].returned_at for position in remaining)
        for position in remaining:
            if operations[position].called_at > first_return:
                break
            is_possible, new_register = apply(register, operations[position])
            successor = (applied | 1 << position, new_register)
            if is_possible and successor not in visited:
                visited.add(successor)
                stack.append(successor)
    return False
