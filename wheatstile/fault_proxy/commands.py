"""The command language of the fault proxy: one command a line.

Names are the ends of the routes; `*` stands for every name:

    cut A B                    bytes from A to B wait, as a lost route holds a TCP stream; one way
    isolate A                  the same both ways, with everyone
    delay A B SECONDS [JITTER] bytes arrive later, by up to JITTER more, in their order
    rate A B BYTES             so many bytes a second pass at most
    lose A B SHARE             that share of the frames is left out (a route of frames only)
    repeat A B SHARE           that share of the frames comes twice (a route of frames only)
    reset A B                  connections between the two end with RST, now
    heal [A B]                 all of this is over (for A to B alone)

A script has a command a line behind `at SECONDS`; `#` begins a comment.
"""

from __future__ import annotations

import enum
from collections.abc import Sequence
from dataclasses import dataclass

from wheatstile.fault_proxy.errors import CommandError, FaultProxyError, ScriptError

MAX_DELAY_S = 30.0
"""The longest delay, and the longest jitter; a longer one is a mistake and is rejected."""
MAX_RATE_BYTES_PER_S = 1e10
MIN_RATE_BYTES_PER_S = 1.0
MAX_SCRIPT_TIME_S = 86_400.0
"""The latest time of a command in a script, from the start of the proxy."""

ANY_NAME = "*"
SCRIPT_TIME_KEYWORD = "at"
COMMENT_MARK = "#"


class CommandName(enum.StrEnum):
    """The first word of a command; the values are the words as they are written and logged."""

    CUT = "cut"
    ISOLATE = "isolate"
    DELAY = "delay"
    RATE = "rate"
    LOSE = "lose"
    REPEAT = "repeat"
    RESET = "reset"
    HEAL = "heal"


FRAME_COMMANDS = frozenset({CommandName.LOSE, CommandName.REPEAT})
"""Commands that make sense only where the streams consist of frames."""


@dataclass(frozen=True, slots=True)
class Command:
    """A parsed command. `values` are its numbers in the order of the line; a name left out is `*`."""

    name: CommandName
    source: str = ANY_NAME
    destination: str = ANY_NAME
    values: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class ScheduledCommand:
    """A command of a script, `at_s` seconds after the start of the proxy."""

    at_s: float
    command: Command


@dataclass(frozen=True, slots=True)
class NumberRange:
    """The numbers from `lowest` to `highest`, both included."""

    lowest: float
    highest: float

    def __contains__(self, value: float) -> bool:
        """Whether `value` lies in the range; NaN does not."""
        return self.lowest <= value <= self.highest

    def __str__(self) -> str:
        """Return the range as error messages give it."""
        return f"{self.lowest:g} to {self.highest:g}"


@dataclass(frozen=True, slots=True)
class Arguments:
    """What follows a command's name: so many names, then a number in each range.

    The last `optional_numbers` numbers may be left out.
    """

    names: int
    numbers: tuple[NumberRange, ...] = ()
    optional_numbers: int = 0

    @property
    def max_count(self) -> int:
        """How many arguments there may be."""
        return self.names + len(self.numbers)

    @property
    def min_count(self) -> int:
        """How many arguments there must be."""
        return self.max_count - self.optional_numbers


DELAY_RANGE_S = NumberRange(0.0, MAX_DELAY_S)
RATE_RANGE_BYTES_PER_S = NumberRange(MIN_RATE_BYTES_PER_S, MAX_RATE_BYTES_PER_S)
SHARE_RANGE = NumberRange(0.0, 1.0)

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
    """Parse one command. Raises CommandError, which names the word at fault by its position from 1."""
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
    first_position = grammar.names + 2  # the command's name is word 1
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
    """Parse a script into its commands in the order of time. Raises ScriptError with every line at fault."""
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
    at_s = _parse_script_time(tokens)
    if not 0 <= at_s <= MAX_SCRIPT_TIME_S:
        raise CommandError(f"`at SECONDS` wanted first, of 0 to {MAX_SCRIPT_TIME_S:g}")
    return ScheduledCommand(at_s, parse_command(" ".join(tokens[2:])))


def _parse_script_time(tokens: Sequence[str]) -> float:
    """Return the seconds behind `at`; -1 where the line does not begin with it."""
    if tokens[0] != SCRIPT_TIME_KEYWORD or len(tokens) < 2:  # noqa: PLR2004
        return -1.0
    try:
        return float(tokens[1])
    except ValueError as error:
        raise CommandError(str(error)) from None
