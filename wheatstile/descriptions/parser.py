"""Parses description files, JSON or YAML, with the line of every value. Pure; bounded in time and memory."""

from contextlib import suppress

from wheatstile.config import json_locations, violations
from wheatstile.descriptions.findings import Finding, InvalidDescriptionError, SourceLocation
from wheatstile.descriptions.parsed_file import (
    MAX_FILE_BYTES,
    MAX_NESTING_DEPTH,
    MAX_VALUES,
    ParsedFile,
    parse_error,
)
from wheatstile.descriptions.yaml_parser import parse_yaml

JSON_SUFFIX = ".json"


def parse(file: str, data: bytes) -> ParsedFile:
    """Parse these bytes: as JSON if they begin as JSON, else as YAML. Raises InvalidDescriptionError."""
    text = _decode(file, data)
    if file.endswith(JSON_SUFFIX):
        return parse_json(file, text)
    if text.lstrip()[:1] == "{":  # JSON in a file of another name: YAML reads its escapes differently
        with suppress(InvalidDescriptionError):
            return parse_json(file, text)
    return parse_yaml(file, text)


def _decode(file: str, data: bytes) -> str:
    if len(data) > MAX_FILE_BYTES:
        raise parse_error(file, 1, f"{len(data)} bytes; {MAX_FILE_BYTES} at most")
    if b"\0" in data:
        raise parse_error(file, data.count(b"\n", 0, data.index(b"\0")) + 1, "a NUL byte")
    try:
        return data.decode("utf-8-sig")
    except UnicodeDecodeError as error:
        line = data.count(b"\n", 0, error.start) + 1
        raise parse_error(file, line, f"no UTF-8: {error.reason} at byte {error.start}") from None


def parse_json(file: str, text: str) -> ParsedFile:
    """Parse JSON whose objects have no key twice. Raises InvalidDescriptionError."""
    try:
        # The limit is checked before; decoded and encoded again, a text may be longer.
        _, value = violations.load(file, text.encode(), 2 * MAX_FILE_BYTES)
    except violations.ConfigurationError as error:
        findings = [
            Finding(SourceLocation(file, violation.line or 1, violation.pointer), violation.reason)
            for violation in error.violations
        ]
        raise InvalidDescriptionError(findings) from None
    lines = {pointer: line for pointer, line, _ in json_locations.walk(text)}
    if len(lines) > MAX_VALUES:
        raise parse_error(file, 1, f"more than {MAX_VALUES} values")
    for pointer, line in lines.items():
        if pointer.count("/") > MAX_NESTING_DEPTH:
            raise parse_error(file, line, f"nested deeper than {MAX_NESTING_DEPTH}")
    return ParsedFile(file, value, lines)
