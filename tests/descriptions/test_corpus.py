"""Small descriptions, each with what it compiles to. The cases are data: a new one needs no code."""

import json
from pathlib import Path
from typing import Any

import pytest
import yaml

from wheatstile.config.operator import OperatorFile, parse
from wheatstile.descriptions.compile_types import ClassPolicy, CompiledDescriptions, Route
from wheatstile.descriptions.findings import InvalidDescriptionError
from wheatstile.descriptions.reader import compile_paths
from wheatstile.interface import Idempotency

Case = dict[str, Any]

MIN_CASES = 60
CASES = [
    pytest.param(case, id=case["name"])
    for path in sorted((Path(__file__).parent / "corpus").glob("*.yaml"))
    for case in yaml.safe_load(path.read_text())
]
HEADERS = {
    "api": "openapi: 3.1.0\ninfo: {title: t, version: '1'}\n",
    "events": "asyncapi: 3.0.0\ninfo: {title: t, version: '1'}\n",
    "events2": "asyncapi: 2.6.0\ninfo: {title: t, version: '1'}\n",
}
RESPONSES = '"responses": {"default": {"description": "d"}}'
DEADLINES_US = {"web": 2_000_000, "slow": 10_000_000, "feed": 3_000_000}
CLASSES = {
    name: ClassPolicy(name, client_deadline_us=deadline_us) for name, deadline_us in DEADLINES_US.items()
}


def files_of(case: Case) -> dict[str, str]:
    """The files of a case by name; a text that begins with `!` is a whole file."""
    files = {}
    for key in HEADERS.keys() & case.keys():
        files["a.yaml"] = HEADERS[key] + case[key]
    for name, text in case.get("files", {}).items():
        files[name] = text[1:] if text.startswith("!") else HEADERS["api"] + text
    return {name: text.replace("$R", RESPONSES) for name, text in files.items()}


def operator_of(case: Case, folder: Path) -> OperatorFile:
    """The operator's file of a case, as `op.json` in the folder."""
    rules = []
    for text in case.get("rules", []):
        condition, _, result = text.partition(" -> ")
        service_class, _, repeat = result.partition(" ")
        rules.append({"when": condition, "class": service_class} | ({"repeat": repeat} if repeat else {}))
    overrides = {name: {"repeat": repeat} for name, repeat in case.get("told", {}).items()}
    section = {"rules": rules, "classes": overrides} | case.get("options", {})
    (folder / "op.json").write_text(json.dumps({"descriptions": section}))
    return OperatorFile(Path("op.json"), parse("op.json", (folder / "op.json").read_bytes()))


def compile_case(case: Case, folder: Path) -> CompiledDescriptions:
    """Write the files of a case and compile those that are not in a subfolder."""
    paths = []
    for name, text in files_of(case).items():
        (folder / name).parent.mkdir(exist_ok=True)
        (folder / name).write_text(text)
        paths += [name] if "/" not in name else []
    return compile_paths(paths, operator_of(case, folder), CLASSES).descriptions


def summary(route: Route) -> str:
    """A route as the corpus writes it: action, template, class and idempotency."""
    idempotency = route.retry_safety.idempotency
    return f"{route.operation.action} {route.template} {route.service_class or '-'} {idempotency}"


def class_summary(policy: ClassPolicy) -> str:
    """A class as the corpus writes it: idempotency, and scope and window in seconds of keyed ones."""
    if policy.idempotency is not Idempotency.IDEMPOTENCY_KEY:
        return policy.idempotency
    window_s = policy.deduplication_window_us // 1_000_000
    return f"{policy.idempotency} {policy.deduplication_scope} {window_s}"


def rejection(case: Case, folder: Path) -> list[str]:
    """The reasons for which a case is rejected, without the folder's name."""
    with pytest.raises(InvalidDescriptionError) as error:
        compile_case(case, folder)
    lines = [line.replace(str(folder), "").removesuffix(" ") for line in error.value.lines()]
    return [line.replace("leaves the folder ", "leaves the folder") for line in lines]


@pytest.mark.parametrize("case", CASES)
def test_case_compiles_to_what_it_says(case: Case, tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.chdir(tmp_path)
    if "refused" in case:
        assert rejection(case, tmp_path) == case["refused"]
        return
    compiled = compile_case(case, tmp_path)
    if "expect" in case:
        assert sorted(map(summary, compiled.routes)) == case["expect"]
    for name, expected in case.get("classes", {}).items():
        assert class_summary(compiled.classes[name]) == expected
    for target, expected in case.get("match", {}).items():
        action, text = target.split(" ")
        assert [route.template for route in compiled.match(action, text)] == expected
    if "stream" in case:
        operation = compiled.routes[0].operation
        messages = [
            [message.name, message.discriminator, message.max_bytes] for message in operation.messages
        ]
        stream = {"queue": operation.queue_group, "reply": operation.reply, "messages": messages}
        assert stream == case["stream"]


def test_corpus_has_enough_distinct_cases() -> None:
    assert len(CASES) >= MIN_CASES
    assert len({case.id for case in CASES}) == len(CASES)
