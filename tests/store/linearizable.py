"""Whether a history of one register can be put in one order that agrees with time (Wing and Gong, "Testing
and Verifying Concurrent Objects", JPDC 1993; pruned by remembered states, Lowe 2017).

An operation that nobody answered may have been applied at any time after it was asked, or never.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import inf


@dataclass(frozen=True)
class Done:
    """`kind`: put (`value`), get (`value` is what was read), or swap (`value` for `before`, `ok` if it did).
    `begun` and `ended` are of one clock; an `ended` of infinity: nobody answered."""

    kind: str
    value: str | None
    begun: float
    ended: float
    before: str | None = None
    ok: bool = True


def after(state: str | None, done: Done) -> tuple[bool, str | None]:
    """Whether the operation can have gone so from this state, and the state after it."""
    if done.kind == "get":
        return state == done.value, state
    if done.kind == "put":
        return True, done.value
    if done.ended == inf:
        return True, done.value if state == done.before else state
    return (state == done.before) is done.ok, done.value if done.ok else state


def linearizable(history: list[Done]) -> bool:
    """Searches for an order; a read that nobody answered says nothing and is left out."""
    calls = sorted((d for d in history if d.kind != "get" or d.ended < inf), key=lambda d: d.begun)
    certain = sum(1 << i for i, d in enumerate(calls) if d.ended < inf)
    seen: set[tuple[int, str | None]] = set()
    stack: list[tuple[int, str | None]] = [(0, None)]
    while stack:
        done, state = stack.pop()
        if done & certain == certain:
            return True
        # Next may only be who began before the first end among those that are left.
        left = [i for i in range(len(calls)) if not done >> i & 1]
        horizon = min(calls[i].ended for i in left)
        for i in left:
            if calls[i].begun > horizon:
                break
            fits, new = after(state, calls[i])
            if fits and (entry := (done | 1 << i, new)) not in seen:
                seen.add(entry)
                stack.append(entry)
    return False
