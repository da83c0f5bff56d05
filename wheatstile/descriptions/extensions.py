"""Reads the extensions (`x-wheatstile-...`) in OpenAPI and AsyncAPI documents. Performs no I/O.

An extension may be set on an operation, on its path or channel, and on the whole document. The functions take
these nodes as `holders`, innermost first, and read the extension from the first node that has it. They raise
InvalidDescriptionError for an invalid value.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from typing import TypeVar

from wheatstile.descriptions.findings import InvalidDescriptionError, SourceLocation
from wheatstile.descriptions.keywords import (
    DECLARABLE_SCOPE_KEYWORDS,
    IDEMPOTENCY_KEYWORDS,
    KeywordTable,
    UnknownKeywordError,
)
from wheatstile.descriptions.model import (
    NO_CLASS,
    NO_TIMEOUT,
    US_PER_S,
    AssignedClass,
    DeclaredTimeout,
    Extension,
    RetrySafety,
)
from wheatstile.descriptions.references import DocumentNode
from wheatstile.interface import DeduplicationScope, Idempotency

US_PER_MS = 1000
TIMEOUT_LIMIT_MS = 1e9
WINDOW_LIMIT_S = 1e8

Member = TypeVar("Member", bound=Enum)


@dataclass(frozen=True, slots=True)
class Deduplication:
    """The servers that discard the duplicate of a request, and the time for which they do so."""

    scope: DeduplicationScope
    window_us: int  # 0: not declared


@dataclass(frozen=True, slots=True)
class RetryExtension:
    """The retry extension of an operation, with the related extensions."""

    idempotency: Idempotency
    because: str  # reason that the author of the description gives; empty: none
    deduplication: Deduplication
    location: SourceLocation

    @property
    def lacks_reason(self) -> bool:
        """True if the extension declares an operation idempotent without giving a reason."""
        return self.idempotency is Idempotency.IDEMPOTENT and not self.because

    def retry_safety(self) -> RetrySafety:
        """Return the retry safety that the extension declares."""
        because = f": {self.because}" if self.because else ""
        return RetrySafety(
            self.idempotency,
            f"{Extension.RETRY} is {IDEMPOTENCY_KEYWORDS.keyword(self.idempotency)}{because}",
            self.location,
            self.deduplication.scope,
            self.deduplication.window_us,
        )


def nearest_extension(extension: Extension, holders: Sequence[DocumentNode]) -> DocumentNode | None:
    """Return the extension of the first holder that has it; None if there is none."""
    for holder in holders:
        if (node := holder.get_unresolved(extension)) is not None:
            return node
    return None


def service_class_of(*holders: DocumentNode) -> AssignedClass:
    """Return the declared class; NO_CLASS if none is declared."""
    node = nearest_extension(Extension.CLASS, holders)
    if node is None:
        return NO_CLASS
    if not isinstance(node.value, str) or not node.value:
        raise InvalidDescriptionError.at(node.location, "is not the name of a class")
    return AssignedClass(node.value, node.location)


def timeout_of(*holders: DocumentNode) -> DeclaredTimeout:
    """Return the declared timeout; NO_TIMEOUT if none is declared."""
    node = nearest_extension(Extension.TIMEOUT_MS, holders)
    if node is None:
        return NO_TIMEOUT
    timeout_ms = _positive_number(node, TIMEOUT_LIMIT_MS, "milliseconds")
    return DeclaredTimeout(int(timeout_ms * US_PER_MS), node.location)


def retry_extension_of(*holders: DocumentNode) -> RetryExtension | None:
    """Return the retry extension; None if there is none."""
    node = nearest_extension(Extension.RETRY, holders)
    if node is None:
        return None
    idempotency = _keyword_member(node, IDEMPOTENCY_KEYWORDS)
    because = nearest_extension(Extension.BECAUSE, holders)
    reason = because.value if because and isinstance(because.value, str) else ""
    return RetryExtension(idempotency, reason.strip(), deduplication_of(*holders), node.location)


def deduplication_of(*holders: DocumentNode) -> Deduplication:
    """Return the declared deduplication. The defaults are the scope ALL and no window."""
    scope_node = nearest_extension(Extension.SCOPE, holders)
    window_node = nearest_extension(Extension.WINDOW_S, holders)
    scope = DeduplicationScope.ALL
    if scope_node:
        scope = _keyword_member(scope_node, DECLARABLE_SCOPE_KEYWORDS)
    if window_node is None:
        return Deduplication(scope, 0)
    window_s = _positive_number(window_node, WINDOW_LIMIT_S, "seconds")
    return Deduplication(scope, int(window_s * US_PER_S))


def _keyword_member(node: DocumentNode, table: KeywordTable[Member]) -> Member:
    """Return the member whose keyword is the value of the node."""
    try:
        return table.member(node.value)
    except UnknownKeywordError as error:
        reason = f"is not one of {', '.join(error.allowed)}"
        raise InvalidDescriptionError.at(node.location, reason) from None


def _positive_number(node: DocumentNode, limit: float, unit: str) -> int | float:
    """Return the value of the node, which must be a number greater than 0 and less than the limit."""
    value = node.value
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 < value < limit:
        raise InvalidDescriptionError.at(node.location, f"is not a number of {unit} greater than 0")
    return value
