"""Whether a document takes the place of the list in force. Pure: no input or output, no clock.

`document.read` says whether a file is whole and keeps to its form; here it is held against what it replaces.
"""

from dataclasses import dataclass
from typing import Literal

from wheatstile import interface as api
from wheatstile.resolvers.endpoint_file import EndpointFile, EndpointFileRules, site_faults


@dataclass(frozen=True, slots=True)
class ActiveEndpoints:
    """What a new document is held against."""

    document: EndpointFile | None  # the file's last, which may be from before a restart
    sites: tuple[str, ...]  # that the list in force serves
    ready: frozenset[str]  # servers that a change may not take away too many of at once

    @classmethod
    def of(cls, document: EndpointFile) -> "ActiveEndpoints":
        """A document in force: its sites are those it names, else those it serves."""
        zones = {
            named.endpoint.zone
            for named in document.servers.values()
            if named.endpoint.state == api.EndpointState.READY
        }
        return cls(document, document.sites or tuple(sorted(zones - {""})), frozenset(document.ready()))


@dataclass(frozen=True, slots=True)
class PendingApproval:
    """A document that takes too much away, and waits to be repeated by a newer one or to be accepted."""

    digest: str
    generation: int | None
    removed: frozenset[str]


@dataclass(frozen=True, slots=True)
class Evaluation:
    """What becomes of a document, and why."""

    outcome: Literal["taken", "unchanged", "held", "refused"]
    reasons: tuple[str, ...] = ()
    held: PendingApproval | None = None  # what waits from now on


def evaluate(
    document: EndpointFile,
    force: ActiveEndpoints,
    held: PendingApproval | None,
    accepted: frozenset[str],
    rules: EndpointFileRules,
) -> Evaluation:
    """Hold a whole document against the list in force.

    accepted: digests that an operator has accepted by name; they let a held document in, nothing else.
    """
    old = force.document
    if old and old.digest == document.digest:
        return Evaluation("unchanged", ("the list in force says the same",), held)
    reasons = _generation_faults(document, old)
    if document.sites is None:
        reasons += [fault.reason for fault in site_faults(document, force.sites, rules)]
    if reasons:
        return Evaluation("refused", tuple(reasons), held)
    removed = force.ready - document.ready()
    if len(removed) <= rules.most_removed * len(force.ready):
        return Evaluation("taken")
    change = f"takes {len(removed)} of {len(force.ready)} ready servers away"
    if document.digest in accepted:
        return Evaluation("taken", (f"{change}, as accepted",))
    if held and _repeats(document, removed, held):
        return Evaluation("taken", (f"{change}, as generation {held.generation} did before it",))
    if held and held.digest == document.digest:
        return Evaluation("held", (f"{change}; still held",), held)
    reason = (
        f"{change}, more than servers.most_removed ({rules.most_removed:g}) allows: held until a newer "
        f"generation repeats it or `wheatstile servers accept` names {document.digest}"
    )
    return Evaluation(
        "held", (reason,), PendingApproval(document.digest, document.generation, frozenset(removed))
    )


def _generation_faults(document: EndpointFile, old: EndpointFile | None) -> list[str]:
    if old is None or old.generation is None:
        return []
    if document.generation is None:
        return [f"has no generation, and the list in force has {old.generation}"]
    if document.generation < old.generation:
        return [f"generation {document.generation} goes back behind {old.generation}"]
    if document.generation == old.generation:
        return [f"generation {document.generation} is in force with another content: raise it"]
    return []


def _repeats(document: EndpointFile, removed: set[str] | frozenset[str], held: PendingApproval) -> bool:
    """Whether a newer generation takes away what the held one did, and nobody beside."""
    newer = None not in (document.generation, held.generation) and document.generation > held.generation  # type: ignore[operator]
    return newer and removed <= held.removed
