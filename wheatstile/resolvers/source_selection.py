"""Which source of servers is in force: discovery, the endpoint file, or both.

Pure: the time is an argument, in microseconds. The selection remembers when discovery was lost, so that a
discovery which flaps (is lost and found again and again) has to answer for longer before it takes over.
"""

from dataclasses import dataclass
from enum import StrEnum

from wheatstile.config.operator import Servers
from wheatstile.resolvers.discovery_state import DiscoveryState

MICROSECONDS_PER_SECOND = 1_000_000
MAX_RECOVERY_FACTOR = 8  # times the recovery delay that a flapping discovery has to answer for, at most
FLAP_WINDOW_FACTOR = 32  # times the recovery delay for which a loss of discovery counts as flapping
MAX_REMEMBERED_LOSSES = 16
MIN_SILENCE_US = MICROSECONDS_PER_SECOND  # a shorter silence does not interrupt discovery's recovery


class EndpointSource(StrEnum):
    """Where the servers in force come from. The values are logged and printed."""

    DISCOVERY = "discovery"
    FILE = "file"
    BOTH = "both"


class MergeMode(StrEnum):
    """When the endpoint file is in force. The values are those of `servers.mode` in the operator's file."""

    FALLBACK = "fallback"  # while discovery is silent
    OVERRIDE = "override"  # always
    MERGE = "merge"  # together with discovery


@dataclass(frozen=True, slots=True)
class MergePolicy:
    """The operator's settings for merging discovery and the endpoint file."""

    mode: MergeMode
    discovery_timeout_us: int  # silence of discovery after which the file is in force (servers.after_s)
    recovery_delay_us: int  # steady answers required of a discovery that flaps (servers.hold_down_s)

    @classmethod
    def from_settings(cls, servers: Servers) -> "MergePolicy":
        """Take the policy from the operator's `servers` section."""
        return cls(
            MergeMode(servers.mode),
            int(servers.after_s * MICROSECONDS_PER_SECOND),
            int(servers.hold_down_s * MICROSECONDS_PER_SECOND),
        )


@dataclass(frozen=True, slots=True)
class SourceSelection:
    """The source in force and why."""

    source: EndpointSource
    reason: str  # for the log and for `servers explain`
    recheck_at_us: int | None = None  # when time alone may change the selection; None: never
    discovery_lost_at_us: tuple[int, ...] = ()  # recent times at which the file took over from discovery


def required_recovery_us(losses: int, policy: MergePolicy) -> int:
    """Return how long discovery must answer to take over: not at all after one loss, then doubling."""
    if losses <= 1:
        return 0
    doublings = losses - 2
    return min(1 << doublings, MAX_RECOVERY_FACTOR) * policy.recovery_delay_us


def select_source(
    now_us: int,
    policy: MergePolicy,
    discovery: DiscoveryState,
    has_file: bool,
    previous: SourceSelection | None,
) -> SourceSelection:
    """Select the source in force from now on, given the previous selection (None: none yet)."""
    losses = _recent_losses(now_us, policy, previous)
    if not has_file:
        return SourceSelection(EndpointSource.DISCOVERY, "no file has been taken yet", None, losses)
    if policy.mode is MergeMode.OVERRIDE:
        return SourceSelection(EndpointSource.FILE, "the mode is override", None, losses)
    if policy.mode is MergeMode.MERGE:
        return SourceSelection(EndpointSource.BOTH, "the mode is merge", None, losses)
    if previous is None or previous.source is not EndpointSource.FILE:
        return _select_after_discovery(now_us, policy, discovery, losses)
    return _select_after_file(now_us, policy, discovery, previous.reason, losses)


def _recent_losses(now_us: int, policy: MergePolicy, previous: SourceSelection | None) -> tuple[int, ...]:
    if previous is None:
        return ()
    window_us = FLAP_WINDOW_FACTOR * policy.recovery_delay_us
    return tuple(
        lost_at_us for lost_at_us in previous.discovery_lost_at_us if now_us - lost_at_us < window_us
    )


def _select_after_discovery(
    now_us: int, policy: MergePolicy, discovery: DiscoveryState, losses: tuple[int, ...]
) -> SourceSelection:
    """Select in fallback mode while discovery is in force."""
    last_report_at_us = discovery.last_report_at_us
    if last_report_at_us is None and not discovery.endpoints:
        return SourceSelection(EndpointSource.FILE, "discovery has never told anything", None, losses)
    silent_since_us = discovery.listening_since_us if last_report_at_us is None else last_report_at_us
    silence_us = now_us - silent_since_us
    if silence_us < policy.discovery_timeout_us:
        timeout_at_us = silent_since_us + policy.discovery_timeout_us
        return SourceSelection(EndpointSource.DISCOVERY, "discovery answers", timeout_at_us, losses)
    reason = f"discovery has told nothing for {silence_us / MICROSECONDS_PER_SECOND:.1f} s"
    losses = (*losses, now_us)[-MAX_REMEMBERED_LOSSES:]
    return SourceSelection(EndpointSource.FILE, reason, None, losses)


def _select_after_file(
    now_us: int, policy: MergePolicy, discovery: DiscoveryState, reason: str, losses: tuple[int, ...]
) -> SourceSelection:
    """Select in fallback mode while the file is in force, which it is for this reason."""
    steady_since_us = discovery.steady_since_us
    last_report_at_us = discovery.last_report_at_us
    if steady_since_us is None or last_report_at_us is None:
        return SourceSelection(EndpointSource.FILE, reason, None, losses)
    if now_us - last_report_at_us > max(policy.discovery_timeout_us, MIN_SILENCE_US):
        return SourceSelection(EndpointSource.FILE, reason, None, losses)
    recovered_at_us = steady_since_us + required_recovery_us(len(losses), policy)
    if now_us >= recovered_at_us:
        timeout_at_us = last_report_at_us + policy.discovery_timeout_us
        return SourceSelection(EndpointSource.DISCOVERY, "discovery answers again", timeout_at_us, losses)
    flapping = f"discovery answers, but was lost {len(losses)} times of late: held down"
    return SourceSelection(EndpointSource.FILE, flapping, recovered_at_us, losses)
