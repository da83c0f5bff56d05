"""The one part that reads files: descriptions, what they refer to in their folder, the operator's rules."""

import os
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any
from urllib.parse import unquote, urlsplit

from wheatstile.config.operator import MOST_BYTES as MOST_OPERATOR_BYTES
from wheatstile.config.operator import Descriptions, OperatorFile
from wheatstile.config.platform import Config
from wheatstile.config.violations import ConfigurationError, Violation, load, locate, nearest, pointer
from wheatstile.descriptions import asyncapi, openapi, text
from wheatstile.descriptions.compile import ClassFacts, Compiled, Options, Rule, compiled
from wheatstile.descriptions.language import RuleError, condition
from wheatstile.descriptions.model import Description, DescriptionError, Finding, Place
from wheatstile.descriptions.refs import Library, reference_findings
from wheatstile.descriptions.text import Text
from wheatstile.resolvers.regular_file import open_regular, snapshot

MOST_FILES = 1000  # of all descriptions and what they refer to
ENDINGS = (".yaml", ".yml", ".json")
KINDS = ("openapi", "asyncapi", "swagger")


@dataclass(slots=True)
class Reading:
    """Descriptions as read, and the files that they were read from with their fingerprints."""

    descriptions: list[Description] = field(default_factory=list)
    files: dict[str, bytes] = field(default_factory=dict)


def _error(file: str, reason: str) -> DescriptionError:
    return DescriptionError([Finding(Place(file, 1, ""), reason)])


class _Folder:
    """Files below one folder, read once each; nothing outside is."""

    def __init__(self, root: Path, reading: Reading) -> None:
        self.root, self.reading = Path(os.path.realpath(root)), reading
        self.library = Library(self.retrieve)

    def retrieve(self, uri: str) -> Text:
        """The file at this URI. Raises ValueError or DescriptionError."""
        path = Path(os.path.realpath(unquote(urlsplit(uri).path)))
        if not path.is_relative_to(self.root):
            raise ValueError(f"leaves the folder {self.root}")
        return self.read(path)

    def read(self, path: Path) -> Text:
        name = os.path.relpath(path)
        name = str(path) if name.startswith("..") else name
        if len(self.reading.files) >= MOST_FILES:
            raise ValueError(f"more than {MOST_FILES} files")
        try:
            descriptor = open_regular(path)
            try:
                found = snapshot(descriptor, text.MOST_BYTES)
            finally:
                os.close(descriptor)
        except OSError as error:
            raise ValueError(f"{name}: {error.strerror or error}") from None
        self.reading.files[str(path)] = found.fingerprint
        return text.parse(name, found.data)


def read(paths: Iterable[str | Path], validate: bool = True) -> Reading:
    """Every description at these paths: a file, or all of a folder. Raises DescriptionError."""
    reading = Reading()
    findings: list[Finding] = []
    for path in map(Path, paths):
        if path.is_dir():
            folder = _Folder(path, reading)
            found = sorted(one for one in path.rglob("*") if one.suffix in ENDINGS and one.is_file())
            if not found:
                findings.append(Finding(Place(str(path), 1, ""), f"no file ends in {', '.join(ENDINGS)}"))
        else:
            folder, found = _Folder(path.parent, reading), [path]
        for one in found:
            try:
                description = _describe(folder, one, path.is_dir(), validate)
                if description:
                    reading.descriptions.append(description)
            except DescriptionError as error:
                findings += error.findings
            except (ValueError, RecursionError) as error:
                findings.append(Finding(Place(str(one), 1, ""), str(error) or type(error).__name__))
    if findings:
        raise DescriptionError(sorted(set(findings), key=lambda one: (one.place, one.reason)))
    return reading


