"""JSON and YAML text to values, with the line of every place. Pure, and bounded in time and memory.

YAML is taken event by event from libyaml and built here without recursion: by its 1.2 decisions schema (`yes`
is a text, as in JSON), keys that are texts, no key twice, no tags of other languages; aliases count in
full each time they are used, so that a few lines cannot stand for gigabytes.
"""

import json
import re
from contextlib import suppress
from dataclasses import dataclass
from typing import Any

import yaml

from wheatstile.config import violations
from wheatstile.descriptions.model import DescriptionError, Finding, Place

MOST_BYTES = 16 << 20  # of one file
MOST_DEPTH = 200  # objects and lists within each other
MOST_VALUES = 2_000_000  # of one file, aliases counted each time
_LOADER = getattr(yaml, "CSafeLoader", yaml.SafeLoader)
_BOOLEANS = {"true": True, "True": True, "TRUE": True, "false": False, "False": False, "FALSE": False}
_NULLS = ("", "~", "null", "Null", "NULL")
_INTEGER = re.compile(r"[-+]?[0-9]{1,300}").fullmatch
_OCTAL, _HEXADECIMAL = re.compile(r"0o[0-7]{1,300}").fullmatch, re.compile(r"0x[0-9a-fA-F]{1,300}").fullmatch
_FLOAT = re.compile(r"[-+]?(\.[0-9]+|[0-9]+(\.[0-9]*)?)([eE][-+]?[0-9]+)?").fullmatch
_TAGS = {
    "tag:yaml.org,2002:str", "tag:yaml.org,2002:map", "tag:yaml.org,2002:seq", "tag:yaml.org,2002:int",
    "tag:yaml.org,2002:float", "tag:yaml.org,2002:bool", "tag:yaml.org,2002:null", "!",
}  # fmt: skip


@dataclass(frozen=True, slots=True)
class Text:
    """One file's value, and the line of each place in it by JSON pointer."""

    file: str
    value: Any
    lines: dict[str, int]

    def place(self, pointer: str) -> Place:
        """The place at a pointer; of what is not there, the line of the nearest that is."""
        known = pointer
        while known and known not in self.lines:
            known = known.rpartition("/")[0]
        return Place(self.file, self.lines.get(known, 1), pointer)


def parse(file: str, data: bytes) -> Text:
    """The value in these bytes: JSON where it begins as JSON, else YAML. Raises DescriptionError."""
    if len(data) > MOST_BYTES:
        raise _error(file, 1, f"{len(data)} bytes; {MOST_BYTES} at most")
    if b"\0" in data:
        raise _error(file, data.count(b"\n", 0, data.index(b"\0")) + 1, "a NUL byte")
    try:
        text = data.decode("utf-8-sig")
    except UnicodeDecodeError as error:
        line = data.count(b"\n", 0, error.start) + 1
        raise _error(file, line, f"no UTF-8: {error.reason} at byte {error.start}") from None
    if file.endswith(".json"):
        return _json(file, text)
    if text.lstrip()[:1] == "{":  # JSON by another name has escapes that YAML reads otherwise
        with suppress(DescriptionError):
            return _json(file, text)
    return _yaml(file, text)


def _error(file: str, line: int, reason: str, pointer: str = "") -> DescriptionError:
    return DescriptionError([Finding(Place(file, line, pointer), reason)])


def _json(file: str, text: str) -> Text:
    try:
        _, value = violations.load(file, text.encode(), 2 * MOST_BYTES)
    except violations.ConfigurationError as refused:
        findings = [
            Finding(Place(file, one.line or 1, one.pointer), one.reason) for one in refused.violations
        ]
        raise DescriptionError(findings) from None
    lines = {pointer: line for pointer, line, _ in violations.walk(text)}
    if len(lines) > MOST_VALUES:
        raise _error(file, 1, f"more than {MOST_VALUES} values")
    for pointer, line in lines.items():
        if pointer.count("/") > MOST_DEPTH:
            raise _error(file, line, f"nested deeper than {MOST_DEPTH}")
    return Text(file, value, lines)


class _Open:
    """A mapping or sequence under way."""

    __slots__ = ("anchor", "key", "pointer", "size", "value")

    def __init__(self, value: Any, pointer: str, anchor: str | None) -> None:
        self.value, self.pointer, self.anchor = value, pointer, anchor
        self.key: str | None = None
        self.size = 1  # values in it, aliases in full


