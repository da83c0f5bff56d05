"""Whether a whole document takes the place of the list in force."""

import json

import pytest
from test_endpoint_file import RULES, rows

from wheatstile.resolvers.endpoint_file import EndpointFile, parse_endpoint_file
from wheatstile.resolvers.update_guard import ActiveEndpoints, PendingApproval, evaluate

NONE: frozenset[str] = frozenset()


def doc(names: str, generation: int | None = None, site: str = "a") -> EndpointFile:
    value = {"servers": rows(*names, site=site)} | ({} if generation is None else {"generation": generation})
    return parse_endpoint_file("f", json.dumps(value).encode(), RULES)


def force(document: EndpointFile | None, *sites: str) -> ActiveEndpoints:
    return ActiveEndpoints(document, sites, frozenset(document.ready()) if document else NONE)


@pytest.mark.parametrize(
    ("new", "old", "outcome", "told"),
    [
        (doc("abcd", 2), doc("abcd", 1), "taken", ""),
        (doc("abcd"), doc("abc"), "taken", ""),
        (doc("abcd", 1), doc("abcd", 1), "unchanged", ""),
        (doc("abcd", 1), doc("abc", 2), "refused", "goes back behind 2"),
        (doc("abcd", 1), doc("abc", 1), "refused", "another content"),
        (doc("abcd"), doc("abc", 1), "refused", "has no generation"),
        (doc("ab", 2), doc("abcd", 1), "taken", ""),
        (doc("a", 2), doc("abcd", 1), "held", "3 of 4 ready"),
        (doc("efgh", 2), doc("abcd", 1), "held", "4 of 4 ready"),
        (doc("abcd", 2, "b"), doc("abcd", 1), "refused", 'site "a" would keep 0'),
    ],
)
def test_a_document_against_the_list_in_force(
    new: EndpointFile, old: EndpointFile, outcome: str, told: str
) -> None:
    admission = evaluate(new, force(old, "a"), None, NONE, RULES)
    assert (admission.outcome, told in " ".join(admission.reasons)) == (outcome, True)


def test_a_first_document_is_held_against_the_sites_that_are_served() -> None:
    assert evaluate(doc("a"), force(None, "a"), None, NONE, RULES).outcome == "taken"
    assert evaluate(doc("a"), force(None, "a", "b"), None, NONE, RULES).outcome == "refused"


def test_a_held_change_is_taken_when_a_newer_generation_repeats_it_or_it_is_accepted() -> None:
    old = doc("abcd", 1)
    held = evaluate(doc("a", 2), force(old, "a"), None, NONE, RULES).held
    assert held == PendingApproval(doc("a", 2).digest, 2, frozenset("bcd"))
    again = [
        (doc("a", 2), NONE, "held"),  # the same once more
        (doc("a", 3), NONE, "taken"),
        (doc("b", 3), NONE, "held"),  # another change
        (doc("a", 2), frozenset([doc("a", 2).digest]), "taken"),
        (doc("b", 3), frozenset([doc("a", 2).digest]), "held"),
    ]
    for new, accepted, outcome in again:
        assert evaluate(new, force(old, "a"), held, accepted, RULES).outcome == outcome
