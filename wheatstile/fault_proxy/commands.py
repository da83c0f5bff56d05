"""Parses the commands of the fault proxy, one command per line.

A and B are names of processes, as in the routes. `*` matches all names.

    cut A B                    block the bytes from A to B, in this direction only, until `heal`
    isolate A                  block all bytes from and to A
    delay A B SECONDS [JITTER] delay the bytes from A to B by SECONDS plus up to JITTER; keep the order
    rate A B BYTES             limit the rate from A to B to BYTES per second
    lose A B SHARE             drop this share of the frames, from 0 to 1 (requires --frames)
    repeat A B SHARE           deliver this share of the frames twice (requires --frames)
    reset A B                  close the connections between A and B with RST
    heal [A B]                 remove all faults, or only those that were set for exactly A B

A line of a script is `at SECONDS`, counted from the start of the proxy, and a command. `#` begins a comment.
"""

from __future__ import annotations

import enum
from collections.abc import Sequence
from dataclasses import dataclass

from wheatstile.fault_proxy.errors import CommandError, FaultProxyError, ScriptError

MAX_DELAY_S = 30.0
"""Maximum of the delay and of the jitter."""
MAX_RATE_BYTES_PER_S = 1e10
MIN_RATE_BYTES_PER_S = 1.0
MAX_SCRIPT_TIME_S = 86_400.0
"""Maximum time of a command in a script."""

ANY_NAME = "*"
SCRIPT_TIME_KEYWORD = "at"
COMMENT_MARK = "#"


class CommandName(enum.StrEnum):
    """The first word of a command. The values are also logged."""

    CUT = "cut"
    ISOLATE = "isolate"
    DELAY = "delay"
    RATE = "rate"
    LOSE = "lose"
    REPEAT = "repeat"
    RESET = "reset"
    HEAL = "heal"


FRAME_COMMANDS = frozenset({CommandName.LOSE, CommandName.REPEAT})
"""Commands that require the proxy to split streams into frames."""


@dataclass(frozen=True, slots=True)
class Command:
    """A parsed command.

    `values` contains its numbers, in the order of the line. An omitted name is ANY_NAME.
    """

    name: CommandName
    source: str = ANY_NAME
    destination: str = ANY_NAME
    values: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class ScheduledCommand:
    """A command of a script, which is applied `at_s` seconds after the start of the proxy."""

    at_s: float
    command: Command


@dataclass(frozen=True, slots=True)
class NumberRange:
    """The numbers from `lowest` to `highest`, inclusive."""

    lowest: float
    highest: float

    def __contains__(self, value: float) -> bool:
        """Return whether `value` is in the range. NaN is in no range."""
        return self.lowest <= value <= self.highest

    def __str__(self) -> str:
        """Return the range as text for error messages."""
        return f"{self.lowest:g} to {self.highest:g}"


@dataclass(frozen=True, slots=True)
class ArgumentSpec:
    """The arguments of a command: `name_count` process names, then one number in each of `number_ranges`.

    The last `optional_number_count` numbers may be omitted.
    """

    name_count: int
    number_ranges: tuple[NumberRange, ...] = ()
    optional_number_count: int = 0

    @property
    def max_count(self) -> int:
        """Return the maximum number of arguments."""
        return self.name_count + len(self.number_ranges)

    @property
    def min_count(self) -> int:
        """Return the minimum number of arguments."""
        return self.max_count - self.optional_number_count


DELAY_RANGE_S = NumberRange(0.0, MAX_DELAY_S)
RATE_RANGE_BYTES_PER_S = NumberRange(MIN_RATE_BYTES_PER_S, MAX_RATE_BYTES_PER_S)
SHARE_RANGE = NumberRange(0.0, 1.0)
SCRIPT_TIME_RANGE_S = NumberRange(0.0, MAX_SCRIPT_TIME_S)