class _Builder:
    """Builds one document from YAML's events."""

    def __init__(self, file: str) -> None:
        self.file = file
        self.stack: list[_Open] = []
        self.lines: dict[str, int] = {}
        self.anchors: dict[str, tuple[Any, int]] = {}  # with the values that each stands for
        self.root: Any = None
        self.values = 0

    def fail(self, line: int, reason: str, pointer: str = "") -> DescriptionError:
        return _error(self.file, line, reason, pointer)

    def add(self, value: Any, line: int, size: int = 1, pointer: str | None = None) -> None:
        """A whole value, in the container that is open."""
        self.values += size
        if self.values > MOST_VALUES:
            raise self.fail(line, f"more than {MOST_VALUES} values, aliases counted each time they are used")
        if not self.stack:
            self.root = value
            return
        top = self.stack[-1]
        top.size += size
        if isinstance(top.value, list):
            top.value.append(value)
        elif top.key is None:
            raise self.fail(line, "a key that is no text", top.pointer)
        else:
            top.value[top.key] = value
            top.key = None

    def next_pointer(self, line: int) -> str:
        """Where the value that begins now will stand."""
        if not self.stack:
            self.lines[""] = line
            return ""
        top = self.stack[-1]
        if isinstance(top.value, list):
            pointer = f"{top.pointer}/{len(top.value)}"
            self.lines[pointer] = line
            return pointer
        if top.key is None:
            raise self.fail(line, "a key that is no text", top.pointer)
        return top.pointer + violations.pointer(top.key)

    def scalar(self, event: Any, line: int) -> None:
        top = self.stack[-1] if self.stack else None
        if top and isinstance(top.value, dict) and top.key is None:
            key = event.value
            pointer = top.pointer + violations.pointer(key)
            if key == "<<" and event.implicit[0]:
                raise self.fail(line, "a merge key (<<), which YAML 1.2 does not have: write it out", pointer)
            if key in top.value:
                first = self.lines.get(pointer, 1)
                raise self.fail(line, f"the key stands twice, first on line {first}", pointer)
            top.key = key
            self.lines[pointer] = line
            return
        pointer = self.next_pointer(line)
        if event.tag and event.tag not in _TAGS:
            raise self.fail(line, f"the tag {event.tag}", pointer)
        value = _plain(event.value) if event.implicit[0] else event.value
        if event.anchor:
            self.anchors[event.anchor] = value, 1
        self.add(value, line)

    def begin(self, value: Any, event: Any, line: int) -> None:
        if len(self.stack) >= MOST_DEPTH:
            raise self.fail(line, f"nested deeper than {MOST_DEPTH}")
        pointer = self.next_pointer(line)
        if event.tag and event.tag not in _TAGS:
            raise self.fail(line, f"the tag {event.tag}", pointer)
        self.stack.append(_Open(value, pointer, event.anchor))

    def end(self, line: int) -> None:
        done = self.stack.pop()
        if done.anchor:
            self.anchors[done.anchor] = done.value, done.size
        self.values -= done.size - 1  # they were counted when they were added
        self.add(done.value, line, done.size)

    def alias(self, event: Any, line: int) -> None:
        pointer = self.next_pointer(line)
        if event.anchor not in self.anchors:
            raise self.fail(line, f"the alias *{event.anchor} stands for nothing, or for itself", pointer)
        value, size = self.anchors[event.anchor]
        self.add(value, line, size)


def _yaml(file: str, text: str) -> Text:
    builder, documents = _Builder(file), 0
    try:
        for event in yaml.parse(text, Loader=_LOADER):
            line = event.start_mark.line + 1 if event.start_mark else 1
            if isinstance(event, yaml.ScalarEvent):
                builder.scalar(event, line)
            elif isinstance(event, yaml.MappingStartEvent):
                builder.begin({}, event, line)
            elif isinstance(event, yaml.SequenceStartEvent):
                builder.begin([], event, line)
            elif isinstance(event, yaml.MappingEndEvent | yaml.SequenceEndEvent):
                builder.end(line)
            elif isinstance(event, yaml.AliasEvent):
                builder.alias(event, line)
            elif isinstance(event, yaml.DocumentStartEvent):
                documents += 1
                if documents > 1:
                    raise _error(file, line, "more than one document in the file")
    except yaml.MarkedYAMLError as error:
        mark = error.problem_mark or error.context_mark
        raise _error(file, mark.line + 1 if mark else 1, f"no YAML: {error.problem or error}") from None
    except yaml.YAMLError as error:
        raise _error(file, 1, f"no YAML: {str(error).splitlines()[0]}") from None
    return Text(file, builder.root, builder.lines)


def _plain(text: str) -> Any:
    """An unquoted scalar by the decisions schema of YAML 1.2."""
    if text in _NULLS:
        return None
    if text in _BOOLEANS:
        return _BOOLEANS[text]
    if _INTEGER(text):
        return int(text)
    if _OCTAL(text) or _HEXADECIMAL(text):
        return int(text, 0)
    if _FLOAT(text):
        return float(text)
    return text


def dumps(value: Any) -> str:
    """A value for a message: short, on one line."""
    text = json.dumps(value, ensure_ascii=False, default=str)
    return text if len(text) <= 60 else text[:57] + "..."
