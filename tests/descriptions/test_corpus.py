"""Compilation of the cases in the corpus. New cases are added to the corpus files and need no code."""

from collections.abc import Iterable
from pathlib import Path
from typing import Any

import pytest
from support.description_cases import (
    Case,
    class_text,
    compile_case,
    load_cases,
    route_text,
    stream_of,
)

from wheatstile.descriptions.findings import InvalidDescriptionError

MIN_CASES = 60
CASES = load_cases()


def parameters(cases: Iterable[Case]) -> list[Any]:
    """Return the cases as test parameters, with their names as identifiers."""
    return [pytest.param(case, id=case.name) for case in cases]


ACCEPTED = parameters(case for case in CASES if case.findings is None)
REJECTED = parameters(case for case in CASES if case.findings is not None)


@pytest.fixture
def current_directory(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Path:
    """Return an empty directory that is the current directory during the test."""
    monkeypatch.chdir(tmp_path)
    return tmp_path


@pytest.mark.parametrize("case", REJECTED)
def test_rejected_case_has_the_expected_findings(case: Case, current_directory: Path) -> None:
    with pytest.raises(InvalidDescriptionError) as error:
        compile_case(case, current_directory)
    lines = [line.replace(f" {current_directory}", "") for line in error.value.lines()]
    assert lines == case.findings


@pytest.mark.parametrize("case", ACCEPTED)
def test_accepted_case_has_the_expected_result(case: Case, current_directory: Path) -> None:
    compiled = compile_case(case, current_directory)
    if case.routes is not None:
        assert sorted(map(route_text, compiled.routes)) == case.routes
    if case.classes is not None:
        assert {name: class_text(compiled.classes[name]) for name in case.classes} == case.classes
    if case.match is not None:
        matches = {}
        for target in case.match:
            action, text = target.split(" ")
            matches[target] = [route.template for route in compiled.match(action, text)]
        assert matches == case.match
    if case.stream is not None:
        assert stream_of(compiled.routes[0]) == case.stream


def test_corpus_has_enough_distinct_cases() -> None:
    assert len(CASES) >= MIN_CASES
    assert len({case.name for case in CASES}) == len(CASES)


@pytest.mark.parametrize("case", ACCEPTED)
def test_accepted_case_has_at_least_one_expectation(case: Case) -> None:
    assert any(result is not None for result in (case.routes, case.classes, case.match, case.stream))
