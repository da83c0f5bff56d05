"""The decision module of one balancer: it takes events and returns actions (wheatstile/interface/).

This module builds the components, and passes each event to the component that handles it. docs/design.md
explains how the components decide.
"""

from collections.abc import Callable, Mapping
from random import Random
from typing import Any

from wheatstile import interface as api
from wheatstile.decisions.admission import EarlyRejection, SetupRateLimiter
from wheatstile.decisions.attempt_starter import AttemptStarter
from wheatstile.decisions.candidate_selection import CandidateSelector
from wheatstile.decisions.connection import Connection
from wheatstile.decisions.connection_table import ConnectionTable
from wheatstile.decisions.endpoint_table import EndpointTable
from wheatstile.decisions.endpoint_watch import EndpointWatch
from wheatstile.decisions.event_context import EventContext
from wheatstile.decisions.exploration import Exploration
from wheatstile.decisions.final_answer import FinalAnswer
from wheatstile.decisions.fleet_load import FleetLoad
from wheatstile.decisions.health_checks import HealthChecks
from wheatstile.decisions.rebalancing import Rebalancer
from wheatstile.decisions.request_lifecycle import RequestLifecycle
from wheatstile.decisions.request_placement import RequestPlacement
from wheatstile.decisions.retry_policy import RetryPolicy
from wheatstile.decisions.server import Server
from wheatstile.decisions.slow_start import SlowStart


