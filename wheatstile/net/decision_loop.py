"""The decision loop: one instance of the decision module, its clock, and whoever carries out its actions.

Nothing here knows a protocol's text. A front registers its sessions, dispatches the module's events, and is
handed the module's actions as they are.
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
    """Return the counter of each type, as in `events_client_disconnected`."""
    return {kind: prefix + re.sub(r"(?<=[a-z])(?=[A-Z])", "_", kind.__name__).lower() for kind in kinds}


EVENT_COUNTERS = _counter_names("events_", get_args(api.Event))
ACTION_COUNTERS = _counter_names("actions_", get_args(api.Action))


class Session(Protocol):
    """A client request that is to be answered, or the open connection that it became."""

    def decide(self, action: api.StartAttempt | api.Reject | api.Fail | api.Migrate) -> None:
        """Accept a decision; the work itself is done elsewhere, later."""


class HealthChecker(Protocol):
    """Who asks servers for their load."""

    def check_health(self, server: str) -> None:
        """Check this server; exactly one HealthCheckResult event follows."""


class DiscoveryWatcher(Protocol):
    """Who watches the endpoint list."""

    def watch(self) -> None:
        """Watch for changes from now on."""


class DecisionLoop:
    """Owns the module's instance: events go in by `dispatch`, actions go to whoever carries them out."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.balancer = Balancer(settings, seed)
        self.counters: Counter[str] = Counter()
        self.sessions: dict[str, Session] = {}  # by the request's id
        self.health_checker: HealthChecker
        self.discovery_watcher: DiscoveryWatcher
        self.loop = asyncio.get_running_loop()
        # The module takes a start of 0 or less for "long ago", and endpoints give theirs in Unix time: so its
        # clock is Unix time, read once, and moved by the monotonic clock so that it never goes back.
        self._epoch_ns = time.time_ns() - time.monotonic_ns()
        self._events: deque[api.Event] = deque()
        self._is_dispatching = False

    def now(self) -> int:
        """Return the module's clock: Unix time in microseconds, which never goes back."""
        return (self._epoch_ns + time.monotonic_ns()) // 1000

    def start(self, health_checker: HealthChecker, discovery_watcher: DiscoveryWatcher) -> None:
        """Start the module; everything that its actions need has to be in place."""
        self.health_checker = health_checker
        self.discovery_watcher = discovery_watcher
        for action in self.balancer.start(self.now()):
            self._carry_out(action)

    def configure(self, settings: api.Settings) -> None:
        """Have the module decide by these settings from its next event on."""
        self.balancer.configure(settings)

    def dispatch(self, event: api.Event) -> None:
        """Hand the module an event and carry out its actions.

        An event that comes up while actions are being carried out waits for its turn: the module is never
        entered twice at once, and handles events in the order in which they came.
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
            # A fault in the decisions may cost the one session it is about, not all that are open here.
            log.exception("decision_module_failed", event_type=type(event).__name__)
            self.counters["decision_module_failures"] += 1
            self._fail_session(event)
            return
        for action in actions:
            self._carry_out(action)

    def _fail_session(self, event: api.Event) -> None:
        session_id = getattr(event, "id", "")  # not every event is about a session
        session = self.sessions.get(session_id)
        if session:
            session.decide(api.Fail(session_id))

    def _carry_out(self, action: api.Action) -> None:
        self.counters[ACTION_COUNTERS[type(action)]] += 1
        if isinstance(action, api.SetTimer):
            # Rounded up to the loop's milliseconds: a timer that comes early finds its time not yet up.
            delay_s = ceil(action.delay_us / 1000) / 1000
            self.loop.call_later(delay_s, self.dispatch, api.TimerFired(action.token))
        elif isinstance(action, api.CheckHealth):
            self.health_checker.check_health(action.server)
        elif isinstance(action, api.WatchEndpoints):
            self.discovery_watcher.watch()
        elif action.id in self.sessions:  # else the client has disconnected in the same instant
            self.sessions[action.id].decide(action)
