"""Compilation of several descriptions: the order of the files, and the effect of an additional file."""

import random
from dataclasses import replace
from typing import NamedTuple

from hypothesis import given
from hypothesis import strategies as st

from wheatstile.descriptions.compile import compile_descriptions
from wheatstile.descriptions.compile_types import ClassPolicies, ClassPolicy, CompileOptions
from wheatstile.descriptions.findings import InvalidDescriptionError, SourceLocation
from wheatstile.descriptions.model import (
    Description,
    HttpMethod,
    Operation,
    OperationKind,
    RetrySafety,
)
from wheatstile.descriptions.strictness import is_stricter
from wheatstile.interface import DeduplicationScope, Idempotency


class DeclaredOperation(NamedTuple):
    """One operation of a generated description."""

    name: str
    idempotency: Idempotency
    service_class: str  # empty: none


class RetryPolicy(NamedTuple):
    """The retry policy of a class."""

    idempotency: Idempotency
    window_us: int


Outcome = dict[str, RetryPolicy] | list[str]  # policies by class, or the reasons for the rejection

WINDOW_US = 5_000_000
OPTIONS = CompileOptions(max_attempts=5)
CLASSES = {name: ClassPolicy(name, client_deadline_us=2_000_000) for name in ("web", "slow")}
OPERATIONS = st.lists(
    st.builds(
        DeclaredOperation,
        st.sampled_from("abcd"),
        st.sampled_from(Idempotency),
        st.sampled_from(["web", "slow", ""]),
    ),
    max_size=4,
)


def description_of(file: str, declared_operations: list[DeclaredOperation]) -> Description:
    """Return a description of these GET operations."""
    operations = []
    for line, declared in enumerate(declared_operations, 1):
        location = SourceLocation(file, line, f"/{declared.name}")
        window_us = WINDOW_US if declared.idempotency is Idempotency.IDEMPOTENCY_KEY else 0
        operations.append(
            Operation(
                kind=OperationKind.HTTP,
                action=HttpMethod.GET,
                route=f"/{file}/{declared.name}",
                id="",
                location=location,
                retry_safety=RetrySafety(
                    declared.idempotency, "declared", location, DeduplicationScope.ALL, window_us
                ),
                service_class=declared.service_class,
                class_location=location,
            )
        )
    return Description(file, file, "openapi 3.1", tuple(operations))


def outcome(descriptions: list[Description], classes: ClassPolicies = CLASSES) -> Outcome:
    """Return the class policies after compilation, or the reasons for the rejection."""
    try:
        compiled = compile_descriptions(descriptions, [], classes, OPTIONS)
    except InvalidDescriptionError as error:
        return error.lines()
    return {
        name: RetryPolicy(policy.idempotency, policy.deduplication_window_us)
        for name, policy in compiled.classes.items()
    }


def descriptions_of(files: list[list[DeclaredOperation]]) -> list[Description]:
    """Return one description for each file."""
    return [description_of(f"f{number}", operations) for number, operations in enumerate(files)]


@given(st.lists(OPERATIONS, max_size=4), st.randoms(use_true_random=False))
def test_order_of_files_does_not_affect_the_result(
    files: list[list[DeclaredOperation]], generator: random.Random
) -> None:
    descriptions = descriptions_of(files)
    shuffled = list(descriptions)
    generator.shuffle(shuffled)
    assert outcome(shuffled) == outcome(descriptions)


@given(st.lists(OPERATIONS, min_size=1, max_size=4))
def test_additional_file_never_makes_a_class_less_strict(files: list[list[DeclaredOperation]]) -> None:
    descriptions = descriptions_of(files)
    complete = outcome(descriptions)
    if isinstance(complete, dict):
        fewer = outcome(descriptions[:-1])
        assert isinstance(fewer, dict)  # valid descriptions remain valid if a file is removed
        for name, retry_policy in fewer.items():
            assert not is_stricter(retry_policy.idempotency, complete[name].idempotency)


def test_unknown_scope_in_the_platform_settings_is_not_overridden() -> None:
    policy = replace(CLASSES["web"], deduplication_scope=DeduplicationScope.UNKNOWN)
    descriptions = [description_of("f", [DeclaredOperation("a", Idempotency.IDEMPOTENCY_KEY, "web")])]
    compiled = compile_descriptions(descriptions, [], {"web": policy}, OPTIONS)
    assert compiled.classes["web"].deduplication_scope is DeduplicationScope.UNKNOWN
