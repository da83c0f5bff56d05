"""Results of the matcher, compared with those of a linear search through all routes."""

from hypothesis import given, settings
from hypothesis import strategies as st

from wheatstile.descriptions.route_matcher import RouteMatcher
from wheatstile.descriptions.routes import Relation, Token, TokenKind, path_tokens, relation, subject_tokens

SEGMENT = st.sampled_from(["a", "b", "ab", "{x}", "a{x}", "{x}b"])
TEMPLATE = st.lists(SEGMENT, min_size=1, max_size=4).map(lambda parts: "/" + "/".join(parts))
SUBJECT = st.tuples(
    st.lists(st.sampled_from(["a", "b", "*"]), min_size=1, max_size=3), st.sampled_from([[], [">"]])
).map(lambda parts: ".".join(parts[0] + parts[1]))
ROUTE = TEMPLATE.map(path_tokens) | SUBJECT.map(subject_tokens)
ROUTES = st.lists(ROUTE, max_size=12)
TARGET = st.lists(st.sampled_from(["a", "b", "ab", "aab", "c"]), max_size=5)


def route_matches(tokens: tuple[Token, ...], target: list[str]) -> bool:
    """Return whether a route matches, by comparing it with the target token by token."""
    for index, token in enumerate(tokens):
        if token.kind is TokenKind.REST:
            return len(target) > index
        if index >= len(target):
            return False
        if token.kind is TokenKind.LITERAL and token.text != target[index]:
            return False
        if token.kind is TokenKind.PARTIAL and not token.pattern().fullmatch(target[index]):
            return False
    return len(tokens) == len(target)


def matcher_of(routes: list[tuple[Token, ...]]) -> RouteMatcher[int]:
    """Return a matcher of these routes. The value of a route is its index."""
    matcher: RouteMatcher[int] = RouteMatcher()
    for number, tokens in enumerate(routes):
        matcher.add(tokens, number)
    return matcher


@settings(max_examples=400)
@given(ROUTES, TARGET)
def test_matches_equal_those_of_a_linear_search_and_more_specific_routes_come_first(
    routes: list[tuple[Token, ...]], target: list[str]
) -> None:
    matched = matcher_of(routes).matches(target)
    assert sorted(number for _, number in matched) == [
        number for number, tokens in enumerate(routes) if route_matches(tokens, target)
    ]
    for index, (tokens, _) in enumerate(matched):
        assert not any(relation(later, tokens) is Relation.NARROWER for later, _ in matched[index + 1 :])


@settings(max_examples=400)
@given(ROUTES, ROUTE, TARGET)
def test_all_overlapping_routes_are_found_and_relations_agree_with_matches(
    routes: list[tuple[Token, ...]], route: tuple[Token, ...], target: list[str]
) -> None:
    overlapping = {number for _, number in matcher_of(routes).overlapping(route)}
    for number, tokens in enumerate(routes):
        route_relation = relation(route, tokens)
        both_match = route_matches(route, target) and route_matches(tokens, target)
        assert (route_relation is Relation.DISJOINT) <= (not both_match)
        assert (number in overlapping) >= (route_relation is not Relation.DISJOINT)
        if route_relation in (Relation.SAME, Relation.NARROWER) and route_matches(route, target):
            assert route_matches(tokens, target)
