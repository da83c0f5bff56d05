"""Faults in what a person wrote, each with its place: a JSON pointer, and the line that it stands on.

The text is parsed by the standard library. Only when there is a fault is it gone through a second time, for
the lines: the place of a fault is worth a pass over the text, a valid file pays for none.
"""

import json
import re
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, replace
from difflib import get_close_matches
from typing import Any

MOST_SHOWN = 100  # faults of one file that are told; the rest is a count
_SURROGATE = re.compile(r"\\u[dD][89a-fA-F]")
_TOKEN = re.compile(r'[ \t\r\n]*(?:([{}\[\],:])|("(?:[^"\\]|\\.)*")|([^\s{}\[\],:"]+))', re.DOTALL)


@dataclass(frozen=True, slots=True)
class Violation:
    """One reason why a file cannot be used. Line 0: not known."""

    pointer: str  # RFC 6901; empty: the whole document
    reason: str
    line: int = 0


class ConfigurationError(ValueError):
    """A file that cannot be used, with all its faults. Nothing of it has been taken."""

    def __init__(self, file: str, violations: Iterable[Violation]) -> None:
        self.file = file
        self.violations = list(violations)
        super().__init__("; ".join(self.lines()))

    def lines(self) -> list[str]:
        """`FILE:LINE: /json/pointer: reason` for each fault, in the order of the file."""
        shown = [
            f"{self.file}:{fault.line or 1}: {fault.pointer or '/'}: {fault.reason}"
            for fault in self.violations[:MOST_SHOWN]
        ]
        more = len(self.violations) - MOST_SHOWN
        return shown + ([f"{self.file}:1: /: and {more} more faults"] if more > 0 else [])


class _Twice(ValueError):
    """A key that one object has twice: which of the two counts would be a guess."""


def _once(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    found = dict(pairs)
    if len(found) < len(pairs):
        raise _Twice
    return found


def pointer(*parts: str | int) -> str:
    """The JSON pointer to this path (RFC 6901)."""
    return "".join("/" + str(part).replace("~", "~0").replace("/", "~1") for part in parts)


def load(file: str, data: bytes, most_bytes: int) -> tuple[str, Any]:
    """The text and what it says, as JSON whose objects name no key twice. Raises ConfigurationError."""
    if len(data) > most_bytes:
        raise ConfigurationError(file, [Violation("", f"{len(data)} bytes; {most_bytes} at most")])
    if data.startswith(b"\xef\xbb\xbf"):
        raise ConfigurationError(file, [Violation("", "begins with a byte order mark; JSON has none", 1)])
    try:
        text = data.decode()
    except UnicodeDecodeError as error:
        line = data.count(b"\n", 0, error.start) + 1
        raise ConfigurationError(
            file, [Violation("", f"no UTF-8: {error.reason} at byte {error.start}", line)]
        ) from None
    try:
        value = json.loads(text, object_pairs_hook=_once)
        if _SURROGATE.search(text):
            json.dumps(value, ensure_ascii=False).encode()
        return text, value
    except _Twice:
        raise ConfigurationError(file, _repeats(text)) from None
    except json.JSONDecodeError as error:
        raise ConfigurationError(
            file, [Violation("", f"no JSON: {error.msg}, column {error.colno}", error.lineno)]
        ) from None
    except UnicodeEncodeError:
        raise ConfigurationError(
            file, [Violation("", "half of a surrogate pair, which is no text", 1)]
        ) from None
    except RecursionError:
        raise ConfigurationError(file, [Violation("", "nested too deeply", 1)]) from None
    except ValueError as error:  # a whole number with too many digits
        raise ConfigurationError(file, [Violation("", f"no JSON: {error}", 1)]) from None


def locate(text: str, faults: Iterable[Violation]) -> list[Violation]:
    """The same faults with their lines, in the order of the text. What is missing stands at its parent."""
    wanted = list(faults)
    lines = {fault.pointer: fault.line for fault in wanted}
    left = {fault.pointer for fault in wanted if not fault.line}
    for place, line, _ in walk(text):
        if place in left:
            lines[place] = line
            left.discard(place)
            if not left:
                break
    if left:  # of what is not there, the line of the nearest that is
        parents = dict((place, line) for place, line, _ in walk(text))
        for place in left:
            parent = place
            while parent and parent not in parents:
                parent = parent.rpartition("/")[0]
            lines[place] = parents.get(parent, 1)
    found = [replace(fault, line=fault.line or lines[fault.pointer]) for fault in wanted]
    return sorted(found, key=lambda fault: fault.line)


def nearest(word: str, known: Iterable[str]) -> str:
    """`, did you mean "X"?` where a known word is near, else the known ones."""
    names = sorted(known)
    close = get_close_matches(word, names, 1)
    return f', did you mean "{close[0]}"?' if close else f"; known are {', '.join(names)}"


def _repeats(text: str) -> list[Violation]:
    """The keys that stand twice in one object; for text that is JSON but for them."""
    try:
        return [
            Violation(place, f"the key stands twice, first on line {first}", line)
            for place, line, first in walk(text)
            if first
        ]
    except (IndexError, TypeError, ValueError):  # the key was found before a place that is no JSON at all
        return [Violation("", "a key stands twice in one object", 1)]


class _Open:
    """An object or array that the walk is in."""

    __slots__ = ("at", "index", "keys", "member")

    def __init__(self, at: str, is_object: bool) -> None:
        self.at, self.index, self.member = at, 0, ""  # member: where the value to come belongs
        self.keys: dict[str, int] | None = {} if is_object else None  # with their lines


def walk(text: str) -> Iterator[tuple[str, int, int]]:
    """Each place's pointer and line (a member's is its key's), and where it stood first if it is a repeat."""
    stack: list[_Open] = []
    line, counted, at = 1, 0, 0
    while token := _TOKEN.match(text, at):  # stops at what is no JSON, so that no text is gone through twice
        at = token.end()
        mark, string, _ = token.groups()
        start = token.start(token.lastindex or 0)
        line += text.count("\n", counted, start)
        counted = start
        top = stack[-1] if stack else None
        if mark in (",", ":"):
            if top and mark == ",":
                top.index, top.member = top.index + 1, ""
        elif mark in ("}", "]"):
            stack.pop()
        elif top and top.keys is not None and not top.member:
            name = json.loads(string)
            first = top.keys.get(name, 0)
            top.keys.setdefault(name, line)
            top.member = top.at + pointer(name)
            yield top.member, line, first
        else:
            place = "" if top is None else top.member or f"{top.at}/{top.index}"
            if top is None or top.keys is None:
                yield place, line, 0
            if mark:
                stack.append(_Open(place, mark == "{"))
