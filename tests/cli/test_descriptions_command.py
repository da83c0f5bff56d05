"""`wheatstile descriptions` as a process: descriptions are checked, matched, listed, compared and drawn."""

from __future__ import annotations

import json
from pathlib import Path

import pytest
from support.command_line import EXAMPLE_CONFIG, run_command

pytestmark = pytest.mark.usefixtures("working_directory")

SHOP = """openapi: 3.1.0
info: {title: Shop, version: '1'}
paths:
  /orders/{id}:
    parameters: [{name: id, in: path, required: true, schema: {type: string}}]
    get: {x-wheatstile-class: chat, tags: [t], responses: {default: {description: d}}}
  /orders/mine:
    get: {x-wheatstile-class: chat, responses: {default: {description: d}}}
"""
CONFIG = ("--config", str(EXAMPLE_CONFIG))


@pytest.fixture(autouse=True)
def descriptions(working_directory: Path) -> None:
    """Write three descriptions.

    Compared with `new.yaml`, `old.yaml` declares one operation unsafe and renames a path. `typo.yaml` names
    an unknown class.
    """
    old = SHOP.replace("tags: [t]", "x-wheatstile-repeat: unsafe").replace("/mine:", "/x:")
    (working_directory / "old.yaml").write_text(old)
    (working_directory / "new.yaml").write_text(SHOP)
    (working_directory / "typo.yaml").write_text(SHOP.replace("class: chat, tags", "class: caht, tags"))


def test_check_reports_the_idempotency_of_each_class() -> None:
    result = run_command("descriptions", "check", "new.yaml", *CONFIG)
    assert result.status == 0
    assert "class chat: safe" in result.output


def test_check_rejects_a_class_that_the_platform_does_not_have() -> None:
    result = run_command("descriptions", "check", "typo.yaml", *CONFIG)
    assert result.status == 1
    assert 'typo.yaml:6: /paths/~1orders~1{id}/get/x-wheatstile-class: the class "caht"' in result.errors


def test_match_lists_the_matching_route_before_less_specific_ones() -> None:
    result = run_command("descriptions", "match", "new.yaml", "GET", "/orders/mine")
    assert [line.split()[:3] for line in result.output.splitlines()[1:]] == [
        ["takes", "GET", "/orders/mine"],
        ["beats", "GET", "/orders/{id}"],
    ]


def test_match_of_a_path_without_a_route_is_rejected() -> None:
    assert run_command("descriptions", "match", "new.yaml", "GET", "/nowhere").status == 1


def test_routes_lists_every_route_as_json() -> None:
    result = run_command("descriptions", "routes", "new.yaml", "--json")
    assert len(json.loads(result.output)) == 2


@pytest.fixture
def override(working_directory: Path) -> tuple[str, ...]:
    """Write an operator's file that declares the class unsafe. Return the options to pass to a command."""
    section = {"classes": {"chat": {"repeat": "unsafe"}}}
    (working_directory / "op.json").write_text(json.dumps({"descriptions": section}))
    return ("--file", "op.json", *CONFIG)


def test_diff_that_allows_more_retries_has_exit_status_3(override: tuple[str, ...]) -> None:
    result = run_command("descriptions", "diff", "old.yaml", "new.yaml", *override)
    assert result.status == 3
    assert "loosens  GET /orders/{id}: becomes repeatable, unsafe -> safe" in result.output


def test_diff_that_allows_fewer_retries_succeeds(override: tuple[str, ...]) -> None:
    result = run_command("descriptions", "diff", "new.yaml", "old.yaml", *override)
    assert result.status == 0
    assert "GET /orders/{id}: is no longer repeatable" in result.output
    assert "/orders/mine: removed" in result.output


def test_graph_draws_every_route(working_directory: Path) -> None:
    assert run_command("descriptions", "graph", "new.yaml", "--out", "g.svg").status == 0
    assert "/orders/{id}" in (working_directory / "g.svg").read_text()


def test_check_rejects_an_operator_file_with_an_invalid_description(working_directory: Path) -> None:
    (working_directory / "op.json").write_text(json.dumps({"descriptions": {"paths": ["typo.yaml"]}}))
    assert run_command("check", "op.json", *CONFIG).status == 1
