"""Tests for the decision whether a valid endpoint file replaces the active endpoints."""

import json

import pytest
from support.endpoint_files import RULES, endpoint_rows

from wheatstile.resolvers.endpoint_file import EndpointFile, parse_endpoint_file
from wheatstile.resolvers.update_guard import ActiveEndpoints, EvaluationOutcome, PendingApproval, evaluate

NOTHING_ACCEPTED: frozenset[str] = frozenset()
ACCEPTED = EvaluationOutcome.ACCEPTED
UNCHANGED = EvaluationOutcome.UNCHANGED
AWAITING_APPROVAL = EvaluationOutcome.AWAITING_APPROVAL
REJECTED = EvaluationOutcome.REJECTED


def endpoint_file(names: str, generation: int | None = None, site: str = "a") -> EndpointFile:
    """Return an endpoint file with one server for each letter."""
    value: dict[str, object] = {"servers": endpoint_rows(*names, site=site)}
    if generation is not None:
        value["generation"] = generation
    return parse_endpoint_file("f", json.dumps(value).encode(), RULES)


def active_endpoints(active_file: EndpointFile | None, *sites: str) -> ActiveEndpoints:
    """Return the endpoints of this file with these sites."""
    ready = active_file.ready_names() if active_file else frozenset()
    return ActiveEndpoints(active_file, sites, ready)


@pytest.mark.parametrize(
    ("candidate", "active", "outcome", "reason"),
    [
        (endpoint_file("abcd", 2), endpoint_file("abcd", 1), ACCEPTED, ""),
        (endpoint_file("abcd"), endpoint_file("abc"), ACCEPTED, ""),
        (endpoint_file("abcd", 1), endpoint_file("abcd", 1), UNCHANGED, ""),
        (endpoint_file("abcd", 1), endpoint_file("abc", 2), REJECTED, "older than the active generation 2"),
        (endpoint_file("abcd", 1), endpoint_file("abc", 1), REJECTED, "active with different content"),
        (endpoint_file("abcd"), endpoint_file("abc", 1), REJECTED, "has no generation"),
        (endpoint_file("ab", 2), endpoint_file("abcd", 1), ACCEPTED, ""),
        (endpoint_file("a", 2), endpoint_file("abcd", 1), AWAITING_APPROVAL, "3 of 4 ready"),
        (endpoint_file("efgh", 2), endpoint_file("abcd", 1), AWAITING_APPROVAL, "4 of 4 ready"),
        (endpoint_file("abcd", 2, "b"), endpoint_file("abcd", 1), REJECTED, 'site "a" would keep 0'),
    ],
)
def test_file_is_compared_with_the_active_file(
    candidate: EndpointFile, active: EndpointFile, outcome: EvaluationOutcome, reason: str
) -> None:
    evaluation = evaluate(candidate, active_endpoints(active, "a"), None, NOTHING_ACCEPTED, RULES)

    assert evaluation.outcome is outcome
    assert reason in " ".join(evaluation.reasons)
    assert evaluation.is_blocked == (outcome in (AWAITING_APPROVAL, REJECTED))


@pytest.mark.parametrize(("served_sites", "outcome"), [(("a",), ACCEPTED), (("a", "b"), REJECTED)])
def test_first_file_must_keep_ready_servers_in_the_served_sites(
    served_sites: tuple[str, ...], outcome: EvaluationOutcome
) -> None:
    active = active_endpoints(None, *served_sites)
    assert evaluate(endpoint_file("a"), active, None, NOTHING_ACCEPTED, RULES).outcome is outcome


PENDING_DIGEST = endpoint_file("a", 2).digest


@pytest.mark.parametrize(
    ("candidate", "accepted_digests", "outcome"),
    [
        pytest.param(endpoint_file("a", 2), NOTHING_ACCEPTED, AWAITING_APPROVAL, id="same file"),
        pytest.param(endpoint_file("a", 3), NOTHING_ACCEPTED, ACCEPTED, id="repeated by newer generation"),
        pytest.param(endpoint_file("b", 3), NOTHING_ACCEPTED, AWAITING_APPROVAL, id="different removal"),
        pytest.param(
            endpoint_file("a", 2), frozenset([PENDING_DIGEST]), ACCEPTED, id="accepted by its digest"
        ),
        pytest.param(
            endpoint_file("b", 3),
            frozenset([PENDING_DIGEST]),
            AWAITING_APPROVAL,
            id="another digest accepted",
        ),
    ],
)
def test_pending_removal_is_approved_by_a_newer_generation_or_by_its_digest(
    candidate: EndpointFile, accepted_digests: frozenset[str], outcome: EvaluationOutcome
) -> None:
    active = active_endpoints(endpoint_file("abcd", 1), "a")
    pending = evaluate(endpoint_file("a", 2), active, None, NOTHING_ACCEPTED, RULES).pending
    assert pending == PendingApproval(PENDING_DIGEST, 2, frozenset("bcd"))
    assert evaluate(candidate, active, pending, accepted_digests, RULES).outcome is outcome