ARGUMENT_SPECS = {
    CommandName.CUT: ArgumentSpec(name_count=2),
    CommandName.ISOLATE: ArgumentSpec(name_count=1),
    CommandName.RESET: ArgumentSpec(name_count=2),
    CommandName.HEAL: ArgumentSpec(name_count=2),
    CommandName.DELAY: ArgumentSpec(
        name_count=2, number_ranges=(DELAY_RANGE_S, DELAY_RANGE_S), optional_number_count=1
    ),
    CommandName.RATE: ArgumentSpec(name_count=2, number_ranges=(RATE_RANGE_BYTES_PER_S,)),
    CommandName.LOSE: ArgumentSpec(name_count=2, number_ranges=(SHARE_RANGE,)),
    CommandName.REPEAT: ArgumentSpec(name_count=2, number_ranges=(SHARE_RANGE,)),
}


def parse_command(line: str) -> Command:
    """Parse one command. Raises CommandError, which gives the position of the invalid word, from 1."""
    if not line.split():
        raise CommandError("an empty command")
    first, *arguments = line.split()
    name = _parse_name(first)
    if name is CommandName.HEAL and not arguments:
        return Command(name)
    spec = ARGUMENT_SPECS[name]
    _check_argument_count(name, spec, len(arguments))
    names = arguments[: spec.name_count]
    values = _parse_numbers(arguments[spec.name_count :], spec)
    destination = names[1] if spec.name_count > 1 else ANY_NAME
    return Command(name, names[0], destination, values)


def _parse_name(text: str) -> CommandName:
    try:
        return CommandName(text)
    except ValueError:
        raise CommandError(f"word 1: {text!r} is not one of {', '.join(sorted(CommandName))}") from None


def _check_argument_count(name: CommandName, spec: ArgumentSpec, count: int) -> None:
    if spec.min_count <= count <= spec.max_count:
        return
    expected = str(spec.max_count)
    if spec.optional_number_count:
        expected = f"{spec.min_count} or {spec.max_count}"
    raise CommandError(f"{name} takes {expected} arguments, not {count}")


def _parse_numbers(texts: Sequence[str], spec: ArgumentSpec) -> tuple[float, ...]:
    values = []
    first_position = 2 + spec.name_count  # word 1 is the command's name; the process names follow it
    for position, (text, allowed_range) in enumerate(
        zip(texts, spec.number_ranges, strict=False), first_position
    ):
        values.append(_parse_number(text, f"word {position}", allowed_range))
    return tuple(values)


def _parse_number(text: str, location: str, allowed_range: NumberRange) -> float:
    """Parse a number in this range. Raises CommandError, which names the location."""
    try:
        value = float(text)
    except ValueError:
        raise CommandError(f"{location}: {text!r} is not a number") from None
    if value not in allowed_range:
        raise CommandError(f"{location}: {value:g} lies outside {allowed_range}")
    return value


def parse_script(text: str) -> list[ScheduledCommand]:
    """Parse a script, and return its commands by time. Raises ScriptError, which lists every invalid line."""
    scheduled = []
    violations = []
    for number, line in enumerate(text.splitlines(), 1):
        tokens = line.partition(COMMENT_MARK)[0].split()
        if not tokens:
            continue
        try:
            scheduled.append(_parse_script_line(tokens))
        except FaultProxyError as error:
            violations.append(f"line {number}: {error}")
    if violations:
        raise ScriptError(violations)
    return sorted(scheduled, key=lambda entry: entry.at_s)


def _parse_script_line(tokens: Sequence[str]) -> ScheduledCommand:
    keyword, *arguments = tokens
    if keyword != SCRIPT_TIME_KEYWORD or not arguments:
        raise CommandError("the line must begin with `at SECONDS`")
    time_text, *command = arguments
    at_s = _parse_number(time_text, "time", SCRIPT_TIME_RANGE_S)
    return ScheduledCommand(at_s, parse_command(" ".join(command)))
