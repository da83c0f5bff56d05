"""Which list holds, and each server's reason for being in it. Pure: time is handed in, in microseconds.

Discovery and the file both name servers. `choose` says which of them holds, and remembers how discovery has
flapped; `merge` makes the list. Whatever holds, a server that discovery told to be draining or gone gets
nothing new, and a server that leaves because the source changed keeps its connections.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from typing import Literal

from wheatstile import interface as api
from wheatstile.config.endpoints import ResolvedEndpoint
from wheatstile.config.operator import Servers

Source = Literal["discovery", "file", "both"]
SECOND = 1_000_000
MOST_GONE = 50_000  # servers that discovery told to be gone which are remembered; the oldest are forgotten
RETIRED_FOR = 3600 * SECOND  # a server that left with its source stays reachable to what it holds so long
HOLD_MOST = 8  # times hold_down that a flapping discovery is asked at most to answer without a break
FLAPS_WITHIN = 32  # times hold_down for which a loss of discovery counts as flapping


@dataclass(frozen=True, slots=True)
class MergePolicy:
    """The operator's word on which list holds; times in microseconds."""

    mode: Literal["fallback", "override", "merge"]
    after: int  # of silence until the file holds
    hold_down: int  # of steady answers that a discovery which has flapped must show

    @classmethod
    def from_settings(cls, servers: Servers) -> "MergePolicy":
        return cls(servers.mode, int(servers.after_s * 1e6), int(servers.hold_down_s * 1e6))


@dataclass(slots=True)
class DiscoveryState:
    """What discovery has told so far."""

    started: int  # when this balancer began to listen
    entries: dict[str, ResolvedEndpoint]  # ready or draining
    gone: dict[str, None]  # told gone or left out of a whole list, the oldest first
    told_at: int | None = None  # when it last told anything, were it that nothing has changed
    steady_since: int | None = None  # it has answered without a break since

    @classmethod
    def at(cls, now: int) -> "DiscoveryState":
        return cls(now, {}, {})

    def take(
        self, now: int, entries: Mapping[str, ResolvedEndpoint], kind: api.EndpointUpdateKind
    ) -> list[ResolvedEndpoint]:
        """A list ("cached", "full" or "delta"). Returns the servers that it tells to get nothing new."""
        stopped = []
        for name, named in entries.items():
            if named.endpoint.state == api.EndpointState.GONE:
                stopped.append(self._lose(name, named))
                continue
            if named.endpoint.state != api.EndpointState.READY:
                stopped.append(named)
            self.entries[name] = named
            self.gone.pop(name, None)
        if kind is not api.EndpointUpdateKind.DELTA:
            missing = [name for name in self.entries if name not in entries]
            stopped += [self._lose(name, self.entries[name]) for name in missing]
        if kind is not api.EndpointUpdateKind.CACHED:
            self.heard(now)
        return stopped

    def _lose(self, name: str, named: ResolvedEndpoint) -> ResolvedEndpoint:
        self.entries.pop(name, None)
        self.gone[name] = None
        while len(self.gone) > MOST_GONE:
            del self.gone[next(iter(self.gone))]
        return ResolvedEndpoint(replace(named.endpoint, state=api.EndpointState.GONE), None)

    def heard(self, now: int) -> None:
        self.told_at = now
        if self.steady_since is None:
            self.steady_since = now

    def failed(self) -> None:
        self.steady_since = None


@dataclass(frozen=True, slots=True)
class SourceSelection:
    """Which source holds, why, and when to look again though nothing has happened (None: never)."""

    source: Source
    reason: str
    look_at: int | None = None
    losses: tuple[int, ...] = ()  # when the file took over from a silent discovery, of late


def hold_down(losses: int, policy: MergePolicy) -> int:
    """Steady answers asked of discovery: none after one loss, then doubling up to HOLD_MOST hold-downs."""
    return 0 if losses < 2 else min(1 << (losses - 2), HOLD_MOST) * policy.hold_down


def choose(
    now: int, policy: MergePolicy, discovery: DiscoveryState, has_file: bool, last: SourceSelection | None
) -> SourceSelection:
    """Which source holds from now on, given what held last."""
    losses = tuple(at for at in last.losses if now - at < FLAPS_WITHIN * policy.hold_down) if last else ()
    if not has_file:
        return SourceSelection("discovery", "no file has been taken yet", None, losses)
    if policy.mode == "override":
        return SourceSelection("file", "the mode is override", None, losses)
    if policy.mode == "merge":
        return SourceSelection("both", "the mode is merge", None, losses)
    if last is None or last.source != "file":
        return _while_discovery_holds(now, policy, discovery, losses)
    return _while_file_holds(now, policy, discovery, last, losses)


