"""A model of a fleet: many balancers and simple servers, to test the effects of all balancers together.

The load of a server is its open connections divided by its current capacity. A health check reports
the last load that was sampled at least REPORT_AGE_US before, or else the first sample. Events are dispatched
from one heap in the order of their times, and every random choice is drawn from the seed, so that each run
gives the same result.
"""

import heapq
from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass
from itertools import count
from random import Random

from support.balancer_harness import SECOND_US, START_US, settings
from wheatstile import Balancer
from wheatstile import interface as api

REPORT_AGE_US = 300_000
ROUND_TRIP_US = 2_000
DISCOVERY_SPREAD_US = SECOND_US // 2  # time until all balancers have received an update
RETRY_DELAY_US = SECOND_US  # time until a rejected client retries


@dataclass(frozen=True)
class OpenConnection:
    """The balancer and the server of an open connection."""

    balancer: int
    server: str


@dataclass(frozen=True)
class Attempt:
    """One attempt at a server."""

    at_us: int
    server: str


@dataclass(frozen=True)
class LoadSample:
    """The load of a server at one time."""

    at_us: int
    load: float


class FleetModel:
    """The balancers of a fleet, identified by number, and its servers, identified by name.

    Rejected and migrated clients reconnect at a random balancer.
    """

    def __init__(
        self, balancers: int, servers: list[str], capacity: int, seed: int, **changes: object
    ) -> None:
        self.now_us = START_US
        self.random = Random(seed)
        self.capacity = capacity  # number of connections that fill one server
        self.settings = settings(fleet_size=balancers, reports_message_latency=False, **changes)
        self.endpoints = {name: api.Endpoint(name, api.EndpointState.READY, "here") for name in servers}
        self.connection_counts: Counter[str] = Counter()  # open connections, keyed by server
        self.connections: dict[str, OpenConnection] = {}  # keyed by id
        self.attempts: list[Attempt] = []
        self.waiting: set[str] = set()  # requests without a connection
        self._load_samples: dict[str, list[LoadSample]] = defaultdict(list)  # keyed by server
        self._attempt_counts: Counter[str] = Counter()  # keyed by request
        self._event_queue: list[tuple[int, int, Callable[[], None]]] = []
        self._sequence_numbers = count()
        self._ids = count()
        self.balancers: list[Balancer] = []
        for number in range(balancers):
            self._start_balancer(number)

    def _start_balancer(self, number: int) -> None:
        balancer = Balancer(self.settings, self.random.getrandbits(32))
        self.balancers.append(balancer)
        self._execute(number, balancer.start(self.now_us))
        endpoints = list(self.endpoints.values())
        self.dispatch(number, api.EndpointUpdate(api.EndpointUpdateKind.CACHED, endpoints))

    def run(self, duration_us: int) -> None:
        """Advance the time by this duration, and run the events that are due."""
        end_us = self.now_us + duration_us
        while self._event_queue and self._event_queue[0][0] <= end_us:
            self.now_us, _, callback = heapq.heappop(self._event_queue)
            callback()
        self.now_us = end_us

    def update_endpoints(self, *changed: api.Endpoint) -> None:
        """Dispatch these changes to every balancer, each after its own random delay."""
        self.endpoints |= {endpoint.name: endpoint for endpoint in changed}
        event = api.EndpointUpdate(api.EndpointUpdateKind.DELTA, list(changed))
        for number in range(len(self.balancers)):
            self._schedule_dispatch(self.random.randrange(DISCOVERY_SPREAD_US), number, lambda: event)

    def schedule_request(self, delay_us: int, reconnecting: bool = False) -> None:
        """Schedule a request for a connection at a random balancer."""
        self._schedule(delay_us, lambda: self._request(reconnecting))

    def end_connection(self, id: str) -> None:
        """End an open connection, and report it to its balancer."""
        connection = self.connections.pop(id)
        self.connection_counts[connection.server] -= 1
        attempt = max(0, self._attempt_counts[id] - 1)
        outcome = api.AttemptOutcome.CANCELLED
        self.dispatch(
            connection.balancer, api.AttemptEnded(id, attempt, connection.server, outcome, closed=True)
        )

    def connect_at_each_server(self, number: int) -> None:
        """Add existing connections at each server, distributed over the balancers."""
        for server in self.endpoints:
            for index in range(number):
                id = f"o{next(self._ids)}"
                balancer = index % len(self.balancers)
                self.connection_counts[server] += 1
                self.connections[id] = OpenConnection(balancer, server)
                self.dispatch(balancer, api.ExistingConnection(id, "web", server, id))

    def max_attempts_within(self, server: str, window_us: int) -> int:
        """Return the maximum number of attempts at a server within any window of this length."""
        times = [attempt.at_us for attempt in self.attempts if attempt.server == server]
        counts = (sum(start_us <= time_us < start_us + window_us for time_us in times) for start_us in times)
        return max(counts, default=0)

    def dispatch(self, number: int, event: api.Event) -> None:
        """Have a balancer handle an event now."""
        self._execute(number, self.balancers[number].handle(self.now_us, event))

    def _schedule(self, delay_us: int, callback: Callable[[], None]) -> None:
        heapq.heappush(self._event_queue, (self.now_us + delay_us, next(self._sequence_numbers), callback))

    def _schedule_dispatch(self, delay_us: int, number: int, event: Callable[[], api.Event]) -> None:
        self._schedule(delay_us, lambda: self.dispatch(number, event()))

    def _request(self, reconnecting: bool) -> None:
        id = f"c{next(self._ids)}"
        self.waiting.add(id)
        request = api.Request(id, "web", 2 * SECOND_US, key=id, affinity_group=id, reconnecting=reconnecting)
        self.dispatch(self.random.choice(range(len(self.balancers))), request)

    def _execute(self, number: int, actions: list[api.Action]) -> None:
        for action in actions:
            match action:
                case api.SetTimer():
                    self._schedule_dispatch(action.delay_us, number, self._timer_event(action))
                case api.CheckHealth():
                    self._schedule_dispatch(ROUND_TRIP_US, number, self._check_event(action))
                case api.StartAttempt():
                    self.attempts.append(Attempt(self.now_us, action.server))
                    self._schedule_dispatch(ROUND_TRIP_US, number, self._attempt_event(number, action))
                case api.Reject():
                    self._reject(action.id)
                case api.Migrate() if action.id in self.connections:  # otherwise its server has just ended it
                    self.end_connection(action.id)
                    self.schedule_request(100_000 + self.random.randrange(SECOND_US), reconnecting=True)

    def _reject(self, id: str) -> None:
        self._schedule(RETRY_DELAY_US, lambda: self.waiting.discard(id))
        self.schedule_request(RETRY_DELAY_US, reconnecting=True)

    @staticmethod
    def _timer_event(action: api.SetTimer) -> Callable[[], api.Event]:
        return lambda: api.TimerFired(action.token)

    def _check_event(self, action: api.CheckHealth) -> Callable[[], api.Event]:
        return lambda: self._health_check_result(action.server)

    def _attempt_event(self, number: int, action: api.StartAttempt) -> Callable[[], api.Event]:
        return lambda: self._establish(number, action.id, action.server)

    def _health_check_result(self, server: str) -> api.Event:
        samples = self._load_samples[server]
        samples.append(LoadSample(self.now_us, self._load(server)))
        old = [sample for sample in samples if sample.at_us <= self.now_us - REPORT_AGE_US]
        reported = old[-1] if old else samples[0]
        report = {"load": reported.load}
        return api.HealthCheckResult(server, api.AttemptOutcome.OK, ROUND_TRIP_US, report)

    def _load(self, server: str) -> float:
        """Return the open connections of a server, divided by its current capacity."""
        started_at_us = self.endpoints[server].started_at_us
        relative_age = (
            (self.now_us - started_at_us) / self.settings.slow_start_duration_us if started_at_us else 1.0
        )
        share = min(1.0, max(self.settings.slow_start_initial_capacity, relative_age))
        return self.connection_counts[server] / self.capacity / share

    def _establish(self, number: int, id: str, server: str) -> api.Event:
        attempt = self._attempt_counts[id]
        self._attempt_counts[id] += 1
        self.connection_counts[server] += 1
        self.waiting.discard(id)
        self.connections[id] = OpenConnection(number, server)
        return api.Established(id, attempt, server, ROUND_TRIP_US)
