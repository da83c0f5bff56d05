"""What the link does to the bytes from one process to another: a pure table, changed by commands.

A command is one line: `cut A B` (one way: bytes from A to B are held, as a lost route holds a TCP
stream), `isolate A` (both ways, with everyone), `delay A B SECONDS`, `reset A B` (both ways:
connections are closed with RST), `heal` (everything passes again). Names are the routes' ends; `*`
stands for every name.
"""

from __future__ import annotations

from dataclasses import dataclass, field

MAX_DELAY = 30.0
"""Seconds of delay at most; more is refused, as a test that asks it has gone wrong."""


class BadCommand(ValueError):
    """A command that cannot be obeyed; the message says which word and why."""


@dataclass(frozen=True, slots=True)
class Verdict:
    held: bool = False
    delay: float = 0.0


@dataclass(frozen=True, slots=True)
class Command:
    word: str
    src: str = "*"
    dst: str = "*"
    seconds: float = 0.0


WORDS = {"cut": 2, "isolate": 1, "delay": 3, "reset": 2, "heal": 0}


def parse(line: str) -> Command:
    """`line` as a Command; raises BadCommand with the offending word."""
    words = line.split()
    if not words:
        raise BadCommand("an empty command")
    word, args = words[0], words[1:]
    if word not in WORDS:
        raise BadCommand(f"word 1: {word!r} is not one of {', '.join(sorted(WORDS))}")
    if len(args) != WORDS[word]:
        raise BadCommand(f"{word} takes {WORDS[word]} arguments, not {len(args)}")
    if word == "delay":
        try:
            seconds = float(args[2])
        except ValueError:
            raise BadCommand(f"word 4: {args[2]!r} is not a number of seconds") from None
        if not 0 <= seconds <= MAX_DELAY:
            raise BadCommand(f"word 4: {seconds} s lies outside 0 to {MAX_DELAY}")
        return Command(word, args[0], args[1], seconds)
    if word == "isolate":
        return Command(word, args[0])
    if word == "heal":
        return Command(word)
    return Command(word, args[0], args[1])


def _matches(pattern: str, name: str) -> bool:
    return pattern in ("*", name)


@dataclass
class Table:
    """The rules in force. `verdict(src, dst)` says what happens to bytes now; `resets` who must be reset."""

    cuts: set[tuple[str, str]] = field(default_factory=set)
    isolated: set[str] = field(default_factory=set)
    delays: dict[tuple[str, str], float] = field(default_factory=dict)

    def apply(self, command: Command) -> list[tuple[str, str]]:
        """Obeys `command`; returns the pairs whose connections are to be reset now."""
        if command.word == "heal":
            self.cuts.clear()
            self.isolated.clear()
            self.delays.clear()
        elif command.word == "cut":
            self.cuts.add((command.src, command.dst))
        elif command.word == "isolate":
            self.isolated.add(command.src)
        elif command.word == "delay":
            self.delays[(command.src, command.dst)] = command.seconds
        elif command.word == "reset":
            return [(command.src, command.dst)]
        return []

    def verdict(self, src: str, dst: str) -> Verdict:
        held = src in self.isolated or dst in self.isolated or any(
            _matches(a, src) and _matches(b, dst) for a, b in self.cuts)
        found = [s for (a, b), s in self.delays.items() if _matches(a, src) and _matches(b, dst)]
        delay = max(found, default=0.0)
        return Verdict(held, delay)


def resets(pairs: list[tuple[str, str]], src: str, dst: str) -> bool:
    """Whether a connection between `src` and `dst` (either way) is among the pairs to reset."""
    return any((_matches(a, src) and _matches(b, dst)) or (_matches(a, dst) and _matches(b, src))
               for a, b in pairs)
