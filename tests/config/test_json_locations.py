"""The walk over a JSON text, which yields the pointer and the line of each value."""

from wheatstile.config.json_locations import child_pointer, walk_locations

TEXT = """{
 "a/b": [1,
   {"x~y": "}, not the end"}],
 "c": {},
 "a/b": 2
}"""


def test_pointer_escapes_the_key_and_keeps_the_parent() -> None:
    assert child_pointer("", "a/b") == "/a~1b"
    assert child_pointer("/a~1b", 0) == "/a~1b/0"


def test_walk_yields_each_value_with_its_line_and_a_duplicate_key_with_its_first_line() -> None:
    assert [(location.pointer, location.line, location.first_line) for location in walk_locations(TEXT)] == [
        ("", 1, 0),
        ("/a~1b", 2, 0),
        ("/a~1b/0", 2, 0),
        ("/a~1b/1", 3, 0),
        ("/a~1b/1/x~0y", 3, 0),
        ("/c", 4, 0),
        ("/a~1b", 5, 2),
    ]
