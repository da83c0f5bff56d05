"""The decision loop. It passes events to the decision module, and the module's actions to the network code.

The loop is independent of the network protocol. Protocol code registers its sessions, dispatches events, and
receives the actions of the decision module unchanged.
"""

import asyncio
import re
import time
from collections import Counter, deque
from math import ceil
from typing import Protocol, get_args

import structlog

from wheatstile import interface as api
from wheatstile.decisions import Balancer

log = structlog.get_logger()


def _counter_names(prefix: str, kinds: tuple[type, ...]) -> dict[type, str]:
    """Return the counter name of each type, such as `events_client_disconnected` for ClientDisconnected."""
    return {kind: prefix + re.sub(r"(?<=[a-z])(?=[A-Z])", "_", kind.__name__).lower() for kind in kinds}


EVENT_COUNTERS = _counter_names("events_", get_args(api.Event))
ACTION_COUNTERS = _counter_names("actions_", get_args(api.Action))


class SessionHandler(Protocol):
    """Carries out the actions for one session."""

    def on_action(self, action: api.StartAttempt | api.Reject | api.Fail | api.Migrate) -> None:
        """Queue an action. It is carried out after this call has returned."""


class HealthCheckStarter(Protocol):
    """Carries out CheckHealth."""

    def check_health(self, server: str) -> None:
        """Start a health check of this server. Exactly one HealthCheckResult is dispatched for it."""


class EndpointWatchStarter(Protocol):
    """Carries out WatchEndpoints."""

    def watch(self) -> None:
        """Start to watch the endpoint list for changes, unless a watch is running."""


class DecisionLoop:
    """Runs one instance of the decision module: passes it events and carries out its actions.

    Attributes:
        counters: all counters of the process, by name.
        sessions: the open sessions, by request id.
    """

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.balancer = Balancer(settings, seed)
        self.counters: Counter[str] = Counter()
        self.sessions: dict[str, SessionHandler] = {}
        self.loop = asyncio.get_running_loop()
        self._health_checks: HealthCheckStarter
        self._endpoint_watch: EndpointWatchStarter
        # The module compares its clock with the servers' start times, which are Unix time. The clock is
        # therefore Unix time, read once and advanced by the monotonic clock.
        self._epoch_ns = time.time_ns() - time.monotonic_ns()
        self._events: deque[api.Event] = deque()
        self._is_dispatching = False

    def now(self) -> int:
        """Return the module's clock: monotonic Unix time in microseconds."""
        return (self._epoch_ns + time.monotonic_ns()) // 1000

    def start(self, health_checks: HealthCheckStarter, endpoint_watch: EndpointWatchStarter) -> None:
        """Start the module and carry out its first actions."""
        self._health_checks = health_checks
        self._endpoint_watch = endpoint_watch
        for action in self.balancer.start(self.now()):
            self._carry_out(action)

    def configure(self, settings: api.Settings) -> None:
        """Replace the module's settings. They apply from its next event on."""
        self.balancer.configure(settings)

    def dispatch(self, event: api.Event) -> None:
        """Pass an event to the module and carry out the resulting actions.

        An event that is dispatched while another one is handled is queued. Calls to the module are thus never
        nested, and it handles events in the order in which they are dispatched.
        """
        self._events.append(event)
        if self._is_dispatching:
            return
        self._is_dispatching = True
        try:
            while self._events:
                self._handle(self._events.popleft())
        finally:
            self._is_dispatching = False

    def _handle(self, event: api.Event) -> None:
        self.counters[EVENT_COUNTERS[type(event)]] += 1
        try:
            actions = self.balancer.handle(self.now(), event)
        except Exception:
            # An error in the module fails only the session of this event.
            log.exception("decision_module_failed", event_type=type(event).__name__)
            self.counters["decision_module_failures"] += 1
            self._fail_session(event)
            return
        for action in actions:
            self._carry_out(action)

    def _fail_session(self, event: api.Event) -> None:
        """Fail the session that the event belongs to, if any."""
        session_id = getattr(event, "id", "")
        session = self.sessions.get(session_id)
        if session:
            session.on_action(api.Fail(session_id))

    def _carry_out(self, action: api.Action) -> None:
        self.counters[ACTION_COUNTERS[type(action)]] += 1
        if isinstance(action, api.SetTimer):
            # Rounded up to the event loop's resolution, so that no timer fires early.
            delay_s = ceil(action.delay_us / 1000) / 1000
            self.loop.call_later(delay_s, self.dispatch, api.TimerFired(action.token))
        elif isinstance(action, api.CheckHealth):
            self._health_checks.check_health(action.server)
        elif isinstance(action, api.WatchEndpoints):
            self._endpoint_watch.watch()
        elif action.id in self.sessions:  # the client may have already disconnected
            self.sessions[action.id].on_action(action)
