"""The state of one balancer: servers, connections, explorations. Nothing here decides."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field, replace
from random import Random
from typing import TypeAlias
from zlib import crc32

from wheatstile import interface as api
from wheatstile.decisions.lookup_table import WeightedLookupTable
from wheatstile.decisions.token_bucket import AdaptiveTokenBucket

_CANDIDATE_TIMEOUT = api.TimerKind.CANDIDATE_TIMEOUT  # looked up once, as each request sets this timer


@dataclass(slots=True, eq=False)
class Server:
    """What this balancer knows of one server."""

    endpoint: api.Endpoint
    name_hash: int
    acceptance_ratio: float = 1.0  # of the draws that meet its entries in the lookup table
    slow_start_tokens: float = 0.0  # this balancer's part of the budget
    slow_start_tokens_at_us: int = 0  # when they last grew
    slow_start_chance: float = 1.0  # drawn from 0 to 1: a part of a request above it lets one pass; 1: used
    slow_start_chance_until_us: int = 0
    last_attempt_at_us: int = -1
    load: float | None = None  # over capacity, as last read; None: unknown, not idle
    load_read_at_us: int = 0
    is_being_checked: bool = False
    waiting_for_check: list["CheckWaiter"] = field(default_factory=list)
    rebalanced_until_us: int = 0
    message_latency_ms: float = 0.0
    least_load: float = 0.0  # proved by a latency that grows, whatever late reports say
    ejected_until_us: int = 0
    consecutive_failures: int = 0

    def record_load(self, load: float | None, now_us: int) -> None:
        """Keep a load that was read; None: the report did not tell it."""
        self.load = load
        self.load_read_at_us = now_us


@dataclass(frozen=True, slots=True)
class FirstForward:
    """The first attempt that may have run."""

    at_us: int
    server: Server


@dataclass(slots=True, eq=False)
class Connection:
    """A request that waits for its answer, or the open connection that it became."""

    id: str
    key: str  # of the client
    service_class: api.ServiceClass
    deadline_us: int
    is_retry: bool  # a setup that was tried before, by this balancer or another
    placement_hash: int = 0  # of the affinity group or the client's key; 0: random draws
    attempts: int = 0
    server: Server | None = None  # of the attempt in flight, or of the open connection
    attempt_in_flight: bool = False
    candidates: list[Server] = field(default_factory=list)  # whose health checks it waits for
    candidate_draws: int = 0
    next_decision_at_us: int = 0
    exploration: "Exploration | None" = None  # that brought it here
    established_at_us: int = 0
    load: float = 1.0  # on its server, as last reported
    first_forwarded: FirstForward | None = None

    @property
    def repeat_window_end_us(self) -> int | None:
        """When a repeat stops being harmless; None if that time is not limited."""
        first = self.first_forwarded
        if first is None or self.service_class.idempotency is api.Idempotency.IDEMPOTENT:
            return None
        return first.at_us + int(self.service_class.repeat_window_us)

    def is_past_repeat_window(self, now_us: int) -> bool:
        """Whether an attempt may have run and a repeat would not be discarded any more."""
        end_us = self.repeat_window_end_us
        return end_us is not None and now_us >= end_us


@dataclass(slots=True, eq=False)
class Exploration:
    """One move of an open connection: from a server whose load was read before to a drawn one, or back."""

    origin: Server
    target: Server
    x_i: float
    gamma: float
    expires_at_us: int = 0
    is_return: bool = False


CheckCallback: TypeAlias = Callable[["BalancerState", Connection], None]
CheckWaiter: TypeAlias = tuple[CheckCallback, Connection]


@dataclass(slots=True, eq=False)
class BalancerState:
    """All that the decisions of one balancer share."""

    settings: api.Settings
    random: Random
    now_us: int = 0
    actions: list[api.Action] = field(default_factory=list)  # of the event in hand
    servers: dict[str, Server] = field(default_factory=dict)
    ready: list[Server] = field(default_factory=list)
    table: WeightedLookupTable[Server] = field(default_factory=lambda: WeightedLookupTable([], []))
    connections: dict[str, Connection] = field(default_factory=dict)
    established: dict[Connection, None] = field(default_factory=dict)
    pending_migrations: dict[str, Exploration] = field(default_factory=dict)  # by client key
    slot: int = 0  # the clock t
    setup_limiter: AdaptiveTokenBucket = field(default_factory=lambda: AdaptiveTokenBucket(0, 0, 0, 0, 0))
    peak_connections: float = 0.0
    load_check_interval_us: int = 0
    discovery_backoff_us: int = 0
    mean_load: float | None = None  # once it was asked for during the event in hand
    is_shutting_down: bool = False

    @property
    def health_checks_enabled(self) -> bool:
        """Whether servers can be asked for their load."""
        return self.settings.health_checks_enabled and bool(self.settings.load_metrics)

    def set_timer(self, delay_us: int, kind: api.TimerKind, connection_id: str = "", due_us: int = 0) -> None:
        """Request a timer."""
        self.actions.append(api.SetTimer(delay_us, api.TimerToken(kind, connection_id, due_us)))

    def set_jittered_timer(self, longest_us: float, kind: api.TimerKind, connection_id: str = "") -> None:
        """Request a timer with a delay drawn uniformly from 0 to this time."""
        self.set_timer(1 + int(self.random.random() * longest_us), kind, connection_id)

    def follow(self, event: api.EndpointUpdate) -> Iterator[tuple[Server, api.Endpoint, bool]]:
        """Take the list or its changes.

        Yields each server named, before its endpoint is replaced, the new endpoint, and whether the process
        is a new one.
        """
        for endpoint in event.endpoints:
            server = self._server_of(endpoint)
            has_restarted = server.endpoint.started_at_us != endpoint.started_at_us
            yield server, endpoint, has_restarted or server.slow_start_tokens_at_us == 0
            server.endpoint = endpoint
        if event.kind != api.EndpointUpdateKind.DELTA:
            self._mark_absent_as_gone(event.endpoints)
        self.ready = [server for _, server in sorted(self.servers.items()) if server.endpoint.is_ready]
        self.table = WeightedLookupTable(self.ready, [server.endpoint.weight for server in self.ready])

    def _server_of(self, endpoint: api.Endpoint) -> Server:
        server = self.servers.get(endpoint.name)
        if server is None:
            server = Server(endpoint, crc32(endpoint.name.encode()))
            self.servers[endpoint.name] = server
        return server

    def _mark_absent_as_gone(self, listed: list[api.Endpoint]) -> None:
        for name in self.servers.keys() - {endpoint.name for endpoint in listed}:
            server = self.servers[name]
            server.endpoint = replace(server.endpoint, state=api.EndpointState.GONE)

    def check(self, server: Server, callback: CheckCallback, connection: Connection) -> None:
        """Read a server's load, or join the health check in flight; the callback is called at its end.

        Where servers cannot be asked, it is called at once.
        """
        if not self.health_checks_enabled:
            callback(self, connection)
            return
        server.waiting_for_check.append((callback, connection))
        if not server.is_being_checked:
            server.is_being_checked = True
            self.actions.append(api.CheckHealth(server.endpoint.name))

    def check_server_of(self, connection: Connection, callback: CheckCallback) -> None:
        """Read the load of a connection's server."""
        if connection.server:
            self.check(connection.server, callback, connection)

    def take_check_waiters(self, server: Server) -> list[CheckWaiter]:
        """A health check has ended: whoever waits for it."""
        waiters = server.waiting_for_check
        server.waiting_for_check = []
        server.is_being_checked = False
        return waiters

    def add_connection(
        self, event: api.Request | api.ExistingConnection, deadline_us: int, is_retry: bool
    ) -> Connection:
        """The record of this connection; an unknown class counts as the first one."""
        classes = self.settings.classes
        service_class = classes.get(event.service_class) or next(iter(classes.values()))
        connection = Connection(event.id, event.key, service_class, deadline_us, is_retry)
        return self.connections.setdefault(event.id, connection)

    def restore(self, event: api.ExistingConnection) -> None:
        """Take over a connection that was open before this balancer started."""
        if event.server in self.servers:
            connection = self.add_connection(event, 0, False)
            connection.server = self.servers[event.server]
            connection.attempts = 1
            connection.attempt_in_flight = False
            self.established[connection] = None

    def establish(self, event: api.Established) -> None:
        """The attempt in flight has succeeded."""
        connection = self.connections.get(event.id)
        if connection and connection.attempt_in_flight and connection.server:
            connection.server.consecutive_failures = 0
            connection.attempt_in_flight = False
            connection.established_at_us = self.now_us
            self.established[connection] = None

    def defer(self, connection: Connection, delay_us: int) -> None:
        """Decide on it later, by its deadline at the latest.

        Only its last timer counts, else each would start a chain of decisions of its own.
        """
        delay_us = max(1, min(delay_us, connection.deadline_us - self.now_us))
        connection.next_decision_at_us = self.now_us + delay_us
        self.set_timer(delay_us, _CANDIDATE_TIMEOUT, connection.id, connection.next_decision_at_us)

    def forget(self, id: str) -> None:
        """Drop a connection that is over, or whose client has left."""
        if connection := self.connections.pop(id, None):
            self.established.pop(connection, None)

    def is_waiting(self, connection: Connection) -> bool:
        """Whether it is held for a decision: neither answered nor established, and no attempt in flight."""
        is_unanswered = connection.id in self.connections and connection not in self.established
        return is_unanswered and not connection.attempt_in_flight

    def connections_at(self, server: Server | None) -> list[Connection]:
        """The open connections of this server."""
        return [connection for connection in self.established if connection.server is server]

    def unanswered(self) -> list[Connection]:
        """Those that are owed an answer."""
        return [one for one in self.connections.values() if one not in self.established]

    def connection_of_attempt(self, event: api.AttemptEnded) -> Connection | None:
        """The connection whose last attempt this is, if it is in flight or established."""
        connection = self.connections.get(event.id)
        if connection is None or connection.attempts != event.attempt + 1:
            return None
        is_current = connection.attempt_in_flight or connection in self.established
        return connection if is_current else None

    def begin_attempt(self, connection: Connection, server: Server) -> None:
        """An attempt goes to this server, and counts in what it may be sent in slow start."""
        connection.server = server
        connection.attempt_in_flight = True
        connection.candidates = []
        connection.attempts += 1
        server.slow_start_tokens -= 1.0
        server.slow_start_chance = 1.0
        server.last_attempt_at_us = self.now_us

    def end_attempt(self, connection: Connection, event: api.AttemptEnded) -> None:
        """The attempt in flight has ended, and the request needs another or an answer."""
        connection.attempt_in_flight = False
        connection.exploration = None
        connection.is_retry = True
        if connection.server and not connection.first_forwarded and event.outcome.may_have_run:
            connection.first_forwarded = FirstForward(self.now_us - event.elapsed_us, connection.server)

    def migrate(
        self, connection: Connection, move: Exploration | None = None, expires_in_us: int = 0
    ) -> None:
        """Close an open connection politely, and know its client again for this time if it explores."""
        if move and connection.key:
            move.expires_at_us = self.now_us + expires_in_us
            self.pending_migrations[connection.key] = move
        self.actions.append(api.Migrate(connection.id))
        self.forget(connection.id)

    def expire_migrations(self) -> None:
        """Forget the clients that did not come back in time."""
        pending = self.pending_migrations.items()
        self.pending_migrations = {key: move for key, move in pending if move.expires_at_us > self.now_us}
