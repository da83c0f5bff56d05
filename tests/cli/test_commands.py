"""The command line as a process: exit statuses, and what goes to which stream."""

import ast
import json
import os
import re
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest
from peers import ROOT

SERVERS: dict[str, Any] = {
    "servers": [
        {"id": "link-1", "address": "127.0.0.1:9001", "site": "home"},
        {"id": "link-2", "address": "127.0.0.1:9002", "site": "home", "weight": 2.0},
        {"id": "link-3", "address": "127.0.0.1:9003", "site": "home"},
    ],
    "generation": 1,
}


@pytest.fixture(autouse=True)
def folder(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Path:
    monkeypatch.chdir(tmp_path)
    (tmp_path / "new.json").write_text(json.dumps(SERVERS, indent=1))
    (tmp_path / "few.json").write_text(
        json.dumps(SERVERS | {"servers": SERVERS["servers"][:1], "generation": 9})
    )
    (tmp_path / "bad.json").write_text('{"servers": [],\n"sael": 1}')
    (tmp_path / "op.json").write_text(
        '{"servers": {"file": "live.json", "mode": "override", "state_dir": "."}}'
    )
    return tmp_path


def run(*arguments: str, **variables: str) -> tuple[int, str, str]:
    environ = {
        key: value for key, value in os.environ.items() if not key.startswith(("RELAY_", "WHEATSTILE_"))
    }
    done = subprocess.run(
        [sys.executable, "-m", "wheatstile", *arguments],
        env=environ | {"PYTHONPATH": str(ROOT)} | variables,
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert "Traceback" not in done.stderr
    return done.returncode, done.stdout, done.stderr


def test_a_file_is_published_compared_accepted_and_explained() -> None:
    assert run("servers", "publish", "new.json", "live.json")[0] == 0
    status, out, _ = run("servers", "check", "live.json", "--file", "op.json")
    assert status == 0 and "sealed" in out and "3 of 3 servers ready" in out
    status, _, errors = run("servers", "publish", "few.json", "live.json")
    assert status == 1 and "takes 2 of 3 ready servers away" in errors
    status, out, _ = run("servers", "diff", "live.json", "few.json", "--json")
    assert [one["change"] for one in json.loads(out)["servers"]] == ["removed", "removed"]
    assert "link-2    removed" in run("servers", "diff", "live.json", "few.json")[1]
    status, out, _ = run("servers", "publish", "few.json", "live.json", "--accept", "--bump")
    assert status == 0 and "generation 2" in out
    accepted = json.loads(Path("live.json.accept").read_text())["digest"]
    assert accepted == json.loads(Path("live.json").read_text())["seal"]
    assert run("servers", "publish", "new.json", "live.json")[0] == 1  # its generation goes back
    assert run("servers", "seal", "new.json")[0] == 0
    assert run("servers", "accept", "new.json")[0] == 0
    told = {"id": "link-1", "host_port": "127.0.0.1:9001", "locality": "home", "phase": "draining"}
    Path("told.json").write_text(json.dumps({"revision": 1, "complete": True, "members": [told]}))
    explained = ("servers", "explain", "new.json", "--discovery", "told.json")
    assert "discovery holds: discovery answers" in run(*explained)[1]
    status, out, _ = run(*explained, "--silent-s", "11")
    assert status == 0 and "file holds: discovery has told nothing for 11.0 s" in out
    assert re.search(r"link-1 .* draining +file; discovery tells it to drain", out)


def test_a_refusal_is_told_on_standard_error_with_every_place() -> None:
    status, out, errors = run("servers", "check", "bad.json")
    assert (status, out) == (1, "")
    assert [line.split(": ")[:2] for line in errors.splitlines()] == [
        ["bad.json:1", "/servers"],
        ["bad.json:2", "/sael"],
    ]
    assert run("servers", "check", "none.json")[2] == "none.json:1: /: No such file or directory\n"
    assert run("servers", "bogus")[0] == run("bogus")[0] == run("check")[0] == 2
    assert run("--version")[0] == run("--help")[0] == run("servers", "publish", "--help")[0] == 0


def test_check_reads_all_that_the_operators_file_names_and_says_what_it_could_not() -> None:
    status, _, errors = run("check", "op.json")
    assert status == 1 and "op.json:1: /servers/file: there is no" in errors
    assert run("servers", "publish", "new.json", "live.json")[0] == 0
    status, out, _ = run("check", "op.json")
    assert status == 0 and "not checked: against the platform's settings" in out
    config = ROOT / "example" / "config.json"
    status, _, errors = run("check", "op.json", RELAY_CONFIG=str(config))
    assert status == 1 and "takes 2 of 2 ready servers away" in errors  # whom the platform knows
    assert run("check", "op.json", "--config", "none.json")[0] == 1
    status, _, errors = run("serve", WHEATSTILE_FILE="bad.json", RELAY_CONFIG=str(config))
    assert status == 1 and "bad.json:2: /sael: unknown key" in errors
    assert run("serve")[0] == run()[0] == 2  # no configuration


SHOP = """openapi: 3.1.0
info: {title: Shop, version: '1'}
paths:
  /orders/{id}:
    parameters: [{name: id, in: path, required: true, schema: {type: string}}]
    get: {x-wheatstile-class: chat, tags: [t], responses: {default: {description: d}}}
  /orders/mine:
    get: {x-wheatstile-class: chat, responses: {default: {description: d}}}
"""


def test_descriptions_are_checked_listed_matched_compared_and_drawn(folder: Path) -> None:
    (folder / "old.yaml").write_text(
        SHOP.replace("tags: [t]", "x-wheatstile-repeat: unsafe").replace("/mine:", "/x:")
    )
    (folder / "new.yaml").write_text(SHOP)
    (folder / "typo.yaml").write_text(SHOP.replace("class: chat, tags", "class: caht, tags"))
    config = ("--config", str(ROOT / "example" / "config.json"))
    status, out, _ = run("descriptions", "check", "new.yaml", *config)
    assert status == 0 and "class chat: safe" in out
    status, _, errors = run("descriptions", "check", "typo.yaml", *config)
    assert (
        status == 1
        and 'typo.yaml:6: /paths/~1orders~1{id}/get/x-wheatstile-class: the class "caht"' in errors
    )
    status, out, _ = run("descriptions", "match", "new.yaml", "GET", "/orders/mine")
    assert [line.split()[:3] for line in out.splitlines()[1:]] == [
        ["takes", "GET", "/orders/mine"], ["beats", "GET", "/orders/{id}"]
    ]  # fmt: skip
    assert run("descriptions", "match", "new.yaml", "GET", "/nowhere")[0] == 1
    assert len(json.loads(run("descriptions", "routes", "new.yaml", "--json")[1])) == 2
    (folder / "op.json").write_text(json.dumps({"descriptions": {"classes": {"chat": {"repeat": "unsafe"}}}}))
    told = ("--file", "op.json", *config)
    status, out, _ = run("descriptions", "diff", "old.yaml", "new.yaml", *told)
    assert status == 3 and "loosens  GET /orders/{id}: becomes repeatable, unsafe -> safe" in out
    status, out, _ = run("descriptions", "diff", "new.yaml", "old.yaml", *told)
    assert (
        status == 0 and "GET /orders/{id}: ceases to be repeatable" in out and "/orders/mine: removed" in out
    )
    assert run("descriptions", "graph", "new.yaml", "--out", "g.svg")[0] == 0
    assert "/orders/{id}" in (folder / "g.svg").read_text()
    (folder / "op.json").write_text(json.dumps({"descriptions": {"paths": ["typo.yaml"]}}))
    assert run("check", "op.json", *config)[0] == 1


def test_what_is_switched_off_is_not_imported() -> None:
    code = "import sys, wheatstile.process.main; print(*sys.modules)"
    done = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True)
    loaded = {name.partition(".")[0] for name in done.stdout.split()} | set(done.stdout.split())
    assert not loaded & {
        "click",
        "msgspec",
        "netaddr",
        "watchfiles",
        "xxhash",
        "rfc8785",
        "wheatstile.resolvers",
    }


def test_the_events_that_are_logged_are_those_that_are_listed() -> None:
    logged = set()
    for path in (ROOT / "wheatstile").rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.Call) and isinstance(node.func, ast.Attribute) and node.args:
                if isinstance(node.func.value, ast.Name) and node.func.value.id == "log":
                    logged.add(
                        ast.literal_eval(node.args[0]) if isinstance(node.args[0], ast.Constant) else ""
                    )
                elif node.func.attr == "_trouble":
                    logged.add(ast.literal_eval(node.args[0]))
    page = (ROOT / "docs" / "operators" / "logs.md").read_text()
    assert logged - {""} == set(re.findall(r"^\| `([^`]+)` \|", page, re.MULTILINE))
