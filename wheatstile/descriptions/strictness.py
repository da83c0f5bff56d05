"""Orders idempotencies by strictness, and deduplication scopes by size. Performs no I/O."""

from collections.abc import Mapping

from wheatstile.interface import DeduplicationScope, Idempotency

IDEMPOTENCY_STRICTNESS: Mapping[Idempotency, int] = {
    Idempotency.IDEMPOTENT: 0,
    Idempotency.IDEMPOTENCY_KEY: 1,
    Idempotency.NON_IDEMPOTENT: 2,
}
"""If two declarations for one operation or class differ, the one with the higher number applies."""

SCOPE_NARROWNESS: Mapping[DeduplicationScope, int] = {
    DeduplicationScope.ALL: 0,
    DeduplicationScope.ZONE: 1,
    DeduplicationScope.CELL: 2,
    DeduplicationScope.UNKNOWN: 3,
}
"""If two declared scopes differ, the one with the higher number applies.

A higher number means that fewer servers discard the duplicate of a request.
"""


def stricter(first: Idempotency, second: Idempotency) -> Idempotency:
    """Return the idempotency that allows fewer retries."""
    return max(first, second, key=IDEMPOTENCY_STRICTNESS.__getitem__)


def is_stricter(first: Idempotency, second: Idempotency) -> bool:
    """Return whether the first idempotency allows fewer retries than the second."""
    return IDEMPOTENCY_STRICTNESS[first] > IDEMPOTENCY_STRICTNESS[second]


def narrower(first: DeduplicationScope, second: DeduplicationScope) -> DeduplicationScope:
    """Return the scope in which fewer servers discard the duplicate of a request."""
    return max(first, second, key=SCOPE_NARROWNESS.__getitem__)


def is_narrower(first: DeduplicationScope, second: DeduplicationScope) -> bool:
    """Return whether fewer servers discard the duplicate of a request in the first scope."""
    return SCOPE_NARROWNESS[first] > SCOPE_NARROWNESS[second]