class Balancer:
    """Makes the decisions of one balancer, based only on the events that it receives itself."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.context = EventContext(settings, Random(seed))
        self.endpoints = EndpointTable()
        self.connections = ConnectionTable()
        self.fleet_load = FleetLoad(self.context, self.endpoints)
        self.health_checks = HealthChecks(self.context, self.endpoints)
        self.slow_start = SlowStart(self.context, self.endpoints, self.connections, self.fleet_load)
        self.setup_limiter = SetupRateLimiter(self.context, self.endpoints, self.connections)
        self._retry_policy = RetryPolicy(self.context)
        self.selector = self._build_selector()
        self.exploration = self._build_exploration()
        self._rebalancer = Rebalancer(self.context, self.connections, self.fleet_load, self.health_checks)
        self._endpoint_watch = EndpointWatch(self.context)
        self._final_answer = FinalAnswer(self.context, self.connections)
        self._attempt_starter = AttemptStarter(self.context, self._retry_policy, self._final_answer)
        self._request_placement = self._build_request_placement()
        self._request_lifecycle = self._build_request_lifecycle()
        self._event_handlers = self._build_event_handlers()
        self._balancer_timer_handlers: Mapping[api.TimerKind, Callable[[], None]] = {
            api.TimerKind.EXPLORATION_SLOT: self.exploration.on_slot,
            api.TimerKind.LOAD_CHECK: self._rebalancer.on_load_check_due,
            api.TimerKind.WATCH_ENDPOINTS: self._endpoint_watch.watch,
        }
        self._connection_timer_handlers: Mapping[api.TimerKind, Callable[[Connection], None]] = {
            api.TimerKind.REPEATED_LOAD_CHECK: self._rebalancer.on_repeated_load_check_due,
            api.TimerKind.REBALANCE: self._rebalancer.on_rebalance_due,
        }

    def _build_selector(self) -> CandidateSelector:
        return CandidateSelector(
            self.context,
            self.endpoints,
            self.fleet_load,
            self.health_checks,
            self.slow_start,
            self._retry_policy,
        )

    def _build_exploration(self) -> Exploration:
        return Exploration(
            self.context,
            self.endpoints,
            self.connections,
            self.fleet_load,
            self.health_checks,
            self.selector,
        )

    def _build_request_placement(self) -> RequestPlacement:
        return RequestPlacement(
            self.context,
            self.fleet_load,
            self.health_checks,
            self.selector,
            self._retry_policy,
            self.setup_limiter,
            self._attempt_starter,
            self._final_answer,
        )

    def _build_request_lifecycle(self) -> RequestLifecycle:
        return RequestLifecycle(
            self.context,
            self.connections,
            self.selector,
            self._retry_policy,
            self.setup_limiter,
            EarlyRejection(self.context, self.fleet_load),
            self.exploration,
            self._request_placement,
            self._attempt_starter,
            self._final_answer,
        )

    def _build_event_handlers(self) -> Mapping[type, Callable[[Any], None]]:
        return {
            api.EndpointUpdate: self._on_endpoint_update,
            api.Request: self._request_lifecycle.on_request,
            api.ExistingConnection: self._on_existing_connection,
            api.Established: self._request_lifecycle.on_established,
            api.AttemptEnded: self._request_lifecycle.on_attempt_ended,
            api.ClientDisconnected: self._request_lifecycle.on_client_disconnected,
            api.HealthCheckResult: self._on_health_check,
            api.TimerFired: self._on_timer,
            api.MessageLatencyChanged: self._on_message_latency,
            api.ConnectionLoadChanged: self._on_connection_load,
            api.ShutdownStarted: self._request_lifecycle.on_shutdown,
        }

    @property
    def servers(self) -> Mapping[str, Server]:
        """The servers that discovery has listed, by name."""
        return self.endpoints.servers

    @property
    def settings(self) -> api.Settings:
        """The current settings."""
        return self.context.settings

    def configure(self, settings: api.Settings) -> None:
        """Apply these settings from the next event on; timers that are already set are not changed."""
        self.context.configure(settings)

    def start(self, now_us: int) -> list[api.Action]:
        """Start the timers; called once, before any event. Return the actions to execute."""
        self.context.begin_event(now_us)
        self.setup_limiter.start()
        self.exploration.start()
        self._rebalancer.start()
        self._endpoint_watch.start()
        return self.context.actions

    def handle(self, now_us: int, event: api.Event) -> list[api.Action]:
        """Handle one event at this time. Return the actions to execute.

        An event about a connection or a server that is not known is ignored.
        """
        self.context.begin_event(now_us)
        self.fleet_load.begin_event()
        self._event_handlers[type(event)](event)
        return self.context.actions

    def _on_endpoint_update(self, event: api.EndpointUpdate) -> None:
        if event.kind == api.EndpointUpdateKind.FAILED:
            self._endpoint_watch.on_failure()
            return
        self._rebalancer.on_endpoints_changed()
        self._endpoint_watch.on_update(event.kind)
        if event.kind == api.EndpointUpdateKind.MOVED:
            return
        for server in self.endpoints.update(event):
            self.slow_start.begin(server)

    def _on_existing_connection(self, event: api.ExistingConnection) -> None:
        if server := self.endpoints.servers.get(event.server):
            self._request_lifecycle.on_existing(event, server)

    def _on_health_check(self, event: api.HealthCheckResult) -> None:
        server = self.health_checks.on_result(event)
        if server and event.outcome.is_ok:
            self._rebalancer.on_health_check_succeeded(server)

    def _on_message_latency(self, event: api.MessageLatencyChanged) -> None:
        if connection := self.connections.get(event.id):
            self._rebalancer.on_message_latency(connection, event.latency_ms)

    def _on_connection_load(self, event: api.ConnectionLoadChanged) -> None:
        if connection := self.connections.get(event.id):
            connection.record_load(event.load)

    def _on_timer(self, event: api.TimerFired) -> None:
        token = event.token
        if handler := self._balancer_timer_handlers.get(token.kind):
            handler()
        elif connection := self.connections.get(token.connection_id):
            self._on_connection_timer(token, connection)

    def _on_connection_timer(self, token: api.TimerToken, connection: Connection) -> None:
        if token.kind is api.TimerKind.CANDIDATE_TIMEOUT:
            self._request_placement.on_timeout(connection, token.due_us)
        elif connection.is_established:
            self._connection_timer_handlers[token.kind](connection)
