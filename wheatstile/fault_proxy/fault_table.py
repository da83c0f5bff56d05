"""The active faults, and the conditions that result from them for one direction of a link."""

from __future__ import annotations

from dataclasses import dataclass

from wheatstile.fault_proxy.commands import ANY_NAME, Command, CommandName


@dataclass(frozen=True, slots=True)
class LinkConditions:
    """The conditions for the bytes from one process to another."""

    blocked: bool = False
    delay_s: float = 0.0
    jitter_s: float = 0.0  # maximum of the random addition to the delay
    rate_bytes_per_s: float = 0.0  # 0: no limit
    loss_ratio: float = 0.0  # share of the frames that are dropped
    duplication_ratio: float = 0.0  # share of the frames that are delivered twice


@dataclass(frozen=True, slots=True)
class LinkPattern:
    """The links from `source` to `destination`. Either name may be ANY_NAME."""

    source: str
    destination: str

    def matches(self, source: str, destination: str) -> bool:
        """Return whether the link from `source` to `destination`, in this direction, matches."""
        return self.source in (ANY_NAME, source) and self.destination in (ANY_NAME, destination)

    def matches_either_direction(self, source: str, destination: str) -> bool:
        """Return whether the link between the two processes matches in either direction."""
        return self.matches(source, destination) or self.matches(destination, source)


EVERY_LINK = LinkPattern(ANY_NAME, ANY_NAME)


@dataclass(frozen=True, slots=True)
class FaultKey:
    """The key of a fault in the table. A later command with the same key replaces the fault."""

    command: CommandName
    links: LinkPattern


class FaultTable:
    """The active faults, as set and removed by commands."""

    def __init__(self) -> None:
        self._values: dict[FaultKey, tuple[float, ...]] = {}

    def apply(self, command: Command) -> LinkPattern | None:
        """Apply a command. Return the links whose connections have to be reset, or None."""
        pattern = LinkPattern(command.source, command.destination)
        match command.name:
            case CommandName.HEAL:
                self._heal(pattern)
            case CommandName.ISOLATE:
                self._values[FaultKey(CommandName.CUT, LinkPattern(command.source, ANY_NAME))] = ()
                self._values[FaultKey(CommandName.CUT, LinkPattern(ANY_NAME, command.source))] = ()
            case CommandName.RESET:
                return pattern
            case _:
                self._values[FaultKey(command.name, pattern)] = command.values
        return None

    def _heal(self, pattern: LinkPattern) -> None:
        if pattern == EVERY_LINK:
            self._values.clear()
            return
        for key in list(self._values):
            if key.links == pattern:
                del self._values[key]

    def conditions(self, source: str, destination: str) -> LinkConditions:
        """Return the conditions from `source` to `destination`: the worst matching fault of each kind."""
        delays = self._matching_values(CommandName.DELAY, source, destination)
        rates = self._matching_values(CommandName.RATE, source, destination)
        losses = self._matching_values(CommandName.LOSE, source, destination)
        duplications = self._matching_values(CommandName.REPEAT, source, destination)
        delay_s, jitter_s = max(map(_delay_and_jitter, delays), default=(0.0, 0.0))
        return LinkConditions(
            blocked=bool(self._matching_values(CommandName.CUT, source, destination)),
            delay_s=delay_s,
            jitter_s=jitter_s,
            rate_bytes_per_s=min((rate for (rate,) in rates), default=0.0),
            loss_ratio=max((ratio for (ratio,) in losses), default=0.0),
            duplication_ratio=max((ratio for (ratio,) in duplications), default=0.0),
        )

    def _matching_values(
        self, command_name: CommandName, source: str, destination: str
    ) -> list[tuple[float, ...]]:
        return [
            values
            for key, values in self._values.items()
            if key.command is command_name and key.links.matches(source, destination)
        ]


def _delay_and_jitter(values: tuple[float, ...]) -> tuple[float, float]:
    """Return the delay and the jitter of a delay command, whose jitter is optional."""
    delay_s = values[0]
    jitter_s = values[1] if len(values) > 1 else 0.0
    return delay_s, jitter_s
