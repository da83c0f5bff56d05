"""`wheatstile check` and `serve` as processes: the operator's file is checked before the balancer serves."""

from __future__ import annotations

import pytest
from support.command_line import EXAMPLE_CONFIG, run_command

pytestmark = pytest.mark.usefixtures("working_directory")


def test_check_rejects_an_operator_file_that_names_a_missing_file() -> None:
    result = run_command("check", "op.json")
    assert result.status == 1
    assert "op.json:1: /servers/file: file not found: " in result.errors


@pytest.mark.usefixtures("live_file")
def test_check_without_a_platform_configuration_lists_the_skipped_check() -> None:
    result = run_command("check", "op.json")
    assert result.status == 0
    assert "not checked: consistency with the platform's settings" in result.output


@pytest.mark.usefixtures("live_file")
def test_check_rejects_an_endpoint_file_that_removes_too_many_of_the_platforms_servers() -> None:
    result = run_command("check", "op.json", RELAY_CONFIG=str(EXAMPLE_CONFIG))
    assert result.status == 1
    assert "removes 2 of 2 ready servers" in result.errors


@pytest.mark.usefixtures("live_file")
def test_check_rejects_a_missing_platform_configuration() -> None:
    assert run_command("check", "op.json", "--config", "none.json").status == 1


def test_serve_rejects_an_invalid_operator_file() -> None:
    result = run_command("serve", WHEATSTILE_FILE="bad.json", RELAY_CONFIG=str(EXAMPLE_CONFIG))
    assert result.status == 1
    assert "bad.json:2: /sael: unknown key" in result.errors


@pytest.mark.parametrize("arguments", [("serve",), ()])
def test_serve_without_a_configuration_is_a_usage_error(arguments: tuple[str, ...]) -> None:
    assert run_command(*arguments).status == 2
