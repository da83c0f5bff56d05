"""Decides whether a new endpoint file replaces the active endpoints. Pure: no input or output, no clock.

`parse_endpoint_file` checks a file on its own; here it is compared with what it would replace.
"""

from dataclasses import dataclass
from enum import StrEnum

from wheatstile import interface as api
from wheatstile.resolvers.endpoint_file import EndpointFile, EndpointFileRules, site_violations


@dataclass(frozen=True, slots=True)
class ActiveEndpoints:
    """What a new endpoint file is compared with."""

    endpoint_file: EndpointFile | None  # the file in force, which may be from before a restart
    sites: tuple[str, ...]  # that the active endpoints serve
    ready: frozenset[str]  # names of the ready servers, of which one change may remove only a share

    @classmethod
    def from_file(cls, endpoint_file: EndpointFile) -> "ActiveEndpoints":
        """Take the endpoints of a file in force: its sites are those it names, else those it serves."""
        served_sites = {
            resolved.endpoint.zone
            for resolved in endpoint_file.servers.values()
            if resolved.endpoint.state == api.EndpointState.READY
        }
        sites = endpoint_file.sites or tuple(sorted(served_sites - {""}))
        return cls(endpoint_file, sites, endpoint_file.ready_names())


@dataclass(frozen=True, slots=True)
class PendingApproval:
    """A file that removes too many servers: a newer one has to repeat it, or an operator to accept it."""

    digest: str
    generation: int | None
    removed: frozenset[str]  # names of the ready servers that it removes


class EvaluationOutcome(StrEnum):
    """What becomes of a new endpoint file."""

    ACCEPTED = "accepted"
    UNCHANGED = "unchanged"  # it is in force already
    AWAITING_APPROVAL = "awaiting approval"
    REJECTED = "rejected"


@dataclass(frozen=True, slots=True)
class Evaluation:
    """The outcome for a new endpoint file, and the reasons for it."""

    outcome: EvaluationOutcome
    reasons: tuple[str, ...] = ()
    pending: PendingApproval | None = None  # what awaits approval from now on

    @property
    def is_blocked(self) -> bool:
        """Whether the file does not come into force now."""
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
        active: what it would replace.
        pending: the file that has awaited approval so far, if any.
        accepted_digests: accepted by an operator; they approve the removal of servers and nothing else.
        rules: the operator's limits.

    """
    if active.endpoint_file and active.endpoint_file.digest == candidate.digest:
        reasons = ("the list in force says the same",)
        return Evaluation(EvaluationOutcome.UNCHANGED, reasons, pending)
    violations = _violations(candidate, active, rules)
    if violations:
        return Evaluation(EvaluationOutcome.REJECTED, tuple(violations), pending)
    removed = active.ready - candidate.ready_names()
    if len(removed) <= rules.max_removed_share * len(active.ready):
        return Evaluation(EvaluationOutcome.ACCEPTED)
    change = f"takes {len(removed)} of {len(active.ready)} ready servers away"
    removal = PendingApproval(candidate.digest, candidate.generation, removed)
    return _evaluate_large_removal(removal, change, pending, accepted_digests, rules)


def _evaluate_large_removal(
    removal: PendingApproval,
    change: str,
    pending: PendingApproval | None,
    accepted_digests: frozenset[str],
    rules: EndpointFileRules,
) -> Evaluation:
    if removal.digest in accepted_digests:
        return Evaluation(EvaluationOutcome.ACCEPTED, (f"{change}, as accepted",))
    if pending and _confirms(removal, pending):
        reason = f"{change}, as generation {pending.generation} did before it"
        return Evaluation(EvaluationOutcome.ACCEPTED, (reason,))
    if pending and pending.digest == removal.digest:
        return Evaluation(EvaluationOutcome.AWAITING_APPROVAL, (f"{change}; still held",), pending)
    reason = (
        f"{change}, more than servers.most_removed ({rules.max_removed_share:g}) allows: held until a newer "
        f"generation repeats it or `wheatstile servers accept` names {removal.digest}"
    )
    return Evaluation(EvaluationOutcome.AWAITING_APPROVAL, (reason,), removal)


def _violations(candidate: EndpointFile, active: ActiveEndpoints, rules: EndpointFileRules) -> list[str]:
    violations = _generation_violations(candidate, active.endpoint_file)
    if candidate.sites is None:  # else its own sites were checked when it was parsed
        violations += [violation.reason for violation in site_violations(candidate, active.sites, rules)]
    return violations


def _generation_violations(candidate: EndpointFile, active: EndpointFile | None) -> list[str]:
    if active is None or active.generation is None:
        return []
    if candidate.generation is None:
        return [f"has no generation, and the list in force has {active.generation}"]
    if candidate.generation < active.generation:
        return [f"generation {candidate.generation} goes back behind {active.generation}"]
    if candidate.generation == active.generation:
        return [f"generation {candidate.generation} is in force with another content: raise it"]
    return []


def _confirms(removal: PendingApproval, pending: PendingApproval) -> bool:
    """Whether a newer generation removes servers that the pending one did, and no others."""
    if removal.generation is None or pending.generation is None:
        return False
    return removal.generation > pending.generation and removal.removed <= pending.removed
