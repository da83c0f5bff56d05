"""Findings, which are problems in descriptions, and the errors of this package. Performs no I/O."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, replace
from enum import StrEnum

MAX_FINDINGS_IN_MESSAGE = 20  # the text of an InvalidDescriptionError contains no more


@dataclass(frozen=True, slots=True, order=True)
class SourceLocation:
    """A location in a file: the line, starting at 1, and the JSON pointer (RFC 6901)."""

    file: str
    line: int
    pointer: str

    def __str__(self) -> str:
        return f"{self.file}:{self.line}: {self.pointer or '/'}"

    def file_and_line(self) -> str:
        """Return the location without its JSON pointer: `FILE:LINE`."""
        return f"{self.file}:{self.line}"


class Severity(StrEnum):
    """The severity of a finding. It decides whether the descriptions are accepted."""

    CONFLICT = "conflict"  # the descriptions are rejected
    WARNING = "warning"  # the descriptions are accepted; of two declarations, the stricter one applies


@dataclass(frozen=True, slots=True)
class Finding:
    """One problem in a description or in the operator's rules."""

    location: SourceLocation
    reason: str
    related: SourceLocation | None = None  # location of the declaration that this one contradicts
    severity: Severity = Severity.CONFLICT

    def __str__(self) -> str:
        related = f" (against {self.related.file_and_line()})" if self.related else ""
        prefix = "warning: " if self.severity is Severity.WARNING else ""
        return f"{self.location}: {prefix}{self.reason}{related}"


def sorted_by_location(findings: Iterable[Finding]) -> list[Finding]:
    """Return the findings without duplicates, sorted by location."""
    return sorted(set(findings), key=lambda finding: (finding.location, finding.reason))


class DescriptionError(ValueError):
    """Base of all errors that this package raises."""


class InvalidDescriptionError(DescriptionError):
    """Raised for invalid descriptions. `findings` contains every problem."""

    def __init__(self, findings: list[Finding]) -> None:
        self.findings = findings
        super().__init__("; ".join(str(finding) for finding in findings[:MAX_FINDINGS_IN_MESSAGE]))

    @classmethod
    def at(
        cls, location: SourceLocation, reason: str, related: SourceLocation | None = None
    ) -> "InvalidDescriptionError":
        """Return an error with one finding."""
        return cls([Finding(location, reason, related)])

    def lines(self) -> list[str]:
        """Return one line for each finding: `FILE:LINE: POINTER: reason`."""
        return [str(finding) for finding in self.findings]


class FindingCollector:
    """Collects findings while descriptions are compiled, so that all are reported at once."""

    def __init__(self) -> None:
        self._findings: list[Finding] = []

    def __iter__(self) -> Iterator[Finding]:
        return iter(self._findings)

    def add_conflict(
        self, location: SourceLocation, reason: str, related: SourceLocation | None = None
    ) -> None:
        """Add a finding that causes the descriptions to be rejected."""
        self._findings.append(Finding(location, reason, related))

    def add_warning(
        self, location: SourceLocation, reason: str, related: SourceLocation | None = None
    ) -> None:
        """Add a finding with which the descriptions are still accepted."""
        self._findings.append(Finding(location, reason, related, Severity.WARNING))

    def promote_warnings(self) -> None:
        """Turn every warning into a conflict."""
        self._findings = [replace(finding, severity=Severity.CONFLICT) for finding in self._findings]

    def with_severity(self, severity: Severity) -> list[Finding]:
        """Return the findings with this severity, in the order in which they were added."""
        return [finding for finding in self._findings if finding.severity is severity]
