"""The settings of one balancer, which the platform provides."""

from dataclasses import dataclass
from math import inf, isfinite

from wheatstile.interface.enumerations import DeduplicationScope, Idempotency


@dataclass(frozen=True, slots=True)
class ServiceClass:
    """One class of connections: its latency objectives, and whether a setup may be repeated."""

    name: str
    latency_objective_us: int  # objective for the duration of a connection setup
    idempotency: Idempotency = Idempotency.IDEMPOTENT
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL  # only used for IDEMPOTENCY_KEY
    deduplication_window_us: int = 0  # how long servers keep an idempotency key
    priority_weight: float = 1.0  # relative value of a connection of this class
    message_latency_objective_us: int = 0  # objective for messages on an open connection; 0: unknown

    @property
    def repeat_window_us(self) -> float:
        """The time, after a first attempt that may have run, in which another attempt is harmless.

        It applies to servers in the deduplication scope. Infinite for IDEMPOTENT, 0 for NON_IDEMPOTENT.
        """
        if self.idempotency == Idempotency.IDEMPOTENT:
            return inf
        return self.deduplication_window_us if self.idempotency == Idempotency.IDEMPOTENCY_KEY else 0

    @property
    def is_client_retry_harmless(self) -> bool:
        """True if the client may retry at any balancer after an attempt that may have run."""
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
    slow_start_initial_capacity: float  # minimum fraction of its full capacity that a starting server has
    slow_start_duration_us: int  # time from the start of a server to its full capacity
    slow_start_overload_factor: float  # multiple of its current capacity that a starting server withstands
    slow_start_overload_window_us: int = 1_500_000  # window over which the overload factor is measured
    poll_endpoints: bool = False  # True if the endpoint list must be polled
    poll_interval_us: int = 10_000_000  # after this time a balancer is expected to know a changed list
    health_checks_enabled: bool = True
    load_metrics: tuple[str, ...] = ()  # metrics that a load report may contain
    retry_after_enabled: bool = False  # True if a rejection may tell the client when to retry
    max_retry_after_us: int = 0
    reports_message_latency: bool = True  # True if MessageLatencyChanged is sent for slow servers
    cross_zone_cost: float = 0.0  # cost of a request to a server in another zone, in points of the score

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
