"""The decision loop: one instance of the decision module, its clock, and whoever carries out its actions.

Nothing here knows a protocol's text. A front registers its RPCs, tells the module's events, and is handed
the module's actions as they are.
"""

import asyncio
import time
from collections import Counter, deque
from math import ceil
from typing import Protocol

import structlog

from wheatstile import interface as api
from wheatstile.decisions import Balancer

log = structlog.get_logger()


class Rpc(Protocol):
    """A request that is owed an answer, or the open connection that it became."""

    def decide(self, action: api.StartAttempt | api.Reject | api.Fail | api.Migrate) -> None:
        """Take what the module decided; the work itself is done elsewhere, later."""


class Prober(Protocol):
    def probe(self, server: str) -> None:
        """Ask this server for its load; exactly one Probed event follows."""


class DiscoveryWatcher(Protocol):
    def watch(self) -> None:
        """Ask for the list's changes from now on."""


class DecisionLoop:
    """Owns the module's instance. Events go in by tell; actions go straight to whoever carries them out."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.balancer = Balancer(settings, seed)
        self.counters: Counter[str] = Counter()
        self.sessions: dict[str, Rpc] = {}
        self.prober: Prober
        self.discovery_watcher: DiscoveryWatcher
        self.loop = asyncio.get_running_loop()
        # The module takes a start of 0 or less for "long ago", and the list tells starts in Unix time: so its
        # clock is Unix time, taken once, and moved by the monotonic clock so that it never goes back.
        self._epoch = time.time_ns() - time.monotonic_ns()
        self._events: deque[api.Event] = deque()
        self._telling = False

    def now(self) -> int:
        """The module's clock, in microseconds."""
        return (self._epoch + time.monotonic_ns()) // 1000

    def start(self, prober: Prober, discovery_watcher: DiscoveryWatcher) -> None:
        """Start the module; everything it may ask for has to be in place."""
        self.prober, self.discovery_watcher = prober, discovery_watcher
        for action in self.balancer.start(self.now()):
            self._carry_out(action)

    def configure(self, settings: api.Settings) -> None:
        """Have the module decide by these settings from its next event on."""
        self.balancer.configure(settings)

    def repeat_window(self, service: str) -> int | None:
        """Microseconds after an attempt that may have run within which one may follow; None: no limit."""
        service_class = self.balancer.settings.classes.get(service)
        if service_class is None or service_class.idempotency is not api.Idempotency.IDEMPOTENCY_KEY:
            return None
        return service_class.deduplication_window_us

    def dispatch(self, event: api.Event) -> None:
        """Hand the module an event and carry out what it answers.

        An event that comes up while actions are being carried out waits for its turn: the module is never
        entered twice at once, and hears events in the order in which they came.
        """
        self._events.append(event)
        if self._telling:
            return
        self._telling = True
        try:
            while self._events:
                self._handle(self._events.popleft())
        finally:
            self._telling = False

    def _handle(self, event: api.Event) -> None:
        self.counters[f"event {type(event).__name__}"] += 1
        try:
            actions = self.balancer.handle(self.now(), event)
        except Exception:
            # A fault in the decisions may cost the one RPC it is about, not all the connections held here.
            log.exception("the module failed", event_type=type(event).__name__)
            self.counters["module failures"] += 1
            rpc = self.sessions.get(getattr(event, "id", ""))
            if rpc:
                rpc.decide(api.Fail(getattr(event, "id", "")))
            return
        for action in actions:
            self._carry_out(action)

    def _carry_out(self, action: api.Action) -> None:
        self.counters[f"action {type(action).__name__}"] += 1
        if isinstance(action, api.SetTimer):
            # Rounded up to the loop's milliseconds: a timer that comes early finds its time not yet up.
            self.loop.call_later(
                ceil(action.delay_us / 1000) / 1000, self.dispatch, api.TimerFired(action.token)
            )
        elif isinstance(action, api.CheckHealth):
            self.prober.probe(action.server)
        elif isinstance(action, api.WatchEndpoints):
            self.discovery_watcher.watch()
        elif action.id in self.sessions:  # else the client has left in the same instant
            self.sessions[action.id].decide(action)