def _while_discovery_holds(
    now: int, policy: MergePolicy, discovery: DiscoveryState, losses: tuple[int, ...]
) -> SourceSelection:
    if discovery.told_at is None and not discovery.entries:
        return SourceSelection("file", "discovery has never told anything", None, losses)
    since = discovery.started if discovery.told_at is None else discovery.told_at
    if now - since < policy.after:
        return SourceSelection("discovery", "discovery answers", since + policy.after, losses)
    silent = f"discovery has told nothing for {(now - since) / SECOND:.1f} s"
    return SourceSelection("file", silent, None, (*losses, now)[-16:])


def _while_file_holds(
    now: int, policy: MergePolicy, discovery: DiscoveryState, last: SourceSelection, losses: tuple[int, ...]
) -> SourceSelection:
    steady, told = discovery.steady_since, discovery.told_at
    if steady is None or told is None or now - told > max(policy.after, SECOND):
        return SourceSelection("file", last.reason, None, losses)
    ready_at = steady + hold_down(len(losses), policy)
    if now >= ready_at:
        return SourceSelection("discovery", "discovery answers again", told + policy.after, losses)
    flapped = f"discovery answers, but was lost {len(losses)} times of late: held down"
    return SourceSelection("file", flapped, ready_at, losses)


@dataclass(frozen=True, slots=True)
class MergedEndpoint:
    """One server of the list that holds, and why it stands there as it does."""

    named: ResolvedEndpoint
    reason: str
    retired_until: int = 0  # 0: the source that holds names it


def merge(
    now: int,
    choice: SourceSelection,
    discovery: DiscoveryState,
    file: Mapping[str, ResolvedEndpoint],
    last: Mapping[str, MergedEndpoint],
) -> dict[str, MergedEndpoint]:
    """The list that holds, by server. last: what this returned before, for whom it no longer names."""
    lines: dict[str, MergedEndpoint] = {}
    if choice.source != "file":
        for name, named in discovery.entries.items():
            lines[name] = MergedEndpoint(named, "discovery")
    if choice.source != "discovery":
        for name, named in file.items():
            if name not in discovery.gone:
                lines[name] = _from_file(named, discovery.entries.get(name))
    for name, line in last.items():
        if name in lines or name in discovery.gone:
            continue
        until = line.retired_until or now + RETIRED_FOR
        if now < until:
            lines[name] = line if line.retired_until else _retired(line, choice, until)
    return lines


def _from_file(named: ResolvedEndpoint, told: ResolvedEndpoint | None) -> MergedEndpoint:
    """The file's word on weight and address; discovery's on a drain, and the later word on the start.

    A server that started within the warm-up is protected as cold whoever tells of it.
    """
    if told is None:
        return MergedEndpoint(named, "file")
    entry, other = named.endpoint, told.endpoint
    draining = other.state != api.EndpointState.READY and entry.state == api.EndpointState.READY
    entry = replace(
        entry,
        state=other.state if draining else entry.state,
        started_at_us=max(entry.started_at_us, other.started_at_us),
        zone=entry.zone or other.zone,
        cell=other.cell,
    )
    return MergedEndpoint(
        ResolvedEndpoint(entry, named.address), "file; discovery tells it to drain" if draining else "file"
    )


def _retired(line: MergedEndpoint, choice: SourceSelection, until: int) -> MergedEndpoint:
    entry = replace(line.named.endpoint, state=api.EndpointState.DRAINING)
    return MergedEndpoint(
        ResolvedEndpoint(entry, line.named.address), f"no longer named; {choice.source} holds", until
    )


def changes(
    last: Mapping[str, MergedEndpoint], lines: Mapping[str, MergedEndpoint]
) -> list[ResolvedEndpoint]:
    """What has changed between two lists, as a delta tells it."""
    found = [line.named for name, line in lines.items() if name not in last or last[name].named != line.named]
    for name in last.keys() - lines.keys():
        found.append(ResolvedEndpoint(replace(last[name].named.endpoint, state=api.EndpointState.GONE), None))
    return found


def stopped(lines: Mapping[str, MergedEndpoint], told: Iterable[ResolvedEndpoint]) -> list[ResolvedEndpoint]:
    """Of the servers that discovery told to get nothing new, those that still would; in any mode."""
    found = []
    for named in told:
        line = lines.get(named.endpoint.name)
        if line and (
            line.named.endpoint.state == api.EndpointState.READY
            or named.endpoint.state == api.EndpointState.GONE
        ):
            address = None if named.endpoint.state == api.EndpointState.GONE else line.named.address
            found.append(ResolvedEndpoint(replace(line.named.endpoint, state=named.endpoint.state), address))
    return found


def ready_of(lines: Mapping[str, MergedEndpoint]) -> frozenset[str]:
    return frozenset(
        name for name, line in lines.items() if line.named.endpoint.state == api.EndpointState.READY
    )


def sites_of(lines: Mapping[str, MergedEndpoint]) -> tuple[str, ...]:
    """The sites with a ready server, those without a name left out, in order of name."""
    return tuple(
        sorted(
            {
                line.named.endpoint.zone
                for line in lines.values()
                if line.named.endpoint.state == api.EndpointState.READY
            }
            - {""}
        )
    )
