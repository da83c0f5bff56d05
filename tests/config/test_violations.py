"""Violations: their pointers and lines, how they are listed, and the suggestions for unknown names."""

import pytest

from wheatstile.config.violations import (
    MAX_LISTED_VIOLATIONS,
    ConfigurationError,
    Violation,
    json_pointer,
    load_json,
    locate,
    suggestion_or_known_names,
)

TEXT = """{
 "a/b": [1,
   {"x~y": "}, not the end"}],
 "c": {},
 "a/b": 2
}"""


def test_pointer_escapes_its_parts() -> None:
    assert json_pointer() == ""
    assert json_pointer("a/b", 0, "x~y") == "/a~1b/0/x~0y"


def test_violations_are_sorted_by_line_and_a_missing_value_has_the_line_of_its_parent() -> None:
    given = [Violation("/c/absent/too", "is missing"), Violation("/a~1b/1", "odd"), Violation("", "all", 9)]

    located = [(violation.pointer, violation.line) for violation in locate(TEXT, given)]

    assert located == [("/a~1b/1", 3), ("/c/absent/too", 4), ("", 9)]


def test_duplicate_key_is_rejected_with_both_lines() -> None:
    with pytest.raises(ConfigurationError) as caught:
        load_json("f", TEXT.encode(), 1000)
    assert caught.value.lines() == ["f:5: /a~1b: duplicate key, first defined on line 2"]
    assert caught.value.violations == [Violation("/a~1b", "duplicate key, first defined on line 2", 5)]


def test_number_of_listed_violations_is_bounded() -> None:
    error = ConfigurationError(
        "f", [Violation(f"/{index}", "odd") for index in range(MAX_LISTED_VIOLATIONS + 7)]
    )
    assert len(error.lines()) == MAX_LISTED_VIOLATIONS + 1
    assert error.lines()[0] == "f:1: /0: odd"
    assert error.lines()[-1] == "f:1: /: and 7 more violations"


def test_similar_name_is_suggested_and_otherwise_all_names_are_listed() -> None:
    assert suggestion_or_known_names("sarvers", ["servers", "log"]) == ', did you mean "servers"?'
    assert suggestion_or_known_names("unlike", ["servers", "log"]) == "; expected one of log, servers"
