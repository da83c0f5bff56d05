"""Violations in what a person wrote, each with its location: a JSON pointer, and the line that it stands on.

The text is parsed by the standard library. Only when there is a violation is it walked a second time, for the
lines: the location of a violation is worth a pass over the text, a valid file pays for none.
"""

import json
import re
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field, replace
from difflib import get_close_matches
from typing import Any, NamedTuple

from wheatstile.config.errors import InvalidConfigurationError

MAX_SHOWN = 100  # violations of one file that are listed; the rest is a count
BYTE_ORDER_MARK = b"\xef\xbb\xbf"
_SURROGATE = re.compile(r"\\u[dD][89a-fA-F]")
_TOKEN = re.compile(r'[ \t\r\n]*(?:([{}\[\],:])|("(?:[^"\\]|\\.)*")|([^\s{}\[\],:"]+))', re.DOTALL)


@dataclass(frozen=True, slots=True)
class Violation:
    """One reason why a file cannot be used. Line 0: not known."""

    pointer: str  # RFC 6901; empty: the whole document
    reason: str
    line: int = 0


class ConfigurationError(InvalidConfigurationError):
    """A file that cannot be used, with all its violations. Nothing of it is in force."""

    def __init__(self, file: str, violations: Iterable[Violation]) -> None:
        self.file = file
        self.violations = list(violations)
        super().__init__("; ".join(self.lines()))

    def lines(self) -> list[str]:
        """`FILE:LINE: /json/pointer: reason` for each violation, in the order of the file."""
        shown = [
            f"{self.file}:{violation.line or 1}: {violation.pointer or '/'}: {violation.reason}"
            for violation in self.violations[:MAX_SHOWN]
        ]
        more = len(self.violations) - MAX_SHOWN
        return shown + ([f"{self.file}:1: /: and {more} more faults"] if more > 0 else [])


class _DuplicateKeyError(ValueError):
    """A key that one object has twice: which of the two counts would be a guess."""


def pointer(*parts: str | int) -> str:
    """Return the JSON pointer to this path (RFC 6901)."""
    return "".join("/" + str(part).replace("~", "~0").replace("/", "~1") for part in parts)


def load(file: str, data: bytes, most_bytes: int) -> tuple[str, Any]:
    """Return the text and its value, as JSON whose objects name no key twice. Raises ConfigurationError."""
    if len(data) > most_bytes:
        raise ConfigurationError(file, [Violation("", f"{len(data)} bytes; {most_bytes} at most")])
    text = _decode(file, data)
    try:
        value = json.loads(text, object_pairs_hook=_reject_duplicate_keys)
        if _SURROGATE.search(text):
            json.dumps(value, ensure_ascii=False).encode()
    except _DuplicateKeyError:
        raise ConfigurationError(file, _duplicate_keys(text)) from None
    except (ValueError, RecursionError) as error:
        raise ConfigurationError(file, [_parse_violation(error)]) from None
    return text, value


def _decode(file: str, data: bytes) -> str:
    if data.startswith(BYTE_ORDER_MARK):
        raise ConfigurationError(file, [Violation("", "begins with a byte order mark; JSON has none", 1)])
    try:
        return data.decode()
    except UnicodeDecodeError as error:
        line = data.count(b"\n", 0, error.start) + 1
        reason = f"no UTF-8: {error.reason} at byte {error.start}"
        raise ConfigurationError(file, [Violation("", reason, line)]) from None


def _reject_duplicate_keys(pairs: list[tuple[str, object]]) -> dict[str, object]:
    value = dict(pairs)
    if len(value) < len(pairs):
        raise _DuplicateKeyError
    return value


def _parse_violation(error: ValueError | RecursionError) -> Violation:
    if isinstance(error, json.JSONDecodeError):
        return Violation("", f"no JSON: {error.msg}, column {error.colno}", error.lineno)
    if isinstance(error, UnicodeEncodeError):
        return Violation("", "half of a surrogate pair, which is no text", 1)
    if isinstance(error, RecursionError):
        return Violation("", "nested too deeply", 1)
    return Violation("", f"no JSON: {error}", 1)  # a whole number with too many digits


