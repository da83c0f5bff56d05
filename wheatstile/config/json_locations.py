"""Finds the JSON pointer and the line of each value in a JSON text.

`json` from the standard library does not report them. The walk over the text is slower than that parser, so
it is used only when a violation has to be reported.
"""

import json
import re
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

_TOKEN = re.compile(
    r"""
    [ \t\r\n]*
    (?:
        ([{}\[\],:])              # 1: punctuation
        | ("(?:[^"\\]|\\.)*")     # 2: a string
        | ([^\s{}\[\],:"]+)       # 3: a number, true, false or null
    )
    """,
    re.DOTALL | re.VERBOSE,
)


class Location(NamedTuple):
    """The location of a value. For a member of an object, it is the location of its key."""

    pointer: str
    line: int
    first_line: int  # if the key is a duplicate: line of the first key with this name in the object; else 0


def child_pointer(parent: str, key: str | int) -> str:
    """Return the JSON pointer (RFC 6901) to a key or an index of the value at `parent`."""
    escaped = str(key).replace("~", "~0").replace("/", "~1")
    return f"{parent}/{escaped}"


def walk_locations(text: str) -> Iterator[Location]:
    """Yield the location of each value, in the order of the text.

    Stops at the first character that is not JSON. May raise IndexError, TypeError or ValueError if the text
    is not valid JSON.
    """
    containers: list[_Container] = []
    line = 1
    counted_offset = 0  # offset up to which line breaks are counted in `line`
    offset = 0
    while token := _TOKEN.match(text, offset):
        offset = token.end()
        punctuation, string, _ = token.groups()
        start = token.start(token.lastindex or 0)
        line += text.count("\n", counted_offset, start)
        counted_offset = start
        parent = containers[-1] if containers else None
        if punctuation in (",", ":"):
            if parent and punctuation == ",":
                parent.advance()
        elif punctuation in ("}", "]"):
            containers.pop()
        elif parent and parent.is_object and not parent.member_pointer:
            yield parent.open_member(json.loads(string), line)
        else:
            value_pointer = parent.next_value() if parent else ""
            if parent is None or not parent.is_object:
                yield Location(value_pointer, line, 0)
            if punctuation:
                containers.append(_Container(value_pointer, is_object=punctuation == "{"))


@dataclass(slots=True)
class _Container:
    """An object or array that contains the current position of the walk."""

    pointer: str
    is_object: bool
    index: int = 0  # index of the next element of an array
    member_pointer: str = ""  # pointer of the member whose value is next; empty before its key
    key_lines: dict[str, int] = field(default_factory=dict)

    def next_value(self) -> str:
        """Return the pointer of the next value."""
        return self.member_pointer or child_pointer(self.pointer, self.index)

    def advance(self) -> None:
        """Handle a comma, which ends an element or a member."""
        self.index += 1
        self.member_pointer = ""

    def open_member(self, key: str, line: int) -> Location:
        """Handle the key of a member, and return the location of the member."""
        first_line = self.key_lines.get(key, 0)
        self.key_lines.setdefault(key, line)
        self.member_pointer = child_pointer(self.pointer, key)
        return Location(self.member_pointer, line, first_line)
