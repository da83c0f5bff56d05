"""Selects the active source of servers: discovery, the endpoint file, or both.

Pure: the time is an argument, in microseconds. Discovery is flapping if it is lost and recovers repeatedly.
After each loss it must then answer for a longer time before it becomes active again.
"""

from dataclasses import dataclass
from enum import StrEnum

from wheatstile.config.operator import Servers
from wheatstile.resolvers.discovery_state import DiscoveryState

US_PER_S = 1_000_000
MAX_RECOVERY_FACTOR = 8  # maximum of the required recovery time, as a multiple of the recovery delay
FLAP_WINDOW_FACTOR = 32  # age at which a loss no longer counts, as a multiple of the recovery delay
MAX_REMEMBERED_LOSSES = 16
MIN_SILENCE_US = US_PER_S  # a shorter silence does not interrupt the recovery of discovery


class EndpointSource(StrEnum):
    """The active source of servers. The values are logged and printed."""

    DISCOVERY = "discovery"
    FILE = "file"
    BOTH = "both"


class MergeMode(StrEnum):
    """The mode in which the endpoint file is used: the value of `servers.mode` in the operator's file."""

    FALLBACK = "fallback"  # the file is active while discovery is silent
    OVERRIDE = "override"  # the file is always active
    MERGE = "merge"  # the file is merged with discovery


@dataclass(frozen=True, slots=True)
class MergePolicy:
    """The operator's settings for merging discovery and the endpoint file."""

    mode: MergeMode
    discovery_timeout_us: int  # silence of discovery after which the file is active (servers.after_s)
    recovery_delay_us: int  # recovery time after the second loss (servers.hold_down_s)

    @classmethod
    def from_settings(cls, servers: Servers) -> "MergePolicy":
        """Build the policy from the `servers` section of the operator's file."""
        return cls(
            MergeMode(servers.mode),
            int(servers.after_s * US_PER_S),
            int(servers.hold_down_s * US_PER_S),
        )


@dataclass(frozen=True, slots=True)
class SourceSelection:
    """The active source, and the reason for its selection."""

    source: EndpointSource
    reason: str  # logged, and printed by `wheatstile servers explain`
    recheck_at_us: int | None = None  # time at which the selection may change without an event; None: never
    discovery_lost_at_us: tuple[int, ...] = ()  # recent times at which the file replaced discovery


def required_recovery_us(losses: int, policy: MergePolicy) -> int:
    """Return how long discovery must answer before it becomes active again.

    The time is 0 after one loss and the recovery delay after two. It then doubles up to a maximum.
    """
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
    """Select the active source.

    Args:
        now_us: the current time.
        policy: the operator's settings.
        discovery: the servers and the times of the reports of discovery.
        has_file: whether an endpoint file has been accepted.
        previous: the previous selection; None if this is the first.

    """
    losses = _recent_losses(now_us, policy, previous)
    if not has_file:
        reason = "no endpoint file has been accepted yet"
        return SourceSelection(EndpointSource.DISCOVERY, reason, discovery_lost_at_us=losses)
    if policy.mode is MergeMode.OVERRIDE:
        return SourceSelection(EndpointSource.FILE, "the mode is override", discovery_lost_at_us=losses)
    if policy.mode is MergeMode.MERGE:
        return SourceSelection(EndpointSource.BOTH, "the mode is merge", discovery_lost_at_us=losses)
    if previous is None or previous.source is not EndpointSource.FILE:
        return _select_while_discovery_is_active(now_us, policy, discovery, losses)
    return _select_while_file_is_active(now_us, policy, discovery, previous.reason, losses)


def _recent_losses(now_us: int, policy: MergePolicy, previous: SourceSelection | None) -> tuple[int, ...]:
    """Return the times of the losses that still count as flapping."""
    if previous is None:
        return ()
    window_us = FLAP_WINDOW_FACTOR * policy.recovery_delay_us
    return tuple(
        lost_at_us for lost_at_us in previous.discovery_lost_at_us if now_us - lost_at_us < window_us
    )


def _select_while_discovery_is_active(
    now_us: int, policy: MergePolicy, discovery: DiscoveryState, losses: tuple[int, ...]
) -> SourceSelection:
    """Select the source in fallback mode while discovery is active."""
    last_report_at_us = discovery.last_report_at_us
    if last_report_at_us is None and not discovery.endpoints:
        reason = "discovery has never reported anything"
        return SourceSelection(EndpointSource.FILE, reason, discovery_lost_at_us=losses)
    silence_started_at_us = discovery.watch_started_at_us if last_report_at_us is None else last_report_at_us
    silence_us = now_us - silence_started_at_us
    if silence_us < policy.discovery_timeout_us:
        timeout_at_us = silence_started_at_us + policy.discovery_timeout_us
        return SourceSelection(EndpointSource.DISCOVERY, "discovery answers", timeout_at_us, losses)
    reason = f"discovery has been silent for {silence_us / US_PER_S:.1f} s"
    losses = (*losses, now_us)[-MAX_REMEMBERED_LOSSES:]
    return SourceSelection(EndpointSource.FILE, reason, discovery_lost_at_us=losses)


def _select_while_file_is_active(
    now_us: int, policy: MergePolicy, discovery: DiscoveryState, reason: str, losses: tuple[int, ...]
) -> SourceSelection:
    """Select the source in fallback mode while the file is active for the given reason."""
    reporting_since_us = discovery.reporting_since_us
    last_report_at_us = discovery.last_report_at_us
    if reporting_since_us is None or last_report_at_us is None:
        return SourceSelection(EndpointSource.FILE, reason, discovery_lost_at_us=losses)
    if now_us - last_report_at_us > max(policy.discovery_timeout_us, MIN_SILENCE_US):
        return SourceSelection(EndpointSource.FILE, reason, discovery_lost_at_us=losses)
    recovery_us = required_recovery_us(len(losses), policy)
    recovered_at_us = reporting_since_us + recovery_us
    if now_us >= recovered_at_us:
        timeout_at_us = last_report_at_us + policy.discovery_timeout_us
        return SourceSelection(EndpointSource.DISCOVERY, "discovery answers again", timeout_at_us, losses)
    flapping_reason = (
        f"discovery answers, but was lost {len(losses)} times recently: "
        f"it must answer for {recovery_us / US_PER_S:g} s first"
    )
    return SourceSelection(EndpointSource.FILE, flapping_reason, recovered_at_us, losses)
