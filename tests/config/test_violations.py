"""The place of a violation in a text: its JSON pointer and its line."""

import pytest

from wheatstile.config.violations import (
    MAX_SHOWN,
    ConfigurationError,
    Violation,
    load,
    locate,
    nearest,
    pointer,
    walk,
)

TEXT = """{
 "a/b": [1,
   {"x~y": "}, not the end"}],
 "c": {},
 "a/b": 2
}"""


def test_a_pointer_escapes_what_it_is_made_of() -> None:
    assert pointer() == ""
    assert pointer("a/b", 0, "x~y") == "/a~1b/0/x~0y"


def test_the_walk_gives_each_value_its_line_and_a_repeated_key_its_first() -> None:
    assert [(one.pointer, one.line, one.first_line) for one in walk(TEXT)] == [
        ("", 1, 0),
        ("/a~1b", 2, 0),
        ("/a~1b/0", 2, 0),
        ("/a~1b/1", 3, 0),
        ("/a~1b/1/x~0y", 3, 0),
        ("/c", 4, 0),
        ("/a~1b", 5, 2),
    ]


def test_violations_come_in_the_order_of_the_text_and_what_is_missing_stands_at_its_parent() -> None:
    given = [Violation("/c/absent/too", "is missing"), Violation("/a~1b/1", "odd"), Violation("", "all", 9)]
    located = [(one.pointer, one.line) for one in locate(TEXT, given)]
    assert located == [("/a~1b/1", 3), ("/c/absent/too", 4), ("", 9)]


def test_a_repeated_key_is_rejected_with_both_lines() -> None:
    with pytest.raises(ConfigurationError) as caught:
        load("f", TEXT.encode(), 1000)
    assert caught.value.lines() == ["f:5: /a~1b: the key stands twice, first on line 2"]
    assert caught.value.violations == [Violation("/a~1b", "the key stands twice, first on line 2", 5)]


def test_no_more_than_a_bound_are_listed() -> None:
    error = ConfigurationError("f", [Violation(f"/{index}", "odd") for index in range(MAX_SHOWN + 7)])
    assert len(error.lines()) == MAX_SHOWN + 1
    assert error.lines()[0] == "f:1: /0: odd"
    assert error.lines()[-1] == "f:1: /: and 7 more faults"


def test_a_near_name_is_suggested_and_else_all_are_named() -> None:
    assert nearest("sarvers", ["servers", "log"]) == ', did you mean "servers"?'
    assert nearest("unlike", ["servers", "log"]) == "; known are log, servers"
