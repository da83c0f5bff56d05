"""Parser of the commands of the fault proxy: one command in each line.

A and B are names of processes, as in the routes. `*` stands for all names.

    cut A B                    block the bytes from A to B, in this direction only, until they are healed
    isolate A                  block all bytes from and to A
    delay A B SECONDS [JITTER] delay the bytes from A to B, by up to JITTER seconds more; the order is kept
    rate A B BYTES             limit the rate from A to B to BYTES per second
    lose A B SHARE             drop this share of the frames (requires --frames)
    repeat A B SHARE           deliver this share of the frames twice (requires --frames)
    reset A B                  close the connections between A and B with RST
    heal [A B]                 remove all faults, or those that were set for A B

A line of a script is a command after `at SECONDS`. `#` begins a comment.
"""

from __future__ import annotations

import enum
from collections.abc import Sequence
from dataclasses import dataclass

from wheatstile.fault_proxy.errors import CommandError, FaultProxyError, ScriptError

MAX_DELAY_S = 30.0
"""Upper bound for a delay and for its jitter."""
MAX_RATE_BYTES_PER_S = 1e10
MIN_RATE_BYTES_PER_S = 1.0
MAX_SCRIPT_TIME_S = 86_400.0
"""Upper bound for the time of a command in a script."""

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
"""Commands that are valid only if the proxy splits the streams into frames."""


@dataclass(frozen=True, slots=True)
class Command:
    """A parsed command.

    `values` are its numbers in the order of the line. A name that is not given is ANY_NAME.
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
    """The numbers from `lowest` to `highest`, including both."""

    lowest: float
    highest: float

    def __contains__(self, value: float) -> bool:
        """Return whether `value` lies in the range. NaN does not."""
        return self.lowest <= value <= self.highest

    def __str__(self) -> str:
        """Return the range as text for error messages."""
        return f"{self.lowest:g} to {self.highest:g}"


@dataclass(frozen=True, slots=True)
class Arguments:
    """The arguments of a command: `names` names, then one number in each of the ranges.

    The last `optional_numbers` numbers are optional.
    """

    names: int
    numbers: tuple[NumberRange, ...] = ()
    optional_numbers: int = 0

    @property
    def max_count(self) -> int:
        """Return the maximum number of arguments."""
        return self.names + len(self.numbers)

    @property
    def min_count(self) -> int:
        """Return the minimum number of arguments."""
        return self.max_count - self.optional_numbers


DELAY_RANGE_S = NumberRange(0.0, MAX_DELAY_S)
RATE_RANGE_BYTES_PER_S = NumberRange(MIN_RATE_BYTES_PER_S, MAX_RATE_BYTES_PER_S)
SHARE_RANGE = NumberRange(0.0, 1.0)
SCRIPT_TIME_RANGE_S = NumberRange(0.0, MAX_SCRIPT_TIME_S)

GRAMMAR = {
    CommandName.CUT: Arguments(names=2),
    CommandName.ISOLATE: Arguments(names=1),
    CommandName.RESET: Arguments(names=2),
    CommandName.HEAL: Arguments(names=2),
    CommandName.DELAY: Arguments(names=2, numbers=(DELAY_RANGE_S, DELAY_RANGE_S), optional_numbers=1),
    CommandName.RATE: Arguments(names=2, numbers=(RATE_RANGE_BYTES_PER_S,)),
    CommandName.LOSE: Arguments(names=2, numbers=(SHARE_RANGE,)),
    CommandName.REPEAT: Arguments(names=2, numbers=(SHARE_RANGE,)),
}


def parse_command(line: str) -> Command:
    """Parse one command. Raises CommandError, which names the invalid word by its position, from 1."""
    if not line.split():
        raise CommandError("an empty command")
    first, *arguments = line.split()
    name = _parse_name(first)
    if name is CommandName.HEAL and not arguments:
        return Command(name)
    grammar = GRAMMAR[name]
    _check_argument_count(name, grammar, len(arguments))
    names = arguments[: grammar.names]
    values = _parse_numbers(arguments[grammar.names :], grammar)
    destination = names[1] if grammar.names > 1 else ANY_NAME
    return Command(name, names[0], destination, values)


def _parse_name(text: str) -> CommandName:
    try:
        return CommandName(text)
    except ValueError:
        raise CommandError(f"word 1: {text!r} is not one of {', '.join(sorted(CommandName))}") from None


def _check_argument_count(name: CommandName, grammar: Arguments, count: int) -> None:
    if grammar.min_count <= count <= grammar.max_count:
        return
    expected = str(grammar.max_count)
    if grammar.optional_numbers:
        expected = f"{grammar.min_count} or {grammar.max_count}"
    raise CommandError(f"{name} takes {expected} arguments, not {count}")


def _parse_numbers(texts: Sequence[str], grammar: Arguments) -> tuple[float, ...]:
    values = []
    first_position = 2 + grammar.names  # word 1 is the command's name, then the process names follow
    for position, (text, allowed) in enumerate(zip(texts, grammar.numbers, strict=False), first_position):
        try:
            value = float(text)
        except ValueError:
            raise CommandError(f"word {position}: {text!r} is not a number") from None
        if value not in allowed:
            raise CommandError(f"word {position}: {value:g} lies outside {allowed}")
        values.append(value)
    return tuple(values)


def parse_script(text: str) -> list[ScheduledCommand]:
    """Parse a script, and return its commands sorted by time. Raises ScriptError with every invalid line."""
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
    return ScheduledCommand(_parse_script_time(time_text), parse_command(" ".join(command)))


def _parse_script_time(text: str) -> float:
    try:
        at_s = float(text)
    except ValueError:
        raise CommandError(f"time {text!r} is not a number") from None
    if at_s not in SCRIPT_TIME_RANGE_S:
        raise CommandError(f"time {at_s:g} lies outside {SCRIPT_TIME_RANGE_S}")
    return at_s
