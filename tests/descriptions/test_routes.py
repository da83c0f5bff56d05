"""The matcher against a plain loop over all routes, and the tightening rules, by properties."""

import random
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from wheatstile.descriptions.compile import ClassFacts, Options, compiled
from wheatstile.descriptions.language import RuleError, condition
from wheatstile.descriptions.model import TIGHTER, Description, DescriptionError, Operation, Place, Verdict
from wheatstile.descriptions.routes import (
    LITERAL,
    PARAMETER,
    PARTIAL,
    REST,
    Matcher,
    Token,
    path_tokens,
    relation,
    subject_tokens,
)

SEGMENT = st.sampled_from(["a", "b", "ab", "{x}", "a{x}", "{x}b"])
TEMPLATE = st.lists(SEGMENT, min_size=1, max_size=4).map(lambda parts: "/" + "/".join(parts))
SUBJECT = st.tuples(
    st.lists(st.sampled_from(["a", "b", "*"]), min_size=1, max_size=3), st.sampled_from([[], [">"]])
).map(lambda parts: ".".join(parts[0] + parts[1]))
CONCRETE = st.lists(st.sampled_from(["a", "b", "ab", "aab", "c"]), max_size=5)
ROUTES = st.lists(TEMPLATE.map(path_tokens) | SUBJECT.map(subject_tokens), max_size=12)


def fits(tokens: tuple[Token, ...], found: list[str]) -> bool:
    """One route by a plain loop."""
    for index, token in enumerate(tokens):
        if token.kind == REST:
            return len(found) > index
        if index >= len(found):
            return False
        if token.kind == LITERAL and token.text != found[index]:
            return False
        if token.kind == PARTIAL and not token.pattern().fullmatch(found[index]):
            return False
    return len(tokens) == len(found)


@settings(max_examples=400)
@given(ROUTES, CONCRETE)
def test_the_matcher_finds_what_a_loop_finds_the_most_specific_first(
    routes: list[tuple[Token, ...]], found: list[str]
) -> None:
    matcher: Matcher[int] = Matcher()
    for number, tokens in enumerate(routes):
        matcher.add(tokens, number)
    matched = matcher.matches(found)
    assert sorted(number for _, number in matched) == [
        n for n, tokens in enumerate(routes) if fits(tokens, found)
    ]
    for index, (tokens, _) in enumerate(matched):
        assert not any(relation(later, tokens) == "narrower" for later, _ in matched[index + 1 :])


@settings(max_examples=400)
@given(ROUTES, TEMPLATE.map(path_tokens) | SUBJECT.map(subject_tokens), CONCRETE)
def test_routes_that_meet_are_all_found_and_lie_as_they_are_told_to(
    routes: list[tuple[Token, ...]], one: tuple[Token, ...], found: list[str]
) -> None:
    matcher: Matcher[int] = Matcher()
    for number, tokens in enumerate(routes):
        matcher.add(tokens, number)
    meeting = {number for _, number in matcher.meeting(one)}
    for number, tokens in enumerate(routes):
        kind = relation(one, tokens)
        assert (kind == "apart") <= (not (fits(one, found) and fits(tokens, found)))
        assert (number in meeting) >= (kind != "apart")
        if kind in ("same", "narrower") and fits(one, found):
            assert fits(tokens, found)


KINDS = st.sampled_from(["safe", "keyed", "unsafe"])
OPERATIONS = st.lists(
    st.tuples(st.sampled_from("abcd"), KINDS, st.sampled_from(["web", "slow", ""])), max_size=4
)
FACTS = {name: ClassFacts(name, "safe", "all", 0, 2_000_000) for name in ("web", "slow")}


def description(file: str, rows: list[tuple[str, Any, str]]) -> Description:
    operations = []
    for line, (name, repeat, service_class) in enumerate(rows, 1):
        place = Place(file, line, f"/{name}")
        verdict = Verdict(repeat, "told", place, "all", 5_000_000 if repeat == "keyed" else 0)
        operations.append(
            Operation(
                "http",
                "GET",
                f"/{file}/{name}",
                "",
                place,
                verdict,
                service_class=service_class,
                class_place=place,
            )
        )
    return Description(file, file, "openapi 3.1", tuple(operations))


def outcome(descriptions: list[Description]) -> Any:
    try:
        found = compiled(descriptions, [], FACTS, Options(5))
    except DescriptionError as error:
        return error.lines()
    return {name: (facts.repeat, facts.window) for name, facts in found.classes.items()}


@given(st.lists(OPERATIONS, max_size=4), st.randoms(use_true_random=False))
def test_any_order_of_files_comes_to_the_same_and_one_more_never_loosens(
    files: list[list[tuple[str, Any, str]]], chance: random.Random
) -> None:
    descriptions = [description(f"f{number}", rows) for number, rows in enumerate(files)]
    turned = list(descriptions)
    chance.shuffle(turned)
    whole = outcome(descriptions)
    assert outcome(turned) == whole
    if descriptions and isinstance(whole, dict):
        fewer = outcome(descriptions[:-1])
        assert isinstance(fewer, dict)  # what holds with more holds with fewer
        for name, (repeat, _) in fewer.items():
            assert TIGHTER[whole[name][0]] >= TIGHTER[repeat]


@given(st.text(alphabet='abpathmethod ()[]"=!~,in*notr', max_size=40))
def test_no_condition_brings_any_other_error(text: str) -> None:
    try:
        condition(text)
    except RuleError as error:
        assert 1 <= error.column <= len(text) + 1


def test_every_kind_of_token_is_told_apart() -> None:
    assert [token.kind for token in path_tokens("/a/{b}/c{d}")] == [LITERAL, PARAMETER, PARTIAL]
    assert [token.kind for token in subject_tokens("a.*.>")] == [LITERAL, PARAMETER, REST]
