"""Compilation of several descriptions: independent of their order, and never loosened by one more."""

import random
from dataclasses import replace

from hypothesis import given
from hypothesis import strategies as st

from wheatstile.descriptions.compile import compile_descriptions
from wheatstile.descriptions.compile_types import ClassPolicies, ClassPolicy, CompileOptions
from wheatstile.descriptions.findings import InvalidDescriptionError, SourceLocation
from wheatstile.descriptions.model import (
    IDEMPOTENCY_STRICTNESS,
    Description,
    Operation,
    OperationKind,
    RetrySafety,
)
from wheatstile.interface import DeduplicationScope, Idempotency

Row = tuple[str, Idempotency, str]  # name, idempotency, class
Outcome = dict[str, tuple[Idempotency, int]] | list[str]  # classes with their windows, or reasons

WINDOW_US = 5_000_000
OPTIONS = CompileOptions(max_attempts=5)
CLASSES = {name: ClassPolicy(name, client_deadline_us=2_000_000) for name in ("web", "slow")}
ROWS = st.lists(
    st.tuples(
        st.sampled_from("abcd"),
        st.sampled_from([Idempotency.IDEMPOTENT, Idempotency.IDEMPOTENCY_KEY, Idempotency.NON_IDEMPOTENT]),
        st.sampled_from(["web", "slow", ""]),
    ),
    max_size=4,
)


def description_of(file: str, rows: list[Row]) -> Description:
    """A description with one GET operation for each row."""
    operations = []
    for line, (name, idempotency, service_class) in enumerate(rows, 1):
        location = SourceLocation(file, line, f"/{name}")
        window_us = WINDOW_US if idempotency is Idempotency.IDEMPOTENCY_KEY else 0
        operations.append(
            Operation(
                kind=OperationKind.HTTP,
                action="GET",
                route=f"/{file}/{name}",
                id="",
                location=location,
                retry_safety=RetrySafety(
                    idempotency, "declared", location, DeduplicationScope.ALL, window_us
                ),
                service_class=service_class,
                class_location=location,
            )
        )
    return Description(file, file, "openapi 3.1", tuple(operations))


def outcome(descriptions: list[Description], classes: ClassPolicies = CLASSES) -> Outcome:
    """What the descriptions compile to, or the reasons for which they are rejected."""
    try:
        compiled = compile_descriptions(descriptions, [], classes, OPTIONS)
    except InvalidDescriptionError as error:
        return error.lines()
    return {
        name: (policy.idempotency, policy.deduplication_window_us)
        for name, policy in compiled.classes.items()
    }


@given(st.lists(ROWS, max_size=4), st.randoms(use_true_random=False))
def test_order_of_files_does_not_matter_and_one_more_never_loosens(
    files: list[list[Row]], generator: random.Random
) -> None:
    descriptions = [description_of(f"f{number}", rows) for number, rows in enumerate(files)]
    shuffled = list(descriptions)
    generator.shuffle(shuffled)
    complete = outcome(descriptions)
    assert outcome(shuffled) == complete
    if descriptions and isinstance(complete, dict):
        fewer = outcome(descriptions[:-1])
        assert isinstance(fewer, dict)  # what is valid with one more is valid without it
        for name, (idempotency, _) in fewer.items():
            assert IDEMPOTENCY_STRICTNESS[complete[name][0]] >= IDEMPOTENCY_STRICTNESS[idempotency]


def test_unknown_scope_of_the_platform_stays() -> None:
    policy = replace(CLASSES["web"], deduplication_scope=DeduplicationScope.UNKNOWN)
    descriptions = [description_of("f", [("a", Idempotency.IDEMPOTENCY_KEY, "web")])]
    compiled = compile_descriptions(descriptions, [], {"web": policy}, OPTIONS)
    assert compiled.classes["web"].deduplication_scope is DeduplicationScope.UNKNOWN
