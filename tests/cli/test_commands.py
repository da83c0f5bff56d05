"""The command line: usage errors, aliases, imported modules, and the documented log events."""

import ast
import re
import subprocess
import sys
from collections.abc import Iterator

import pytest
from support.command_line import ROOT, run_command

OPTIONAL_MODULES = {
    "click",
    "msgspec",
    "netaddr",
    "watchfiles",
    "xxhash",
    "rfc8785",
    "wheatstile.resolvers",
}
"""Modules that a balancer without an operator's file must not import."""
LOGGER_NAME = "log"
"""The name of the logger in every module."""
LOG_METHODS = frozenset({"debug", "info", "warning", "error", "exception", "critical", "log"})
LOGGED_EVENT_ROW = re.compile(r"^\| `([^`]+)` \|", re.MULTILINE)


@pytest.mark.parametrize("arguments", [("servers", "bogus"), ("bogus",), ("check",)])
def test_usage_error_has_status_2(arguments: tuple[str, ...]) -> None:
    assert run_command(*arguments).status == 2


@pytest.mark.parametrize("arguments", [("--version",), ("--help",), ("servers", "publish", "--help")])
def test_help_and_version_succeed(arguments: tuple[str, ...]) -> None:
    assert run_command(*arguments).status == 0


@pytest.mark.parametrize("name", ["fault-proxy", "link"])
def test_fault_proxy_has_the_same_exit_statuses_under_both_names(name: str) -> None:
    assert run_command(name, "--help").status == 0
    assert run_command(name).status == 2
    rejected = run_command(name, "no-route")
    assert (rejected.status, rejected.errors) == (1, "route 'no-route': expected SRC:DST:LISTEN:TARGET\n")


def test_fault_proxy_has_the_same_options_under_both_names() -> None:
    current = run_command("fault-proxy", "--help").output
    former = run_command("link", "--help").output
    assert current.partition("fault-proxy")[2] == former.partition("link")[2]


def test_help_lists_the_fault_proxy_under_its_current_name_only() -> None:
    listed = [line.split()[0] for line in run_command("--help").output.splitlines() if line.strip()]
    assert "fault-proxy" in listed
    assert "link" not in listed


def test_modules_of_disabled_subsystems_are_not_imported() -> None:
    code = "import sys, wheatstile.process.main; print(*sys.modules)"

    done = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True)

    modules = set(done.stdout.split())
    packages = {name.partition(".")[0] for name in modules}
    assert not (modules | packages) & OPTIONAL_MODULES


def logged_events() -> Iterator[str]:
    """Yield the name of every event that the program's source logs."""
    for path in (ROOT / "wheatstile").rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.Call) and isinstance(node.func, ast.Attribute) and node.args:
                yield from event_of_call(node, node.func)


def event_of_call(call: ast.Call, function: ast.Attribute) -> Iterator[str]:
    """Yield the event name if this is a call of the logger. The name must be a string constant."""
    is_logger = isinstance(function.value, ast.Name) and function.value.id == LOGGER_NAME
    if is_logger and function.attr in LOG_METHODS:
        event = ast.literal_eval(call.args[0])
        assert isinstance(event, str), ast.unparse(call)
        yield event


def test_documentation_lists_exactly_the_events_that_are_logged() -> None:
    page = (ROOT / "docs" / "operators" / "logs.md").read_text()
    assert set(logged_events()) == set(LOGGED_EVENT_ROW.findall(page))
