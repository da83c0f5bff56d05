"""What the link does to the bytes from one process to another: a pure table, changed by commands.

One command a line; names are the routes' ends, `*` stands for every name:

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

from dataclasses import dataclass, field

MAX_DELAY = 30.0
"""Seconds of delay, and of jitter, at most; more is refused, as who asks it has gone wrong."""
MAX_RATE = 1e10
LEAST_RATE = 1.0
"""Bytes a second."""
MAX_AT = 86_400.0
"""Seconds into a script."""


class BadCommand(ValueError):
    """A command that cannot be obeyed; the message says which word, or which line, and why."""


@dataclass(frozen=True, slots=True)
class Verdict:
    """For bytes that are there now. `rate` 0: no limit."""

    held: bool = False
    delay: float = 0.0
    jitter: float = 0.0
    rate: float = 0.0
    lose: float = 0.0
    repeat: float = 0.0


@dataclass(frozen=True, slots=True)
class Command:
    word: str
    src: str = "*"
    dst: str = "*"
    values: tuple[float, ...] = ()


# word -> how many names, the numbers' bounds, how many of the numbers may be left out
WORDS: dict[str, tuple[int, tuple[tuple[float, float], ...], int]] = {
    "cut": (2, (), 0), "isolate": (1, (), 0), "reset": (2, (), 0), "heal": (2, (), 0),
    "delay": (2, ((0.0, MAX_DELAY), (0.0, MAX_DELAY)), 1), "rate": (2, ((LEAST_RATE, MAX_RATE),), 0),
    "lose": (2, ((0.0, 1.0),), 0), "repeat": (2, ((0.0, 1.0),), 0),
}


def parse(line: str) -> Command:
    """`line` as a Command; raises BadCommand with the offending word."""
    words = line.split()
    if not words:
        raise BadCommand("an empty command")
    word, args = words[0], words[1:]
    if word not in WORDS:
        raise BadCommand(f"word 1: {word!r} is not one of {', '.join(sorted(WORDS))}")
    if word == "heal" and not args:
        return Command(word)
    names, bounds, spare = WORDS[word]
    most = names + len(bounds)
    if not most - spare <= len(args) <= most:
        wanted = str(most) if not spare else f"{most - spare} or {most}"
        raise BadCommand(f"{word} takes {wanted} arguments, not {len(args)}")
    values = []
    for position, (text, (low, high)) in enumerate(zip(args[names:], bounds, strict=False), names + 2):
        try:
            value = float(text)
        except ValueError:
            raise BadCommand(f"word {position}: {text!r} is not a number") from None
        if not low <= value <= high:
            raise BadCommand(f"word {position}: {value:g} lies outside {low:g} to {high:g}")
        values.append(value)
    return Command(word, args[0], args[1] if names == 2 else "*", tuple(values))


def script(text: str) -> list[tuple[float, Command]]:
    """The commands with their seconds, in the order of time. Raises BadCommand with every line at fault."""
    found, faults = [], []
    for number, line in enumerate(text.splitlines(), 1):
        words = line.partition("#")[0].split()
        if not words:
            continue
        try:
            at = float(words[1]) if words[0] == "at" and len(words) > 1 else -1.0
            if not 0 <= at <= MAX_AT:
                raise BadCommand(f"`at SECONDS` wanted first, of 0 to {MAX_AT:g}")
            found.append((at, parse(" ".join(words[2:]))))
        except ValueError as error:
            faults.append(f"line {number}: {error}")
    if faults:
        raise BadCommand("\n".join(faults))
    return sorted(found, key=lambda pair: pair[0])


def _matches(pattern: str, name: str) -> bool:
    return pattern in ("*", name)


@dataclass
class Table:
    """The rules in force: `verdict(src, dst)` says what happens to bytes now."""

    rules: dict[tuple[str, str, str], tuple[float, ...]] = field(default_factory=dict)

    def apply(self, command: Command) -> list[tuple[str, str]]:
        """Obeys `command`; returns the pairs whose connections are to be reset now."""
        word, src, dst = command.word, command.src, command.dst
        if word == "heal":
            self.rules = {key: value for key, value in self.rules.items()
                          if (src, dst) not in (("*", "*"), key[1:])}
        elif word == "isolate":
            self.rules |= {("cut", src, "*"): (), ("cut", "*", src): ()}
        elif word == "reset":
            return [(src, dst)]
        else:
            self.rules[word, src, dst] = command.values
        return []

    def verdict(self, src: str, dst: str) -> Verdict:
        """Of several rules that match, the worst counts."""
        found: dict[str, list[tuple[float, ...]]] = {}
        for (word, a, b), values in self.rules.items():
            if _matches(a, src) and _matches(b, dst):
                found.setdefault(word, []).append(values)
        delay = max(((v[0], v[1] if len(v) > 1 else 0.0) for v in found.get("delay", [])), default=(0.0, 0.0))
        return Verdict("cut" in found, *delay, min((v[0] for v in found.get("rate", [])), default=0.0),
                       *(max((v[0] for v in found.get(w, [])), default=0.0) for w in ("lose", "repeat")))


def resets(pairs: list[tuple[str, str]], src: str, dst: str) -> bool:
    """Whether a connection between `src` and `dst` (either way) is among the pairs to reset."""
    return any((_matches(a, src) and _matches(b, dst)) or (_matches(a, dst) and _matches(b, src))
               for a, b in pairs)


@dataclass
class Cutter:
    """Cuts a stream into what is lost or repeated as one: frames behind a 4-byte big-endian length."""

    most: int = 32 * 1024 * 1024
    rest: bytearray = field(default_factory=bytearray)

    def feed(self, data: bytes) -> list[bytes]:
        """The frames that are whole now, with their lengths. Raises ValueError for one that is too large."""
        self.rest += data
        frames = []
        while len(self.rest) >= 4:
            end = 4 + int.from_bytes(self.rest[:4], "big")
            if end > self.most:
                raise ValueError(f"a frame of {end} bytes, {self.most} at most")
            if len(self.rest) < end:
                break
            frames.append(bytes(self.rest[:end]))
            del self.rest[:end]
        return frames
