"""Keywords for idempotencies and deduplication scopes. Performs no I/O.

Files, extensions, JSON schemas, worker messages, logs and command output represent the members of these
enumerations by the keywords in the tables below, never by the values of the members.
"""

from collections.abc import Iterable, Mapping
from enum import Enum
from typing import Generic, TypeVar

from wheatstile.descriptions.findings import DescriptionError
from wheatstile.interface import DeduplicationScope, Idempotency

Member = TypeVar("Member", bound=Enum)


class UnknownKeywordError(DescriptionError):
    """Raised for a value that is not one of the allowed keywords."""

    def __init__(self, value: object, allowed: Iterable[str]) -> None:
        self.value = value
        self.allowed = tuple(allowed)
        super().__init__(f"{value!r} is not one of {', '.join(self.allowed)}")


class KeywordTable(Generic[Member]):
    """A one-to-one mapping between the members of an enumeration and their keywords."""

    def __init__(self, keywords: Mapping[Member, str]) -> None:
        self._keywords = dict(keywords)
        self._members = {keyword: member for member, keyword in keywords.items()}

    @property
    def keywords(self) -> tuple[str, ...]:
        """All keywords, in the order of the table."""
        return tuple(self._members)

    def keyword(self, member: Member) -> str:
        """Return the keyword of a member."""
        return self._keywords[member]

    def member(self, keyword: object) -> Member:
        """Return the member that has this keyword. Raises UnknownKeywordError if there is none."""
        if not isinstance(keyword, str) or keyword not in self._members:
            raise UnknownKeywordError(keyword, self.keywords)
        return self._members[keyword]

    def without(self, excluded: Member) -> "KeywordTable[Member]":
        """Return a table of all members except one."""
        return KeywordTable(
            {member: keyword for member, keyword in self._keywords.items() if member != excluded}
        )


IDEMPOTENCY_KEYWORDS = KeywordTable(
    {
        Idempotency.IDEMPOTENT: "safe",
        Idempotency.IDEMPOTENCY_KEY: "keyed",
        Idempotency.NON_IDEMPOTENT: "unsafe",
    }
)
SCOPE_KEYWORDS = KeywordTable(
    {
        DeduplicationScope.ALL: "all",
        DeduplicationScope.ZONE: "zone",
        DeduplicationScope.CELL: "cell",
        DeduplicationScope.UNKNOWN: "unknown",
    }
)
DECLARABLE_SCOPE_KEYWORDS = SCOPE_KEYWORDS.without(DeduplicationScope.UNKNOWN)
"""The scopes that a description may declare."""
