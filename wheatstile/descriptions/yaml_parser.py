"""Parses YAML and records the line of each value. Performs no I/O. Time and memory are bounded.

Values are built from libyaml's events without recursion, according to the core schema of YAML 1.2. Keys must
be unique strings, and tags that are not in the core schema are rejected. Each use of an alias counts as many
values as its anchor contains, so that a small file cannot expand to gigabytes.
"""

from dataclasses import dataclass
from typing import NamedTuple

import yaml

from wheatstile.config.violations import json_pointer
from wheatstile.descriptions.findings import InvalidDescriptionError
from wheatstile.descriptions.model import JsonValue
from wheatstile.descriptions.parsed_file import MAX_NESTING_DEPTH, MAX_VALUES, ParsedFile, parse_error
from wheatstile.descriptions.yaml_scalars import plain_scalar

LOADER = getattr(yaml, "CSafeLoader", yaml.SafeLoader)  # CSafeLoader needs a PyYAML built with libyaml
MERGE_KEY = "<<"
NON_SPECIFIC_TAG = "!"
CORE_TYPES = ("str", "map", "seq", "int", "float", "bool", "null")
ALLOWED_TAGS = {NON_SPECIFIC_TAG, *(f"tag:yaml.org,2002:{name}" for name in CORE_TYPES)}


def parse_yaml(file: str, text: str) -> ParsedFile:
    """Parse one YAML document. Raises InvalidDescriptionError."""
    builder = _DocumentBuilder(file)
    try:
        for event in yaml.parse(text, Loader=LOADER):
            builder.add_event(event)
    except yaml.MarkedYAMLError as error:
        mark = error.problem_mark or error.context_mark
        line = mark.line + 1 if mark else 1
        raise parse_error(file, line, f"not valid YAML: {error.problem or error}") from None
    except yaml.YAMLError as error:
        raise parse_error(file, 1, f"not valid YAML: {str(error).splitlines()[0]}") from None
    return ParsedFile(file, builder.root, builder.lines)


@dataclass(slots=True)
class _OpenContainer:
    """A mapping or sequence that is not complete yet."""

    value: dict[str, JsonValue] | list[JsonValue]
    pointer: str
    anchor: str | None
    key: str | None = None  # key of the next value in a mapping; None: a key comes next
    size: int = 1  # number of values, with aliases expanded


class _AnchoredValue(NamedTuple):
    """A value that has an anchor, to which aliases may refer."""

    value: JsonValue
    size: int  # number of values, with aliases expanded


class _DocumentBuilder:
    """Builds the value of one document from YAML events."""

    def __init__(self, file: str) -> None:
        self.lines: dict[str, int] = {}
        self.root: JsonValue = None
        self._file = file
        self._document_count = 0
        self._stack: list[_OpenContainer] = []
        self._anchors: dict[str, _AnchoredValue] = {}
        self._value_count = 0  # number of values, with aliases expanded

    def add_event(self, event: yaml.Event) -> None:
        """Process the next event of the document. Raises InvalidDescriptionError."""
        line = event.start_mark.line + 1 if event.start_mark else 1
        match event:
            case yaml.ScalarEvent():
                self._add_scalar(event, line)
            case yaml.MappingStartEvent():
                self._open({}, event, line)
            case yaml.SequenceStartEvent():
                self._open([], event, line)
            case yaml.MappingEndEvent() | yaml.SequenceEndEvent():
                self._close(line)
            case yaml.AliasEvent():
                self._add_alias(event, line)
            case yaml.DocumentStartEvent():
                self._document_count += 1
                if self._document_count > 1:
                    raise self._error(line, "the file contains more than one document")

    def _error(self, line: int, reason: str, pointer: str = "") -> InvalidDescriptionError:
        return parse_error(self._file, line, reason, pointer)

    def _add_scalar(self, event: yaml.ScalarEvent, line: int) -> None:
        top = self._stack[-1] if self._stack else None
        if top and isinstance(top.value, dict) and top.key is None:
            self._add_key(top, top.value, event, line)
            return
        pointer = self._next_pointer(line)
        self._check_tag(event, line, pointer)
        value = plain_scalar(event.value) if event.implicit[0] else event.value
        if event.anchor:
            self._anchors[event.anchor] = _AnchoredValue(value, 1)
        self._add_value(value, line)

    def _add_key(
        self, top: _OpenContainer, mapping: dict[str, JsonValue], event: yaml.ScalarEvent, line: int
    ) -> None:
        key = event.value
        pointer = top.pointer + json_pointer(key)
        if key == MERGE_KEY and event.implicit[0]:
            raise self._error(
                line, "merge keys (<<) are not part of YAML 1.2: write out the members", pointer
            )
        if key in mapping:
            first_line = self.lines.get(pointer, 1)
            raise self._error(line, f"duplicate key, first defined on line {first_line}", pointer)
        top.key = key
        self.lines[pointer] = line

    def _check_tag(
        self, event: yaml.ScalarEvent | yaml.CollectionStartEvent, line: int, pointer: str
    ) -> None:
        if event.tag and event.tag not in ALLOWED_TAGS:
            raise self._error(line, f"the tag {event.tag} is not allowed", pointer)

    def _add_value(self, value: JsonValue, line: int, size: int = 1) -> None:
        """Add a complete value to the innermost open container."""
        self._value_count += size
        if self._value_count > MAX_VALUES:
            raise self._error(line, f"more than {MAX_VALUES} values with aliases expanded")
        if not self._stack:
            self.root = value
            return
        top = self._stack[-1]
        top.size += size
        if isinstance(top.value, list):
            top.value.append(value)
        elif top.key is None:
            raise self._key_error(line, top)
        else:
            top.value[top.key] = value
            top.key = None

    def _key_error(self, line: int, mapping: _OpenContainer) -> InvalidDescriptionError:
        return self._error(line, "a mapping key is not a string", mapping.pointer)

    def _next_pointer(self, line: int) -> str:
        """Return the JSON pointer of the next value, and record its line."""
        if not self._stack:
            self.lines[""] = line
            return ""
        top = self._stack[-1]
        if isinstance(top.value, list):
            pointer = f"{top.pointer}/{len(top.value)}"
            self.lines[pointer] = line
            return pointer
        if top.key is None:
            raise self._key_error(line, top)
        return top.pointer + json_pointer(top.key)

    def _open(
        self, value: dict[str, JsonValue] | list[JsonValue], event: yaml.CollectionStartEvent, line: int
    ) -> None:
        if len(self._stack) >= MAX_NESTING_DEPTH:
            raise self._error(line, f"nested deeper than {MAX_NESTING_DEPTH} levels")
        pointer = self._next_pointer(line)
        self._check_tag(event, line, pointer)
        self._stack.append(_OpenContainer(value, pointer, event.anchor))

    def _close(self, line: int) -> None:
        container = self._stack.pop()
        if container.anchor:
            self._anchors[container.anchor] = _AnchoredValue(container.value, container.size)
        member_count = container.size - 1
        self._value_count -= member_count  # the members were counted when they were added
        self._add_value(container.value, line, container.size)

    def _add_alias(self, event: yaml.AliasEvent, line: int) -> None:
        pointer = self._next_pointer(line)
        if event.anchor not in self._anchors:
            raise self._error(
                line, f"the alias *{event.anchor} refers to an undefined anchor or to itself", pointer
            )
        anchored = self._anchors[event.anchor]
        self._add_value(anchored.value, line, anchored.size)
