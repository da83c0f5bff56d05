"""Admission control: the rate limit of repeated setups, and early rejection while the fleet is overloaded."""

from wheatstile import interface as api
from wheatstile.decisions.connection_table import ConnectionTable
from wheatstile.decisions.endpoint_table import EndpointTable
from wheatstile.decisions.event_context import EventContext
from wheatstile.decisions.fleet_load import FleetLoad
from wheatstile.decisions.server_load import OVERLOAD_THRESHOLD
from wheatstile.decisions.token_bucket import AdaptiveTokenBucket, TokenRates

RATE_PERIOD_S = 60  # the rates below are setups per connection in this period
INITIAL_RATE = 240.0  # four per second for each connection, enough for a whole reconnect burst
MAX_RATE = 480.0
MIN_RATE = 1.0
RATE_INCREASE_PER_S = 0.6  # per connection, since failures are proportional to connections
RATE_DECREASE_FACTOR = 0.7  # multiplies the rate at each failure
MIN_CONNECTIONS_PER_SERVER = 27  # assumed for the fleet; lower bound for a balancer with few connections
PEAK_DECAY_PER_S = 0.01  # fraction of the peak by which it falls per second
MAX_PEAK_DECAY_TIME_S = 1.0  # maximum time between two setups that is counted for the decay
EARLY_REJECTION_RATIO = 0.7  # fraction of the requests that are rejected early while the fleet is overloaded
OVERLOAD_OUTCOMES = (api.AttemptOutcome.ERROR, api.AttemptOutcome.TIMEOUT)  # outcomes that reduce the rate


class SetupRateLimiter:
    """Limits the rate of repeated setups (additive increase, multiplicative decrease).

    The limit keeps a reconnect burst from overloading a store that the servers share.
    """

    def __init__(self, context: EventContext, endpoints: EndpointTable, connections: ConnectionTable) -> None:
        self._context = context
        self._endpoints = endpoints
        self._connections = connections
        self._peak_connections = 0.0
        rates = TokenRates(INITIAL_RATE, MAX_RATE, MIN_RATE, RATE_INCREASE_PER_S, RATE_DECREASE_FACTOR)
        self.bucket = AdaptiveTokenBucket(rates, RATE_PERIOD_S)

    def start(self) -> None:
        """Start the refill of tokens."""
        self.bucket.start(self._context.now_us)

    @property
    def is_reduced(self) -> bool:
        """True if failures have reduced the rate below its initial value."""
        return self.bucket.rate < INITIAL_RATE

    def on_attempt_failed(self, outcome: api.AttemptOutcome) -> None:
        """Reduce the rate after an error or a timeout."""
        if outcome in OVERLOAD_OUTCOMES:
            self.bucket.on_failure()

    def try_acquire(self) -> bool:
        """Acquire a token for a repeated setup, if one is available.

        The refill rate is proportional to the recent peak of this balancer's connections, which includes
        connections that have just broken.
        """
        self._update_peak()
        fleet_size = self._context.settings.fleet_size
        assumed_connections = MIN_CONNECTIONS_PER_SERVER * len(self._endpoints.ready_servers) / fleet_size
        scale = max(self._peak_connections, assumed_connections)
        return self.bucket.try_acquire(self._context.now_us, scale)

    def _update_peak(self) -> None:
        elapsed_s = self.bucket.seconds_since_update(self._context.now_us)
        decay_time_s = min(elapsed_s, MAX_PEAK_DECAY_TIME_S)
        decayed = self._peak_connections * (1 - PEAK_DECAY_PER_S * decay_time_s)
        self._peak_connections = max(decayed, len(self._connections.established))


class EarlyRejection:
    """Rejects most requests without a health check while the fleet is overloaded."""

    def __init__(self, context: EventContext, fleet_load: FleetLoad) -> None:
        self._context = context
        self._fleet_load = fleet_load

    def should_reject(self) -> bool:
        """Return whether to reject a request at once, drawn at random while the fleet is overloaded."""
        if self._fleet_load.mean() <= OVERLOAD_THRESHOLD:
            return False
        return self._context.random.random() < EARLY_REJECTION_RATIO
