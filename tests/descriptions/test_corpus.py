"""Small descriptions, each with what it comes to, read as data: adding a case needs no code."""

import json
from pathlib import Path
from typing import Any

import pytest
import yaml

from wheatstile.config.operator import OperatorFile, parse
from wheatstile.descriptions.compile import ClassFacts, Compiled, Route
from wheatstile.descriptions.model import DescriptionError
from wheatstile.descriptions.reader import compile_paths

CASES = [
    pytest.param(case, id=case["name"])
    for path in sorted((Path(__file__).parent / "corpus").glob("*.yaml"))
    for case in yaml.safe_load(path.read_text())
]
HEADS = {
    "api": "openapi: 3.1.0\ninfo: {title: t, version: '1'}\n",
    "events": "asyncapi: 3.0.0\ninfo: {title: t, version: '1'}\n",
    "events2": "asyncapi: 2.6.0\ninfo: {title: t, version: '1'}\n",
}
FACTS = {
    name: ClassFacts(name, "safe", "all", 0, patience)
    for name, patience in (("web", 2_000_000), ("slow", 10_000_000), ("feed", 3_000_000))
}


def files_of(case: dict[str, Any]) -> dict[str, str]:
    files = {}
    for key in HEADS.keys() & case.keys():
        files["a.yaml"] = HEADS[key] + case[key]
    for name, text in case.get("files", {}).items():
        files[name] = text[1:] if text.startswith("!") else HEADS["api"] + text
    answers = {name: '"responses": {"default": {"description": "d"}}' for name in files}
    return {name: text.replace("$R", answers[name]) for name, text in files.items()}


def operator_of(case: dict[str, Any], folder: Path) -> OperatorFile:
    rules = []
    for text in case.get("rules", []):
        when, _, then = text.partition(" -> ")
        name, _, repeat = then.partition(" ")
        rules.append({"when": when, "class": name} | ({"repeat": repeat} if repeat else {}))
    told = {name: {"repeat": repeat} for name, repeat in case.get("told", {}).items()}
    section = {"rules": rules, "classes": told} | case.get("options", {})
    (folder / "op.json").write_text(json.dumps({"descriptions": section}))
    return OperatorFile(Path("op.json"), parse("op.json", (folder / "op.json").read_bytes()))


def compile_case(case: dict[str, Any], folder: Path) -> Compiled:
    paths = []
    for name, text in files_of(case).items():
        (folder / name).parent.mkdir(exist_ok=True)
        (folder / name).write_text(text)
        paths += [name] if "/" not in name else []
    return compile_paths(paths, operator_of(case, folder), FACTS)[0]


def told(route: Route) -> str:
    return f"{route.operation.action} {route.template} {route.service_class or '-'} {route.verdict.repeat}"


@pytest.mark.parametrize("case", CASES)
def test_a_description_comes_to_what_its_case_says(
    case: dict[str, Any], tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.chdir(tmp_path)
    if "refused" in case:
        with pytest.raises(DescriptionError) as error:
            compile_case(case, tmp_path)
        lines = [line.replace(str(tmp_path), "").removesuffix(" ") for line in error.value.lines()]
        assert [line.replace("leaves the folder ", "leaves the folder") for line in lines] == case["refused"]
        return
    found = compile_case(case, tmp_path)
    if "expect" in case:
        assert sorted(map(told, found.routes)) == case["expect"]
    for name, wanted in case.get("classes", {}).items():
        facts = found.classes[name]
        more = f" {facts.scope} {facts.window // 1_000_000}" if facts.repeat == "keyed" else ""
        assert facts.repeat + more == wanted
    for asked, wanted in case.get("match", {}).items():
        action, text = asked.split(" ")
        assert [route.template for route in found.match(action, text)] == wanted
    if "stream" in case:
        operation = found.routes[0].operation
        messages = [[one.name, one.discriminator, one.most_bytes] for one in operation.messages]
        assert {"queue": operation.queue_group, "reply": operation.reply, "messages": messages} == case[
            "stream"
        ]


def test_the_corpus_is_large_enough_to_mean_something() -> None:
    assert len(CASES) >= 60 and len({case.id for case in CASES}) == len(CASES)
