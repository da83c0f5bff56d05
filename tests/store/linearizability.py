"""Whether a history of one register is linearizable: can be put in one order that agrees with time.

The search is that of Wing and Gong, "Testing and Verifying Concurrent Objects" (JPDC 1993), pruned by
remembered states (Lowe, "Testing for Linearizability", 2017). An operation that nobody answered may have
been applied at any time after it was called, or never.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass
from math import inf


class Kind(enum.Enum):
    """What an operation does to the register."""

    PUT = enum.auto()
    GET = enum.auto()
    SWAP = enum.auto()  # compare and swap


@dataclass(frozen=True)
class Operation:
    """One operation; `called_at` and `returned_at` are of one clock, infinity where nobody answered.

    `value` is what is written or was read. A swap writes it if the register holds `expected`; `succeeded`
    says whether it did.
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
    """Return whether the operation can have gone so, and the register after it."""
    if operation.kind is Kind.GET:
        return register == operation.value, register
    if operation.kind is Kind.PUT:
        return True, operation.value
    matches = register == operation.expected
    if not operation.is_answered:
        return True, operation.value if matches else register
    return matches is operation.succeeded, operation.value if operation.succeeded else register


def is_linearizable(history: list[Operation]) -> bool:
    """Search for an order; a read that nobody answered says nothing and is left out.

    A set of operations is an integer with one bit for each, in the order of their calls.
    """
    operations = sorted(
        (operation for operation in history if operation.kind is not Kind.GET or operation.is_answered),
        key=lambda operation: operation.called_at,
    )
    answered = sum(1 << position for position, operation in enumerate(operations) if operation.is_answered)
    seen: set[tuple[int, str | None]] = set()
    stack: list[tuple[int, str | None]] = [(0, None)]
    while stack:
        applied, register = stack.pop()
        if applied & answered == answered:
            return True
        remaining = [position for position in range(len(operations)) if not applied >> position & 1]
        # Next may only be what was called before the first return among those that remain.
        first_return = min(operations[position].returned_at for position in remaining)
        for position in remaining:
            if operations[position].called_at > first_return:
                break
            fits, new_register = apply(register, operations[position])
            successor = (applied | 1 << position, new_register)
            if fits and successor not in seen:
                seen.add(successor)
                stack.append(successor)
    return False
