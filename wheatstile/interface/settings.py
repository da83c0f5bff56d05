"""The settings of one balancer, as the platform gives them."""

from dataclasses import dataclass
from math import inf, isfinite

from wheatstile.interface.enumerations import DeduplicationScope, Idempotency


@dataclass(frozen=True, slots=True)
class ServiceClass:
    """The objectives of one class of connections, and whether their setup may be repeated."""

    name: str
    latency_objective_us: int  # objective for the setup of a connection
    idempotency: Idempotency = Idempotency.IDEMPOTENT
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL  # only used for IDEMPOTENCY_KEY
    deduplication_window_us: int = 0  # how long servers keep an idempotency key
    priority_weight: float = 1.0  # relative value of a connection of this class
    message_latency_objective_us: int = 0  # objective for messages on an open connection; 0: unknown

    @property
    def repeat_window_us(self) -> float:
        """How long after a first attempt that may have run another attempt is harmless, in microseconds.

        This holds for servers in the deduplication scope. Infinite for IDEMPOTENT, 0 for NON_IDEMPOTENT.
        """
        if self.idempotency == Idempotency.IDEMPOTENT:
            return inf
        return self.deduplication_window_us if self.idempotency == Idempotency.IDEMPOTENCY_KEY else 0

    @property
    def is_client_retry_harmless(self) -> bool:
        """Whether the client may retry at any balancer after an attempt that may have run."""
        is_keyed = self.idempotency == Idempotency.IDEMPOTENCY_KEY
        is_discarded_anywhere = is_keyed and self.deduplication_scope == DeduplicationScope.ALL
        return is_discarded_anywhere or self.idempotency == Idempotency.IDEMPOTENT


@dataclass(frozen=True, slots=True)
class Settings:
    """The settings of one balancer. Raises ValueError for a value outside its range."""

    fleet_size: int  # number of balancers that share the servers
    zone: str
    classes: dict[str, ServiceClass]
    max_attempts: int
    slow_start_initial_capacity: float  # share of its full capacity that a starting server has at least
    slow_start_duration_us: int  # time from a start to full capacity
    slow_start_overload_factor: float  # multiple of its present capacity that a starting server survives
    slow_start_overload_window_us: int = 1_500_000  # time over which that multiple is counted
    poll_endpoints: bool = False  # whether the list of servers has to be requested
    poll_interval_us: int = 10_000_000  # a balancer that polls less often is expected to know the list
    health_checks_enabled: bool = True
    load_metrics: tuple[str, ...] = ()  # figures that a load report may contain
    retry_after_enabled: bool = False  # whether a rejection may tell the client when to retry
    max_retry_after_us: int = 0
    reports_message_latency: bool = True  # whether MessageLatencyChanged is sent for slow servers
    cross_zone_cost: float = 0.0  # cost of a request to another zone, in points of the score

    def __post_init__(self) -> None:
        for name in ("fleet_size", "max_attempts", "slow_start_overload_window_us"):
            value = getattr(self, name)
            if value < 1:
                raise ValueError(f"settings: {name} must be 1 or more, not {value}")
        for name in ("slow_start_duration_us", "max_retry_after_us"):
            value = getattr(self, name)
            if value < 0:
                raise ValueError(f"settings: {name} must be 0 or more, not {value}")
        for name in ("slow_start_initial_capacity", "slow_start_overload_factor"):
            value = getattr(self, name)
            if not isfinite(value) or value < 0:
                raise ValueError(f"settings: {name} must be a number of 0 or more, not {value}")
        if not self.classes:
            raise ValueError("settings: classes must name one class or more")
