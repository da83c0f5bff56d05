"""Requests the endpoint list from discovery."""

from wheatstile import interface as api
from wheatstile.decisions.event_context import EventContext

INITIAL_BACKOFF_US = 1_000_000  # doubles with each failed call
MAX_BACKOFF_US = 8_000_000
MAX_START_DELAY_US = 4_000_000  # spreads the first calls of balancers that start together


class EndpointWatch:
    """Requests the endpoint list, and repeats failed calls with a jittered exponential backoff."""

    def __init__(self, context: EventContext) -> None:
        self._context = context
        self._backoff_us = INITIAL_BACKOFF_US

    def start(self) -> None:
        """Request the list after a random delay, if the settings require polling."""
        settings = self._context.settings
        if settings.poll_endpoints:
            max_delay_us = min(MAX_START_DELAY_US, settings.poll_interval_us * 3 // 4)
            self._context.set_jittered_timer(max_delay_us, api.TimerKind.WATCH_ENDPOINTS)

    def on_update(self, kind: api.EndpointUpdateKind) -> None:
        """Reset the backoff; if discovery has moved, request the list at its new address."""
        self._backoff_us = INITIAL_BACKOFF_US
        if kind == api.EndpointUpdateKind.MOVED:
            self.watch()

    def on_failure(self) -> None:
        """Repeat a failed call after the backoff."""
        jittered_us = int(self._backoff_us * (0.5 + self._context.random.random()))
        max_backoff_us = min(MAX_BACKOFF_US, 2 * self._context.settings.poll_interval_us)
        self._backoff_us = min(2 * self._backoff_us, max_backoff_us)
        self._context.set_timer(jittered_us, api.TimerKind.WATCH_ENDPOINTS)

    def watch(self) -> None:
        """Request the list and its changes now."""
        self._context.add_action(api.WatchEndpoints())
