"""Reads our extensions (`x-wheatstile-...`) from OpenAPI and AsyncAPI documents. Pure.

Every function takes the holders of an extension from the inside out, such as operation, path and document;
the first that has the extension counts. All raise InvalidDescriptionError for a value that cannot be used.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum
from typing import TypeVar

from wheatstile.descriptions.findings import InvalidDescriptionError, SourceLocation
from wheatstile.descriptions.model import (
    DEDUPLICATION_SCOPES,
    MICROSECONDS_PER_SECOND,
    Extension,
    RetrySafety,
)
from wheatstile.descriptions.references import DocumentNode
from wheatstile.interface import DeduplicationScope, Idempotency

MICROSECONDS_PER_MILLISECOND = 1000
TIMEOUT_LIMIT_MS = 1e9
WINDOW_LIMIT_S = 1e8

Choice = TypeVar("Choice", bound=StrEnum)


@dataclass(frozen=True, slots=True)
class Deduplication:
    """Which servers discard a repeat, and for how long."""

    scope: DeduplicationScope
    window_us: int  # 0: not declared


@dataclass(frozen=True, slots=True)
class RetryExtension:
    """What a description declares of retrying an operation."""

    idempotency: Idempotency
    because: str  # the author's reason; may be empty
    deduplication: Deduplication
    location: SourceLocation

    @property
    def lacks_reason(self) -> bool:
        """Whether it declares an operation idempotent without saying why."""
        return self.idempotency is Idempotency.IDEMPOTENT and not self.because

    def retry_safety(self) -> RetrySafety:
        """Return the declaration as the retry safety of its operation."""
        because = f": {self.because}" if self.because else ""
        return RetrySafety(
            self.idempotency,
            f"{Extension.RETRY} says {self.idempotency}{because}",
            self.location,
            self.deduplication.scope,
            self.deduplication.window_us,
        )


def nearest_extension(extension: Extension, holders: Sequence[DocumentNode]) -> DocumentNode | None:
    """Return the extension at the first of the holders that has it."""
    for holder in holders:
        if (node := holder.get_unresolved(extension)) is not None:
            return node
    return None


def service_class_of(*holders: DocumentNode) -> tuple[str, SourceLocation | None]:
    """Return the name of the declared class and its location; empty if none is declared."""
    node = nearest_extension(Extension.CLASS, holders)
    if node is None:
        return "", None
    if not isinstance(node.value, str) or not node.value:
        raise InvalidDescriptionError.at(node.location, "is no name of a class")
    return node.value, node.location


def timeout_of(*holders: DocumentNode) -> tuple[int, SourceLocation | None]:
    """Return the declared time-out in microseconds and its location; 0 if none is declared."""
    node = nearest_extension(Extension.TIMEOUT_MS, holders)
    if node is None:
        return 0, None
    timeout_ms = _positive_number(node, TIMEOUT_LIMIT_MS, "milliseconds")
    return int(timeout_ms * MICROSECONDS_PER_MILLISECOND), node.location


def retry_extension_of(*holders: DocumentNode) -> RetryExtension | None:
    """Return what is declared of retrying; None if nothing is."""
    node = nearest_extension(Extension.RETRY, holders)
    if node is None:
        return None
    idempotency = _choice(node, list(Idempotency))
    because = nearest_extension(Extension.BECAUSE, holders)
    reason = because.value if because and isinstance(because.value, str) else ""
    return RetryExtension(idempotency, reason.strip(), deduplication_of(*holders), node.location)


def deduplication_of(*holders: DocumentNode) -> Deduplication:
    """Return the declared deduplication; all servers and no window unless declared."""
    scope_node = nearest_extension(Extension.SCOPE, holders)
    window_node = nearest_extension(Extension.WINDOW_S, holders)
    scope = _choice(scope_node, DEDUPLICATION_SCOPES) if scope_node else DeduplicationScope.ALL
    if window_node is None:
        return Deduplication(scope, 0)
    window_s = _positive_number(window_node, WINDOW_LIMIT_S, "seconds")
    return Deduplication(scope, int(window_s * MICROSECONDS_PER_SECOND))


def _choice(node: DocumentNode, choices: Sequence[Choice]) -> Choice:
    for choice in choices:
        if node.value == choice.value:
            return choice
    raise InvalidDescriptionError.at(node.location, f"is none of {', '.join(choices)}")


def _positive_number(node: DocumentNode, limit: float, unit: str) -> int | float:
    value = node.value
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 < value < limit:
        raise InvalidDescriptionError.at(node.location, f"is no number of {unit} over 0")
    return value
