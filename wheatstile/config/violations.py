"""Violations in a JSON file that was written by hand, each with its JSON pointer and its line.

The standard library parses the text. The lines are looked up in a second pass over the text, and only if
there is a violation.
"""

import json
import re
from collections.abc import Iterable
from dataclasses import dataclass, replace
from difflib import get_close_matches
from typing import Any

from wheatstile.config.errors import InvalidConfigurationError
from wheatstile.config.json_locations import Location, child_pointer, walk_locations

MAX_LISTED_VIOLATIONS = 100  # limit for one file; further violations are only counted
BYTE_ORDER_MARK = b"\xef\xbb\xbf"
_ESCAPED_SURROGATE = re.compile(r"\\u[dD][89a-fA-F]")


@dataclass(frozen=True, slots=True)
class Violation:
    """One reason why a file cannot be used."""

    pointer: str  # JSON pointer (RFC 6901); empty for the whole document
    reason: str
    line: int = 0  # 0 if the line is not known


class ConfigurationError(InvalidConfigurationError):
    """A file was rejected. Carries all its violations."""

    def __init__(self, file: str, violations: Iterable[Violation]) -> None:
        self.file = file
        self.violations = list(violations)
        super().__init__("; ".join(self.lines()))

    def lines(self) -> list[str]:
        """Return `FILE:LINE: /json/pointer: reason` for each violation, in the order of the file.

        If there are more than MAX_LISTED_VIOLATIONS, the last line gives the number of the others.
        """
        lines = [
            f"{self.file}:{violation.line or 1}: {violation.pointer or '/'}: {violation.reason}"
            for violation in self.violations[:MAX_LISTED_VIOLATIONS]
        ]
        unlisted = len(self.violations) - MAX_LISTED_VIOLATIONS
        if unlisted > 0:
            lines.append(f"{self.file}:1: /: and {unlisted} more violations")
        return lines


class _DuplicateKeyError(ValueError):
    """An object has the same key twice."""


def json_pointer(*parts: str | int) -> str:
    """Return the JSON pointer (RFC 6901) to this path of keys and indices."""
    path = ""
    for part in parts:
        path = child_pointer(path, part)
    return path


def load_json(file: str, data: bytes, max_bytes: int) -> tuple[str, Any]:
    """Decode and parse a JSON file, and return its text and its value.

    Raises ConfigurationError if the file is too long, is not JSON, or has an object with the same key twice.
    """
    if len(data) > max_bytes:
        raise ConfigurationError(
            file, [Violation("", f"the file is larger than the limit of {max_bytes} bytes")]
        )
    text = _decode(file, data)
    try:
        value = json.loads(text, object_pairs_hook=_reject_duplicate_keys)
        if _ESCAPED_SURROGATE.search(text):
            json.dumps(value, ensure_ascii=False).encode()  # raises UnicodeEncodeError for a lone surrogate
    except _DuplicateKeyError:
        raise ConfigurationError(file, _duplicate_keys(text)) from None
    except (ValueError, RecursionError) as error:
        raise ConfigurationError(file, [_parse_violation(error)]) from None
    return text, value


def _decode(file: str, data: bytes) -> str:
    if data.startswith(BYTE_ORDER_MARK):
        raise ConfigurationError(
            file, [Violation("", "begins with a byte order mark, which JSON does not allow", 1)]
        )
    try:
        return data.decode()
    except UnicodeDecodeError as error:
        line = data.count(b"\n", 0, error.start) + 1
        reason = f"not valid UTF-8: {error.reason} at byte {error.start}"
        raise ConfigurationError(file, [Violation("", reason, line)]) from None


def _reject_duplicate_keys(pairs: list[tuple[str, object]]) -> dict[str, object]:
    value = dict(pairs)
    if len(value) < len(pairs):
        raise _DuplicateKeyError
    return value


def _parse_violation(error: ValueError | RecursionError) -> Violation:
    if isinstance(error, json.JSONDecodeError):
        return Violation("", f"not valid JSON: {error.msg}, column {error.colno}", error.lineno)
    if isinstance(error, UnicodeEncodeError):
        return Violation("", "contains a lone surrogate, which is not valid Unicode text", 1)
    if isinstance(error, RecursionError):
        return Violation("", "nested too deeply", 1)
    # The remaining case is an integer with more digits than Python converts.
    return Violation("", f"not valid JSON: {error}", 1)


def locate(text: str, violations: Iterable[Violation]) -> list[Violation]:
    """Return the violations with their lines, sorted by line.

    If the value of a violation is missing, the line is that of the nearest parent that exists.
    """
    reported = list(violations)
    lines = {violation.pointer: violation.line for violation in reported}
    unlocated = {violation.pointer for violation in reported if not violation.line}
    for location in walk_locations(text):
        if location.pointer in unlocated:
            lines[location.pointer] = location.line
            unlocated.discard(location.pointer)
            if not unlocated:
                break
    if unlocated:
        lines |= _lines_of_parents(text, unlocated)
    located = [replace(violation, line=violation.line or lines[violation.pointer]) for violation in reported]
    return sorted(located, key=lambda violation: violation.line)


def _lines_of_parents(text: str, pointers: Iterable[str]) -> dict[str, int]:
    """Return the line of the nearest existing parent of each value that is missing."""
    known_lines = {location.pointer: location.line for location in walk_locations(text)}
    lines = {}
    for missing in pointers:
        parent = missing
        while parent and parent not in known_lines:
            parent = parent.rpartition("/")[0]
        lines[missing] = known_lines.get(parent, 1)
    return lines


def suggestion_or_known_names(name: str, known: Iterable[str]) -> str:
    """Return the end of an error message: a similar known name if there is one, else all known names."""
    names = sorted(known)
    close = get_close_matches(name, names, 1)
    return f', did you mean "{close[0]}"?' if close else f"; expected one of {', '.join(names)}"


def _duplicate_keys(text: str) -> list[Violation]:
    """Return a violation for each key that an object has twice."""
    try:
        return [_duplicate_key(location) for location in walk_locations(text) if location.first_line]
    except (IndexError, TypeError, ValueError):  # the text after the duplicate key is not JSON
        return [Violation("", "duplicate key in one object", 1)]


def _duplicate_key(location: Location) -> Violation:
    reason = f"duplicate key, first defined on line {location.first_line}"
    return Violation(location.pointer, reason, location.line)