def _describe(folder: _Folder, path: Path, scanned: bool, validate: bool) -> Description | None:
    """The description in a file; None for a part that others refer to."""
    uri = Path(os.path.realpath(path)).as_uri()
    if not Path(os.path.realpath(path)).is_relative_to(folder.root):
        raise ValueError(f"{path} is a link that leaves the folder {folder.root}")
    root = folder.library.root(uri)
    value, file = root.value, root.text.file
    if not isinstance(value, dict) or not any(kind in value for kind in KINDS):
        if scanned:
            return None
        raise _error(file, f"is no description: none of the keys {', '.join(KINDS)} is there")
    # First of all: the validator follows references too, and would not say as plainly what is wrong there.
    if found := reference_findings(root):
        raise DescriptionError(found)
    if (version := openapi.version_of(value)) is not None:
        if validate:

            def read_file(other: str) -> Any:
                return folder.library.at(other).value

            found = openapi.validation_findings(value, version, uri, read_file, root.text.place)
            if found:
                raise DescriptionError(found)
        return openapi.read(root, version)
    if (version := asyncapi.version_of(value)) is not None:
        return asyncapi.read(root, version)
    if "swagger" in value:
        reason = "is Swagger 2.0, which is not read: convert it to OpenAPI 3.0 (swagger2openapi does)"
        raise DescriptionError([Finding(root.text.place("/swagger"), reason)])
    kind = next(kind for kind in KINDS if kind in value)
    reason = (
        f"{kind} {text.dumps(value[kind])} is not read: OpenAPI 3.0, 3.1 and 3.2, AsyncAPI 2.6 and 3.0 are"
    )
    raise DescriptionError([Finding(root.text.place(f"/{kind}"), reason)])


def rules_of(operator: OperatorFile | None) -> tuple[list[Rule], dict[str, tuple[Any, Place]]]:
    """The operator's rules and words on classes, with their places. Raises DescriptionError."""
    if operator is None:
        return [], {}
    section: Descriptions = operator.settings.descriptions
    pointers = [pointer("descriptions", "rules", index, "when") for index in range(len(section.rules))]
    words = {name: pointer("descriptions", "classes", name, "repeat") for name in section.classes}
    places = _places(str(operator.path), [*pointers, *words.values()])
    rules, findings = [], []
    for rule, where in zip(section.rules, pointers, strict=True):
        try:
            rules.append(Rule(condition(rule.when), rule.service_class, places[where], rule.repeat))
        except RuleError as error:
            findings.append(Finding(places[where], str(error)))
    if findings:
        raise DescriptionError(findings)
    return rules, {name: (section.classes[name].repeat, places[where]) for name, where in words.items()}


def _places(file: str, pointers: list[str]) -> dict[str, Place]:
    try:
        with open(file, "rb") as source:
            found, _ = load(file, source.read(MOST_OPERATOR_BYTES + 1), MOST_OPERATOR_BYTES)
    except (OSError, ConfigurationError):  # it has just been read; it changes while it is read
        return {one: Place(file, 1, one) for one in pointers}
    located = locate(found, [Violation(one, "") for one in pointers])
    return {fault.pointer: Place(file, fault.line, fault.pointer) for fault in located}


def facts_of(config: Config) -> dict[str, ClassFacts]:
    """What the platform says of each class."""
    patience = config.client_limits.deadlines_ms
    return {
        name: ClassFacts(
            name,
            one.idempotency.value,
            one.deduplication_scope.value,
            one.deduplication_window_us,
            patience.get(name, 0) * 1000,
        )
        for name, one in config.settings.classes.items()
    }


def compile_paths(
    paths: Iterable[str | Path],
    operator: OperatorFile | None = None,
    facts: Mapping[str, ClassFacts] | None = None,
    max_attempts: int = 5,
    strict: bool = False,
) -> tuple[Compiled, Reading]:
    """Read and compile, with the operator's rules and the platform's classes (None: not known).

    Raises DescriptionError with every conflict.
    """
    rules, words = rules_of(operator)
    section = operator.settings.descriptions if operator else Descriptions()
    if facts is not None:
        unknown = [
            Finding(place, f'the class "{name}" is not in the settings{nearest(name, facts)}')
            for name, (_, place) in words.items()
            if name not in facts
        ]
        if unknown:
            raise DescriptionError(unknown)
        facts = {
            name: replace(one, told=words[name][0], told_place=words[name][1]) if name in words else one
            for name, one in facts.items()
        }
    reading = read(paths)
    options = Options(max_attempts, section.require_class, strict or section.strict)
    return compiled(reading.descriptions, rules, facts, options), reading
