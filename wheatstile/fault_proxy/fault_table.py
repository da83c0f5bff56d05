"""The faults in force, changed by commands, and what they come to for one direction of a link."""

from __future__ import annotations

from dataclasses import dataclass, field

from wheatstile.fault_proxy.commands import ANY_NAME, Command, CommandName


@dataclass(frozen=True, slots=True)
class LinkConditions:
    """What happens now to the bytes from one process to another.

    A rate of 0 is no limit. The ratios are those of frames that are lost and of frames that come twice.
    """

    blocked: bool = False
    delay_s: float = 0.0
    jitter_s: float = 0.0
    rate_bytes_per_s: float = 0.0
    loss_ratio: float = 0.0
    duplication_ratio: float = 0.0


@dataclass(frozen=True, slots=True)
class LinkPattern:
    """The links from `source` to `destination`, where `*` stands for every name."""

    source: str
    destination: str

    def matches(self, source: str, destination: str) -> bool:
        """Whether the link from `source` to `destination`, in this direction, is one of these."""
        return self.source in (ANY_NAME, source) and self.destination in (ANY_NAME, destination)

    def matches_either_way(self, source: str, destination: str) -> bool:
        """Whether a connection between the two is on one of these links."""
        return self.matches(source, destination) or self.matches(destination, source)


EVERY_LINK = LinkPattern(ANY_NAME, ANY_NAME)


@dataclass
class FaultTable:
    """The faults in force, by kind and links; a later command of the same kind and links replaces one."""

    _faults: dict[tuple[CommandName, LinkPattern], tuple[float, ...]] = field(default_factory=dict)

    def apply(self, command: Command) -> LinkPattern | None:
        """Change the faults as `command` says; the links whose connections are to be reset now, if any."""
        pattern = LinkPattern(command.source, command.destination)
        match command.name:
            case CommandName.HEAL:
                self._heal(pattern)
            case CommandName.ISOLATE:
                self._faults[CommandName.CUT, LinkPattern(command.source, ANY_NAME)] = ()
                self._faults[CommandName.CUT, LinkPattern(ANY_NAME, command.source)] = ()
            case CommandName.RESET:
                return pattern
            case _:
                self._faults[command.name, pattern] = command.values
        return None

    def _heal(self, healed: LinkPattern) -> None:
        if healed == EVERY_LINK:
            self._faults.clear()
            return
        for name, pattern in list(self._faults):
            if pattern == healed:
                del self._faults[name, pattern]

    def conditions(self, source: str, destination: str) -> LinkConditions:
        """Return the conditions from `source` to `destination`; the worst of the matching faults counts."""
        delays = self._matching(CommandName.DELAY, source, destination)
        rates = self._matching(CommandName.RATE, source, destination)
        losses = self._matching(CommandName.LOSE, source, destination)
        duplications = self._matching(CommandName.REPEAT, source, destination)
        # The longest delay counts together with its own jitter, which may be left out.
        delay_s, jitter_s = max(((*values, 0.0)[:2] for values in delays), default=(0.0, 0.0))
        return LinkConditions(
            blocked=bool(self._matching(CommandName.CUT, source, destination)),
            delay_s=delay_s,
            jitter_s=jitter_s,
            rate_bytes_per_s=min((rate for (rate,) in rates), default=0.0),
            loss_ratio=max((ratio for (ratio,) in losses), default=0.0),
            duplication_ratio=max((ratio for (ratio,) in duplications), default=0.0),
        )

    def _matching(self, wanted: CommandName, source: str, destination: str) -> list[tuple[float, ...]]:
        return [
            values
            for (name, pattern), values in self._faults.items()
            if name is wanted and pattern.matches(source, destination)
        ]
