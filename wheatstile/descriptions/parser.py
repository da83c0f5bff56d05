"""Parses JSON and YAML files and records the line of each value.

Performs no I/O. Time and memory are bounded.
"""

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
NUL = b"\0"


def parse(file: str, data: bytes) -> ParsedFile:
    """Parse the content of a file as JSON or YAML. Raises InvalidDescriptionError.

    A file without the suffix .json that begins with `{` is parsed as YAML only if it is not valid JSON.
    """
    text = _decode(file, data)
    if file.endswith(JSON_SUFFIX):
        return parse_json(file, text)
    if text.lstrip().startswith("{"):  # try JSON first, because YAML interprets some JSON escapes differently
        with suppress(InvalidDescriptionError):
            return parse_json(file, text)
    return parse_yaml(file, text)


def _decode(file: str, data: bytes) -> str:
    """Decode UTF-8 and remove a byte order mark. Raises InvalidDescriptionError."""
    if len(data) > MAX_FILE_BYTES:
        raise parse_error(file, 1, f"the file is larger than the limit of {MAX_FILE_BYTES} bytes")
    if NUL in data:
        raise parse_error(file, _line_at(data, data.index(NUL)), "contains a NUL byte")
    try:
        return data.decode("utf-8-sig")
    except UnicodeDecodeError as error:
        reason = f"not valid UTF-8: {error.reason} at byte {error.start}"
        raise parse_error(file, _line_at(data, error.start), reason) from None


def _line_at(data: bytes, offset: int) -> int:
    """Return the number of the line that contains the byte at this offset. The first line is 1."""
    return data.count(b"\n", 0, offset) + 1


def parse_json(file: str, text: str) -> ParsedFile:
    """Parse JSON. Raises InvalidDescriptionError for invalid JSON, and for duplicate keys in an object."""
    try:
        # `_decode` has checked the size of the file. The text may be longer after it is encoded again.
        _, value = violations.load_json(file, text.encode(), 2 * MAX_FILE_BYTES)
    except violations.ConfigurationError as error:
        findings = [
            Finding(SourceLocation(file, violation.line or 1, violation.pointer), violation.reason)
            for violation in error.violations
        ]
        raise InvalidDescriptionError(findings) from None
    lines = {pointer: line for pointer, line, _ in json_locations.walk_locations(text)}
    if len(lines) > MAX_VALUES:
        raise parse_error(file, 1, f"more than {MAX_VALUES} values")
    for pointer, line in lines.items():
        if pointer.count("/") > MAX_NESTING_DEPTH:
            raise parse_error(file, line, f"nested deeper than {MAX_NESTING_DEPTH} levels")
    return ParsedFile(file, value, lines)
