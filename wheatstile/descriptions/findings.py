"""Problems in descriptions, with their location and severity, and the errors that carry them. Pure."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, replace
from enum import StrEnum

MAX_FINDINGS_IN_MESSAGE = 20  # limit for the text of an exception; its `findings` has all of them


@dataclass(frozen=True, slots=True, order=True)
class SourceLocation:
    """A position in a file: its line (from 1) and its JSON pointer (RFC 6901)."""

    file: str
    line: int
    pointer: str

    def __str__(self) -> str:
        return f"{self.file}:{self.line}: {self.pointer or '/'}"

    def short(self) -> str:
        """Return `FILE:LINE`, for a location that is only mentioned."""
        return f"{self.file}:{self.line}"


class Severity(StrEnum):
    """The effect of a finding on the use of the descriptions."""

    CONFLICT = "conflict"  # the descriptions are rejected
    WARNING = "warning"  # the descriptions are used, with the stricter of two statements


@dataclass(frozen=True, slots=True)
class Finding:
    """One problem, with the location of the contradicting statement if there is one."""

    location: SourceLocation
    reason: str
    related: SourceLocation | None = None
    severity: Severity = Severity.CONFLICT

    def __str__(self) -> str:
        related = f" (against {self.related.short()})" if self.related else ""
        prefix = "warning: " if self.severity is Severity.WARNING else ""
        return f"{self.location}: {prefix}{self.reason}{related}"


def by_location(findings: Iterable[Finding]) -> list[Finding]:
    """Return the distinct findings, in the order of their locations."""
    return sorted(set(findings), key=lambda finding: (finding.location, finding.reason))


class DescriptionError(ValueError):
    """Base of all errors that this package raises."""


class InvalidDescriptionError(DescriptionError):
    """Raised for descriptions that cannot be used. `findings` has every reason."""

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

    def conflict(self, location: SourceLocation, reason: str, related: SourceLocation | None = None) -> None:
        """Add a finding that makes the descriptions unusable."""
        self._findings.append(Finding(location, reason, related))

    def warn(self, location: SourceLocation, reason: str, related: SourceLocation | None = None) -> None:
        """Add a finding that leaves the descriptions usable."""
        self._findings.append(Finding(location, reason, related, Severity.WARNING))

    def promote_warnings(self) -> None:
        """Turn every warning into a conflict."""
        self._findings = [replace(finding, severity=Severity.CONFLICT) for finding in self._findings]

    def with_severity(self, severity: Severity) -> list[Finding]:
        """Return the findings of one severity, in the order in which they were added."""
        return [finding for finding in self._findings if finding.severity is severity]
