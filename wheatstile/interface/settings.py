"""The settings of one balancer. They come from the platform alone."""

from dataclasses import dataclass
from math import inf, isfinite

from wheatstile.interface.enumerations import DeduplicationScope, Idempotency


@dataclass(frozen=True, slots=True)
class ServiceClass:
    """What one class of connection asks for, and what a repeat of its setup would do."""

    name: str
    latency_objective_us: int  # a setup within this time counts in full
    idempotency: Idempotency = Idempotency.IDEMPOTENT
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL  # for IDEMPOTENCY_KEY
    deduplication_window_us: int = 0  # for IDEMPOTENCY_KEY: for how long a repeat is discarded
    priority_weight: float = 1.0  # value of a well-served second (or request)
    message_latency_objective_us: int = 0  # of a message on an open connection; 0: not known

    @property
    def repeat_window_us(self) -> float:
        """For how long after an attempt that may have run a repeat is harmless, at the right servers."""
        if self.idempotency == Idempotency.IDEMPOTENT:
            return inf
        return self.deduplication_window_us if self.idempotency == Idempotency.IDEMPOTENCY_KEY else 0

    @property
    def is_client_retry_harmless(self) -> bool:
        """Whether the client may come again, to any balancer, though an attempt may have run."""
        is_keyed = self.idempotency == Idempotency.IDEMPOTENCY_KEY
        is_discarded_anywhere = is_keyed and self.deduplication_scope == DeduplicationScope.ALL
        return is_discarded_anywhere or self.idempotency == Idempotency.IDEMPOTENT


@dataclass(frozen=True, slots=True)
class Settings:
    """The settings of one balancer. Raises ValueError for figures that nobody could balance by."""

    fleet_size: int  # balancers that share the servers
    zone: str
    classes: dict[str, ServiceClass]
    max_attempts: int
    slow_start_initial_capacity: float  # share of its capacity that a server starts with, at least
    slow_start_duration_us: int  # a server that started longer ago has its full capacity
    slow_start_overload_factor: (
        float  # sent this multiple of its present capacity, a server in slow start fails
    )
    slow_start_overload_window_us: int = 1_500_000  # if that goes on for so long
    poll_endpoints: bool = False  # the list of servers has to be asked for
    poll_interval_us: int = 10_000_000  # who has not asked for so long is held to know what was listed then
    health_checks_enabled: bool = True
    load_metrics: tuple[str, ...] = ()  # the figures that a load report may hold
    retry_after_enabled: bool = False  # a rejection may tell the client when to come again
    max_retry_after_us: int = 0
    reports_message_latency: bool = True  # MessageLatencyChanged comes for servers whose messages take long
    cross_zone_cost: float = 0.0  # points of the result for each request that crosses zones

    def __post_init__(self) -> None:
        for name in ("fleet_size", "max_attempts", "slow_start_overload_window_us"):
            if getattr(self, name) < 1:
                raise ValueError(f"settings: {name} must be 1 or more")
        for name in ("slow_start_duration_us", "max_retry_after_us"):
            if getattr(self, name) < 0:
                raise ValueError(f"settings: {name} must not be negative")
        for name in ("slow_start_initial_capacity", "slow_start_overload_factor"):
            if not isfinite(getattr(self, name)) or getattr(self, name) < 0:
                raise ValueError(f"settings: {name} must be a number of 0 or more")
        if not self.classes:
            raise ValueError("settings: classes must name one class or more")
