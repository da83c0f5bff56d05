"""The command line as a whole: usage, what is imported, and the events that are logged."""

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
"""What the process that only serves has no use for."""
LOGGER_NAME = "log"
"""What every module calls its logger."""
LOG_METHODS = frozenset({"debug", "info", "warning", "error", "exception", "critical", "log"})
LOGGED_EVENT_ROW = re.compile(r"^\| `([^`]+)` \|", re.MULTILINE)


@pytest.mark.parametrize("arguments", [("servers", "bogus"), ("bogus",), ("check",)])
def test_wrong_usage_has_status_2(arguments: tuple[str, ...]) -> None:
    assert run_command(*arguments).status == 2


@pytest.mark.parametrize("arguments", [("--version",), ("--help",), ("servers", "publish", "--help")])
def test_help_and_version_succeed(arguments: tuple[str, ...]) -> None:
    assert run_command(*arguments).status == 0


def test_what_is_switched_off_is_not_imported() -> None:
    code = "import sys, wheatstile.process.main; print(*sys.modules)"
    done = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True)
    modules = set(done.stdout.split())
    packages = {name.partition(".")[0] for name in modules}
    assert not (modules | packages) & OPTIONAL_MODULES


def logged_events() -> Iterator[str]:
    """Yield the name of every event that a module of the program logs, as its source says."""
    for path in (ROOT / "wheatstile").rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.Call) and isinstance(node.func, ast.Attribute) and node.args:
                yield from event_of_call(node, node.func)


def event_of_call(call: ast.Call, function: ast.Attribute) -> Iterator[str]:
    """Yield the event that this call logs, if it does; its name has to be a constant."""
    is_logger = isinstance(function.value, ast.Name) and function.value.id == LOGGER_NAME
    if is_logger and function.attr in LOG_METHODS:
        event = ast.literal_eval(call.args[0])
        assert isinstance(event, str), ast.unparse(call)
        yield event


def test_every_logged_event_is_listed_and_every_listed_one_is_logged() -> None:
    page = (ROOT / "docs" / "operators" / "logs.md").read_text()
    assert set(logged_events()) == set(LOGGED_EVENT_ROW.findall(page))
