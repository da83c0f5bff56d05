"""The parser of commands and scripts: errors give the position of an invalid word, or all invalid lines."""

from __future__ import annotations

import pytest

from wheatstile.fault_proxy.commands import (
    Command,
    CommandName,
    ScheduledCommand,
    parse_command,
    parse_script,
)
from wheatstile.fault_proxy.errors import CommandError, ScriptError


@pytest.mark.parametrize(
    ("line", "reason"),
    [
        ("drop a b", "word 1: 'drop'"),
        ("cut a", "cut takes 2 arguments, not 1"),
        ("delay a b 31", "word 4: 31 lies"),
        ("delay a b 1 x", "word 5: 'x' is not a number"),
        ("lose a b nan", "word 4: nan lies"),
        ("", "an empty"),
        ("delay a b", "delay takes 3 or 4 arguments, not 2"),
        ("rate a b 0", "word 4: 0 lies outside 1 to 1e"),
    ],
)
def test_invalid_command_is_rejected_with_the_reason(line: str, reason: str) -> None:
    with pytest.raises(CommandError, match=f"^{reason}"):
        parse_command(line)


def test_commands_of_a_script_are_sorted_by_time() -> None:
    assert parse_script("# a comment\nat 2 heal\n\nat 0.5 cut a b  # one way\n") == [
        ScheduledCommand(0.5, Command(CommandName.CUT, "a", "b")),
        ScheduledCommand(2.0, Command(CommandName.HEAL)),
    ]


def test_invalid_script_is_rejected_with_every_invalid_line() -> None:
    with pytest.raises(ScriptError) as rejection:
        parse_script("cut a b\nat 1 cut\nat x heal\nat -1 heal\nat")
    lines = str(rejection.value).splitlines()
    assert lines == [
        "line 1: the line must begin with `at SECONDS`",
        "line 2: cut takes 2 arguments, not 0",
        "line 3: time: 'x' is not a number",
        "line 4: time: -1 lies outside 0 to 86400",
        "line 5: the line must begin with `at SECONDS`",
    ]
    assert rejection.value.violations == lines
