"""Admission: how fast retries and reconnections are let through, and who is rejected at once."""

from wheatstile.decisions.load import OVERLOAD_THRESHOLD, mean_load
from wheatstile.decisions.state import BalancerState
from wheatstile.decisions.token_bucket import AdaptiveTokenBucket

LIFETIME_S = 60  # at a rate of 1 the setups would renew all open connections in this time
INITIAL_RATE = 240.0
MAX_RATE = 480.0
MIN_RATE = 1.0
RATE_INCREASE = 0.6  # a second and connection, as failures are
RATE_DECREASE = 0.7  # a failure
LEAST_CONNECTIONS_PER_SERVER = 27  # of which a balancer that has just started counts its part
PEAK_DECAY = 0.01  # a second
EARLY_REJECTION_RATIO = 0.7  # of the requests that find the fleet full are rejected with no health check


def start(state: BalancerState) -> None:
    """Begin with a wave in mind: an ended balancer's clients all come at once."""
    state.setup_limiter = AdaptiveTokenBucket(
        INITIAL_RATE, MAX_RATE, MIN_RATE, RATE_INCREASE, RATE_DECREASE, updated_at_us=state.now_us
    )


def try_acquire(state: BalancerState) -> bool:
    """Spend one repeated setup, if the rate allows it; the rate goes by the connections held here.

    A wave of setups may keep a store that servers share from answering any of them, wave after wave.
    """
    passed_s = min(state.setup_limiter.seconds_since_update(state.now_us), 1.0)
    decayed = state.peak_connections * (1 - PEAK_DECAY * passed_s)
    state.peak_connections = max(decayed, len(state.established))
    part_of_fleet = LEAST_CONNECTIONS_PER_SERVER * len(state.ready) / state.settings.fleet_size
    size = max(state.peak_connections, part_of_fleet)
    return state.setup_limiter.try_acquire(state.now_us, size, LIFETIME_S)


def is_rejected_early(state: BalancerState) -> bool:
    """Whether a request is rejected because the fleet is full, with no health check spent on it."""
    return mean_load(state) > OVERLOAD_THRESHOLD and state.random.random() < EARLY_REJECTION_RATIO
