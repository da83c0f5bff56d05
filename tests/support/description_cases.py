"""Loads and runs the cases of tests/descriptions/corpus: small descriptions with the expected compilation."""

import json
from pathlib import Path
from typing import Any

import msgspec
import yaml

from wheatstile.config.operator import OperatorFile, parse
from wheatstile.descriptions.compile_types import ClassPolicy, CompiledDescriptions, Route
from wheatstile.descriptions.keywords import IDEMPOTENCY_KEYWORDS, SCOPE_KEYWORDS
from wheatstile.descriptions.reader import compile_paths
from wheatstile.interface import Idempotency

CORPUS = Path(__file__).parents[1] / "descriptions" / "corpus"
OPENAPI_HEADER = "openapi: 3.1.0\ninfo: {title: t, version: '1'}\n"
ASYNCAPI_3_HEADER = "asyncapi: 3.0.0\ninfo: {title: t, version: '1'}\n"
ASYNCAPI_2_HEADER = "asyncapi: 2.6.0\ninfo: {title: t, version: '1'}\n"
MAIN_FILE = "a.yaml"
OPERATOR_FILE = "op.json"
COMPLETE_FILE_MARKER = "!"
RESPONSES_PLACEHOLDER = "$R"
RESPONSES = '"responses": {"default": {"description": "d"}}'
US_PER_S = 1_000_000
DEADLINES_US = {"web": 2_000_000, "slow": 10_000_000, "feed": 3_000_000}
CLASSES = {
    name: ClassPolicy(name, client_deadline_us=deadline_us) for name, deadline_us in DEADLINES_US.items()
}


class Stream(msgspec.Struct, forbid_unknown_fields=True):
    """The expected stream of the first route of a case."""

    queue: str
    reply: str
    messages: list[tuple[str, str, int | None]]  # name, discriminator and maximum size in bytes of each


class Case(msgspec.Struct, forbid_unknown_fields=True):
    """One case of the corpus."""

    name: str
    api: str | None = None  # OpenAPI 3.1 document without its header
    events: str | None = None  # AsyncAPI 3.0 document without its header
    events2: str | None = None  # AsyncAPI 2.6 document without its header
    files: dict[str, str] = msgspec.field(default_factory=dict)  # texts by file name
    rules: list[str] = msgspec.field(default_factory=list)  # "CONDITION -> CLASS [KEYWORD]"
    overrides: dict[str, str] = msgspec.field(default_factory=dict)  # keywords by class name
    options: dict[str, bool] = msgspec.field(default_factory=dict)
    findings: list[str] | None = None  # expected lines of the rejection; None: the descriptions are accepted
    routes: list[str] | None = None  # expected, as `route_text` returns them
    classes: dict[str, str] | None = None  # expected texts by class name, as `class_text` returns them
    match: dict[str, list[str]] | None = None  # expected templates by "ACTION TARGET"
    stream: Stream | None = None


def load_cases() -> list[Case]:
    """Return all cases of the corpus."""
    return [
        msgspec.convert(case, Case)
        for path in sorted(CORPUS.glob("*.yaml"))
        for case in yaml.safe_load(path.read_text())
    ]


def compile_case(case: Case, directory: Path) -> CompiledDescriptions:
    """Write the files of a case into the working directory, and compile the files at its top level."""
    paths = []
    for name, text in _files_of(case).items():
        (directory / name).parent.mkdir(exist_ok=True)
        (directory / name).write_text(text)
        paths += [name] if "/" not in name else []
    return compile_paths(paths, _operator_file_of(case, directory), CLASSES).descriptions


def _files_of(case: Case) -> dict[str, str]:
    """Return the texts of a case's files by file name."""
    texts = {name: _file_text(text) for name, text in case.files.items()}
    if case.api is not None:
        texts[MAIN_FILE] = OPENAPI_HEADER + case.api
    if case.events is not None:
        texts[MAIN_FILE] = ASYNCAPI_3_HEADER + case.events
    if case.events2 is not None:
        texts[MAIN_FILE] = ASYNCAPI_2_HEADER + case.events2
    return {name: text.replace(RESPONSES_PLACEHOLDER, RESPONSES) for name, text in texts.items()}


def _file_text(text: str) -> str:
    """Return the text of a file, with the OpenAPI header unless the text is marked as complete."""
    if text.startswith(COMPLETE_FILE_MARKER):
        return text.removeprefix(COMPLETE_FILE_MARKER)
    return OPENAPI_HEADER + text


def _operator_file_of(case: Case, directory: Path) -> OperatorFile:
    """Write the operator's file of a case into the directory, and return it."""
    section = {
        "rules": [_rule(text) for text in case.rules],
        "classes": {name: {"repeat": keyword} for name, keyword in case.overrides.items()},
        **case.options,
    }
    path = directory / OPERATOR_FILE
    path.write_text(json.dumps({"descriptions": section}))
    return OperatorFile(Path(OPERATOR_FILE), parse(OPERATOR_FILE, path.read_bytes()))


def _rule(text: str) -> dict[str, Any]:
    """Return a rule in the format of the operator's file."""
    condition, _, result = text.partition(" -> ")
    service_class, _, keyword = result.partition(" ")
    rule = {"when": condition, "class": service_class}
    if keyword:
        rule["repeat"] = keyword
    return rule


def route_text(route: Route) -> str:
    """Return a route in the format of the corpus: "ACTION TEMPLATE CLASS KEYWORD"."""
    keyword = IDEMPOTENCY_KEYWORDS.keyword(route.retry_safety.idempotency)
    return f"{route.operation.action} {route.template} {route.service_class or '-'} {keyword}"


def class_text(policy: ClassPolicy) -> str:
    """Return a class in the format of the corpus: "KEYWORD [SCOPE SECONDS]"."""
    keyword = IDEMPOTENCY_KEYWORDS.keyword(policy.idempotency)
    if policy.idempotency is not Idempotency.IDEMPOTENCY_KEY:
        return keyword
    window_s = policy.deduplication_window_us // US_PER_S
    return f"{keyword} {SCOPE_KEYWORDS.keyword(policy.deduplication_scope)} {window_s}"


def stream_of(route: Route) -> Stream:
    """Return the content of a route's stream."""
    operation = route.operation
    messages = [(message.name, message.discriminator, message.max_bytes) for message in operation.messages]
    return Stream(operation.queue_group, operation.reply, messages)