def locate(text: str, violations: Iterable[Violation]) -> list[Violation]:
    """Give the violations their lines, in the order of the text. A missing key stands at its parent."""
    given = list(violations)
    lines = {violation.pointer: violation.line for violation in given}
    unplaced = {violation.pointer for violation in given if not violation.line}
    for location in walk(text):
        if location.pointer in unplaced:
            lines[location.pointer] = location.line
            unplaced.discard(location.pointer)
            if not unplaced:
                break
    if unplaced:
        lines |= _lines_of_parents(text, unplaced)
    located = [replace(violation, line=violation.line or lines[violation.pointer]) for violation in given]
    return sorted(located, key=lambda violation: violation.line)


def _lines_of_parents(text: str, pointers: Iterable[str]) -> dict[str, int]:
    """For what is not there, the line of the nearest that is."""
    known_lines = {location.pointer: location.line for location in walk(text)}
    lines = {}
    for missing in pointers:
        parent = missing
        while parent and parent not in known_lines:
            parent = parent.rpartition("/")[0]
        lines[missing] = known_lines.get(parent, 1)
    return lines


def nearest(name: str, known: Iterable[str]) -> str:
    """`, did you mean "X"?` where a known name is near, else the known ones."""
    names = sorted(known)
    close = get_close_matches(name, names, 1)
    return f', did you mean "{close[0]}"?' if close else f"; known are {', '.join(names)}"


def _duplicate_keys(text: str) -> list[Violation]:
    """Return the keys that stand twice in one object; for text that is JSON but for them."""
    try:
        return [
            Violation(
                location.pointer, f"the key stands twice, first on line {location.first_line}", location.line
            )
            for location in walk(text)
            if location.first_line
        ]
    except (IndexError, TypeError, ValueError):  # the key was found before a place that is no JSON at all
        return [Violation("", "a key stands twice in one object", 1)]


class Location(NamedTuple):
    """A value in the text."""

    pointer: str
    line: int  # of a member, its key's
    first_line: int  # if its key repeats one of the same object, the line of the first, else 0


@dataclass(slots=True)
class _Container:
    """An object or array that the walk is in."""

    pointer: str
    is_object: bool
    index: int = 0  # of the element to come
    member: str = ""  # pointer of the member whose value is to come
    key_lines: dict[str, int] = field(default_factory=dict)

    def next_value(self) -> str:
        """Return the pointer of the value to come."""
        return self.member or f"{self.pointer}/{self.index}"

    def advance(self) -> None:
        """Handle a comma."""
        self.index += 1
        self.member = ""

    def open_member(self, key: str, line: int) -> Location:
        """Handle a member's key, and return its location."""
        first_line = self.key_lines.get(key, 0)
        self.key_lines.setdefault(key, line)
        self.member = self.pointer + pointer(key)
        return Location(self.member, line, first_line)


def walk(text: str) -> Iterator[Location]:
    """Each value's location, in the order of the text."""
    stack: list[_Container] = []
    line = 1
    counted_to = 0  # line breaks before this offset are in `line`
    offset = 0
    while token := _TOKEN.match(text, offset):  # stops at what is no JSON, so that no text is walked twice
        offset = token.end()
        mark, string, _ = token.groups()
        start = token.start(token.lastindex or 0)
        line += text.count("\n", counted_to, start)
        counted_to = start
        parent = stack[-1] if stack else None
        if mark in (",", ":"):
            if parent and mark == ",":
                parent.advance()
        elif mark in ("}", "]"):
            stack.pop()
        elif parent and parent.is_object and not parent.member:
            yield parent.open_member(json.loads(string), line)
        else:
            value_pointer = parent.next_value() if parent else ""
            if parent is None or not parent.is_object:
                yield Location(value_pointer, line, 0)
            if mark:
                stack.append(_Container(value_pointer, mark == "{"))
