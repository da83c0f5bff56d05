"""The decision module of one balancer: events in, actions out (wheatstile/interface/).

A new connection goes to the better of two random servers by checked load over capacity; in every other slot
each connection explores a uniformly drawn server with probability gamma, and in the slot after it the ratio
rule says whether it goes back. docs/design.md explains the rest. This module only passes events on to the
modules beside it, which decide.
"""

from collections.abc import Callable, Mapping
from random import Random
from typing import Any

from wheatstile import interface as api
from wheatstile.decisions import admission, endpoint_list, exploration, health, rebalancing, requests
from wheatstile.decisions.state import BalancerState, Connection, Server


class Balancer:
    """The decisions of one balancer, from what it alone is told."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.state = BalancerState(settings, Random(seed))
        state = self.state
        self._handlers: Mapping[type, Callable[[Any], None]] = {
            api.EndpointUpdate: self._on_endpoints,
            api.Request: lambda event: requests.on_request(state, event),
            api.ExistingConnection: state.restore,
            api.Established: state.establish,
            api.AttemptEnded: lambda event: requests.on_attempt_ended(state, event),
            api.ClientDisconnected: lambda event: state.forget(event.id),
            api.HealthCheckResult: self._on_health_check,
            api.TimerFired: self._on_timer,
            api.MessageLatencyChanged: self._on_message_latency,
            api.ConnectionLoadChanged: self._on_connection_load,
            api.ShutdownStarted: lambda _: requests.on_shutdown(state),
        }

    @property
    def servers(self) -> Mapping[str, Server]:
        """The servers that this balancer has heard of, by name."""
        return self.state.servers

    @property
    def settings(self) -> api.Settings:
        """The settings in force."""
        return self.state.settings

    def configure(self, settings: api.Settings) -> None:
        """These settings count from the next event on; what `start` has set going keeps its ways."""
        self.state.settings = settings

    def start(self, now_us: int) -> list[api.Action]:
        """Call once, before any event: sets the timers going that the settings ask for."""
        self.state.now_us = now_us
        self.state.actions = []
        admission.start(self.state)
        exploration.start(self.state)
        rebalancing.start(self.state)
        endpoint_list.start(self.state)
        return self.state.actions

    def handle(self, now_us: int, event: api.Event) -> list[api.Action]:
        """Take one event at this time and say what to do. What is no longer held is passed over."""
        self.state.now_us = now_us
        self.state.actions = []
        self.state.mean_load = None
        handler = self._handlers.get(type(event))
        if handler:
            handler(event)
        return self.state.actions

    def _on_endpoints(self, event: api.EndpointUpdate) -> None:
        if event.kind == api.EndpointUpdateKind.FAILED:
            endpoint_list.on_failure(self.state)
            return
        rebalancing.on_endpoints_changed(self.state)
        endpoint_list.on_update(self.state, event)

    def _on_health_check(self, event: api.HealthCheckResult) -> None:
        server = self.state.servers.get(event.server)
        if server is None or not server.is_being_checked:
            return
        waiters = self.state.take_check_waiters(server)
        health.on_result(self.state, server, event)
        for callback, connection in waiters:
            callback(self.state, connection)
        if event.outcome.is_ok:
            rebalancing.on_server_read(self.state, server)

    def _on_message_latency(self, event: api.MessageLatencyChanged) -> None:
        if connection := self.state.connections.get(event.id):
            rebalancing.on_latency(self.state, connection, event.latency_ms)

    def _on_connection_load(self, event: api.ConnectionLoadChanged) -> None:
        if connection := self.state.connections.get(event.id):
            connection.load = event.load

    def _on_timer(self, event: api.TimerFired) -> None:
        token = event.token
        if token.kind is api.TimerKind.EXPLORATION_SLOT:
            exploration.on_slot(self.state)
        elif token.kind is api.TimerKind.LOAD_CHECK:
            rebalancing.on_load_check_due(self.state)
        elif token.kind is api.TimerKind.WATCH_ENDPOINTS:
            self.state.actions.append(api.WatchEndpoints())
        elif connection := self.state.connections.get(token.connection_id):
            self._on_connection_timer(token, connection)

    def _on_connection_timer(self, token: api.TimerToken, connection: Connection) -> None:
        if token.kind is api.TimerKind.CANDIDATE_TIMEOUT:
            if token.due_us == connection.next_decision_at_us:  # else a later timer was set
                requests.choose_candidate(self.state, connection, is_expired=True)
        elif connection in self.state.established:
            is_check = token.kind is api.TimerKind.REPEATED_LOAD_CHECK
            callback = rebalancing.on_load_read if is_check else rebalancing.rebalance
            self.state.check_server_of(connection, callback)
