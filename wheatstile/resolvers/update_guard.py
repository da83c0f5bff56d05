"""Decides whether a new endpoint file replaces the active endpoints. Pure: performs no I/O, reads no clock.

`parse_endpoint_file` checks a file on its own. This module compares it with the endpoints that it would
replace.
"""

from dataclasses import dataclass
from enum import StrEnum

from wheatstile.resolvers.endpoint_file import EndpointFile, EndpointFileRules, site_shortages
from wheatstile.resolvers.ready_endpoints import served_sites


@dataclass(frozen=True, slots=True)
class ActiveEndpoints:
    """The endpoints that a new endpoint file would replace."""

    endpoint_file: EndpointFile | None  # the active file; it may have been accepted before a restart
    sites: tuple[str, ...]  # sites that must keep ready servers
    ready: frozenset[str]  # names of the ready servers that the new file may remove

    @classmethod
    def from_file(cls, endpoint_file: EndpointFile) -> "ActiveEndpoints":
        """Return the endpoints of an active file. The sites are those that it lists or, if none, serves."""
        sites = endpoint_file.sites or served_sites(endpoint_file.endpoints())
        return cls(endpoint_file, sites, endpoint_file.ready_names())


@dataclass(frozen=True, slots=True)
class PendingApproval:
    """A file that removes too many servers.

    The removal is approved if a newer generation repeats it, or if an operator accepts the file.
    """

    digest: str
    generation: int | None
    removed: frozenset[str]  # names of the ready servers that the file removes


class EvaluationOutcome(StrEnum):
    """The result of comparing a new endpoint file with the active endpoints."""

    ACCEPTED = "accepted"
    UNCHANGED = "unchanged"  # the file is already active
    AWAITING_APPROVAL = "awaiting approval"
    REJECTED = "rejected"


@dataclass(frozen=True, slots=True)
class Evaluation:
    """The outcome for a new endpoint file, and the reasons for it."""

    outcome: EvaluationOutcome
    reasons: tuple[str, ...] = ()
    pending: PendingApproval | None = None  # the file that awaits approval after this evaluation

    @property
    def is_blocked(self) -> bool:
        """True if the file is rejected or awaits approval."""
        return self.outcome in (EvaluationOutcome.REJECTED, EvaluationOutcome.AWAITING_APPROVAL)


def evaluate(
    candidate: EndpointFile,
    active: ActiveEndpoints,
    pending: PendingApproval | None,
    accepted_digests: frozenset[str],
    rules: EndpointFileRules,
) -> Evaluation:
    """Compare a valid endpoint file with the active endpoints.

    Args:
        candidate: the new file.
        active: the endpoints that it would replace.
        pending: the file that has awaited approval so far, if any.
        accepted_digests: digests of the files that an operator has accepted. Acceptance approves the removal
            of servers; all other rules still apply.
        rules: the operator's limits.

    """
    if active.endpoint_file and active.endpoint_file.digest == candidate.digest:
        reasons = ("the active file has the same content",)
        return Evaluation(EvaluationOutcome.UNCHANGED, reasons, pending)
    violations = _violations(candidate, active, rules)
    if violations:
        return Evaluation(EvaluationOutcome.REJECTED, tuple(violations), pending)
    removed = active.ready - candidate.ready_names()
    if len(removed) <= rules.max_removed_share * len(active.ready):
        return Evaluation(EvaluationOutcome.ACCEPTED)
    summary = f"removes {len(removed)} of {len(active.ready)} ready servers"
    removal = PendingApproval(candidate.digest, candidate.generation, removed)
    return _evaluate_large_removal(removal, summary, pending, accepted_digests, rules)


def _evaluate_large_removal(
    removal: PendingApproval,
    summary: str,
    pending: PendingApproval | None,
    accepted_digests: frozenset[str],
    rules: EndpointFileRules,
) -> Evaluation:
    """Accept the file if the removal is approved. Otherwise it awaits approval."""
    if removal.digest in accepted_digests:
        return Evaluation(EvaluationOutcome.ACCEPTED, (f"{summary}; accepted by an operator",))
    if pending and _repeats_removal(removal, pending):
        reason = f"{summary}; repeats the removal of generation {pending.generation}"
        return Evaluation(EvaluationOutcome.ACCEPTED, (reason,))
    if pending and pending.digest == removal.digest:
        reason = f"{summary}; still awaiting approval"
        return Evaluation(EvaluationOutcome.AWAITING_APPROVAL, (reason,), pending)
    reason = (
        f"{summary}, more than servers.most_removed ({rules.max_removed_share:g}) allows: awaiting approval "
        f"until a newer generation repeats it or `wheatstile servers accept` names {removal.digest}"
    )
    return Evaluation(EvaluationOutcome.AWAITING_APPROVAL, (reason,), removal)


def _violations(candidate: EndpointFile, active: ActiveEndpoints, rules: EndpointFileRules) -> list[str]:
    violations = _generation_violations(candidate, active.endpoint_file)
    if candidate.sites is None:  # sites that the file lists were checked when it was parsed
        violations += [shortage.reason for shortage in site_shortages(candidate, active.sites, rules)]
    return violations


def _generation_violations(candidate: EndpointFile, active: EndpointFile | None) -> list[str]:
    if active is None or active.generation is None:
        return []
    if candidate.generation is None:
        return [f"has no generation, but the active file has generation {active.generation}"]
    if candidate.generation < active.generation:
        return [f"generation {candidate.generation} is older than the active generation {active.generation}"]
    if candidate.generation == active.generation:
        return [
            f"generation {candidate.generation} is active with different content: increase the generation"
        ]
    return []


def _repeats_removal(removal: PendingApproval, pending: PendingApproval) -> bool:
    """Return whether a newer generation removes only servers that the pending one removes."""
    if removal.generation is None or pending.generation is None:
        return False
    return removal.generation > pending.generation and removal.removed <= pending.removed
