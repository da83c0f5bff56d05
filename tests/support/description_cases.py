"""Cases of tests/descriptions/corpus: small descriptions, each with the result of their compilation."""

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
WHOLE_FILE_MARK = "!"
RESPONSES_MARK = "$R"
RESPONSES = '"responses": {"default": {"description": "d"}}'
MICROSECONDS_PER_SECOND = 1_000_000
DEADLINES_US = {"web": 2_000_000, "slow": 10_000_000, "feed": 3_000_000}
CLASSES = {
    name: ClassPolicy(name, client_deadline_us=deadline_us) for name, deadline_us in DEADLINES_US.items()
}


class Stream(msgspec.Struct, forbid_unknown_fields=True):
    """The content of a stream, by the first route of a case."""

    queue: str
    reply: str
    messages: list[tuple[str, str, int | None]]  # name, discriminator, maximum size in bytes


class Case(msgspec.Struct, forbid_unknown_fields=True):
    """One case of the corpus."""

    name: str
    api: str | None = None  # OpenAPI 3.1 document without its header
    events: str | None = None  # AsyncAPI 3.0 document without its header
    events2: str | None = None  # AsyncAPI 2.6 document without its header
    files: dict[str, str] = msgspec.field(default_factory=dict)  # text by file name
    rules: list[str] = msgspec.field(default_factory=list)  # "CONDITION -> CLASS [KEYWORD]"
    overrides: dict[str, str] = msgspec.field(default_factory=dict)  # keyword by class
    options: dict[str, bool] = msgspec.field(default_factory=dict)
    findings: list[str] | None = None  # None: the descriptions are accepted
    routes: list[str] | None = None
    classes: dict[str, str] | None = None
    match: dict[str, list[str]] | None = None  # templates by "ACTION TARGET"
    stream: Stream | None = None


def load_cases() -> list[Case]:
    """Return all cases of the corpus."""
    return [
        msgspec.convert(case, Case)
        for path in sorted(CORPUS.glob("*.yaml"))
        for case in yaml.safe_load(path.read_text())
    ]


def compile_case(case: Case, folder: Path) -> CompiledDescriptions:
    """Write the files of a case into the current folder and compile those that are not in a subfolder."""
    paths = []
    for name, text in _files_of(case).items():
        (folder / name).parent.mkdir(exist_ok=True)
        (folder / name).write_text(text)
        paths += [name] if "/" not in name else []
    return compile_paths(paths, _operator_file_of(case, folder), CLASSES).descriptions


def _files_of(case: Case) -> dict[str, str]:
    """Return the texts of a case's files by name."""
    texts = {name: _file_text(text) for name, text in case.files.items()}
    if case.api is not None:
        texts[MAIN_FILE] = OPENAPI_HEADER + case.api
    if case.events is not None:
        texts[MAIN_FILE] = ASYNCAPI_3_HEADER + case.events
    if case.events2 is not None:
        texts[MAIN_FILE] = ASYNCAPI_2_HEADER + case.events2
    return {name: text.replace(RESPONSES_MARK, RESPONSES) for name, text in texts.items()}


def _file_text(text: str) -> str:
    """Return the text of a file with its header."""
    if text.startswith(WHOLE_FILE_MARK):
        return text.removeprefix(WHOLE_FILE_MARK)
    return OPENAPI_HEADER + text


def _operator_file_of(case: Case, folder: Path) -> OperatorFile:
    """Write the operator's file of a case into the folder, and return it."""
    section = {
        "rules": [_rule(text) for text in case.rules],
        "classes": {name: {"repeat": keyword} for name, keyword in case.overrides.items()},
        **case.options,
    }
    path = folder / OPERATOR_FILE
    path.write_text(json.dumps({"descriptions": section}))
    return OperatorFile(Path(OPERATOR_FILE), parse(OPERATOR_FILE, path.read_bytes()))


def _rule(text: str) -> dict[str, Any]:
    """Return a rule as the operator's file has it."""
    condition, _, result = text.partition(" -> ")
    service_class, _, keyword = result.partition(" ")
    rule = {"when": condition, "class": service_class}
    if keyword:
        rule["repeat"] = keyword
    return rule


def route_text(route: Route) -> str:
    """Return a route as the corpus writes it: "ACTION TEMPLATE CLASS KEYWORD"."""
    keyword = IDEMPOTENCY_KEYWORDS.keyword(route.retry_safety.idempotency)
    return f"{route.operation.action} {route.template} {route.service_class or '-'} {keyword}"


def class_text(policy: ClassPolicy) -> str:
    """Return a class as the corpus writes it: "KEYWORD [SCOPE SECONDS]"."""
    keyword = IDEMPOTENCY_KEYWORDS.keyword(policy.idempotency)
    if policy.idempotency is not Idempotency.IDEMPOTENCY_KEY:
        return keyword
    window_s = policy.deduplication_window_us // MICROSECONDS_PER_SECOND
    return f"{keyword} {SCOPE_KEYWORDS.keyword(policy.deduplication_scope)} {window_s}"


def stream_of(route: Route) -> Stream:
    """Return the content of a route's stream."""
    operation = route.operation
    messages = [(message.name, message.discriminator, message.max_bytes) for message in operation.messages]
    return Stream(operation.queue_group, operation.reply, messages)
