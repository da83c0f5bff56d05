"""The environment of one decision module in a replay: clients, servers and discovery, drawn from a seed.

The events are random, and respond to the actions of the module: health checks get results, attempts end with
every outcome, timers fire.
"""

from dataclasses import replace
from random import Random

from support.replay_state import ReplayState, Session
from wheatstile import Balancer
from wheatstile import interface as api

SECOND_US = 1_000_000
START_US = 1_000 * SECOND_US
OUTCOMES = tuple(api.AttemptOutcome)
SERVER_NAMES = tuple(f"s{number}" for number in range(14))
INITIAL_SERVERS = SERVER_NAMES[:8]
UNLISTED_SERVER = "never_listed"
ZONES = ("north", "south")
INITIAL_CONNECTIONS = 300  # many, since exploration migrates few of them
MEAN_STEP_US = 40_000
MEAN_BURST_STEP_US = 2_000  # mean step during a reconnect burst
REPORTS: tuple[api.LoadReport, ...] = (
    {"load": 0.3},
    {"load": 0.65},
    {"load": 0.9},
    {"load": 0.896},
    {"load": 1.4},
    {"busy": 0.5},
    {"backlog_s": 0.2},
    {"inflight": 40.0},
    {"queue": 900.0},
    {"latency_ms": 7.0},
    {},
)
HIGH_LOAD_REPORTS = REPORTS[2:5]
UNKNOWN_ID = "nobody"
EVENTS_WITH_UNKNOWN_IDS: tuple[api.Event, ...] = (
    api.ClientDisconnected(UNKNOWN_ID),
    api.Established(UNKNOWN_ID, 0, "s0", 1),
    api.AttemptEnded(UNKNOWN_ID, 0, "s0", api.AttemptOutcome.RESET),
    api.HealthCheckResult(UNKNOWN_ID, api.AttemptOutcome.OK),
    api.ConnectionLoadChanged(UNKNOWN_ID, "s0", 1.0),
    api.MessageLatencyChanged(UNKNOWN_ID, "s0", 99.0),
    api.TimerFired(api.TimerToken(api.TimerKind.CANDIDATE_TIMEOUT, UNKNOWN_ID, 1)),
)


class ReplayEnvironment:
    """Draws the events of one instance. The digest depends on the order of the draws."""

    def __init__(self, settings: api.Settings, seed: int, shutdown_at_step: int) -> None:
        self._settings = settings
        self._seed = seed
        self._shutdown_at_step = shutdown_at_step
        self._random = Random(seed)
        self._balancer = Balancer(settings, seed)
        self._state = ReplayState()
        self._now_us = START_US
        self._servers_are_full = False
        self._is_mostly_failing = False
        self._mean_step_us = MEAN_STEP_US
        # The events that are possible in a step, with their weights.
        self._weighted_events = {
            self._request: 30,
            self._answer_check: 45,
            self._end_attempt: 25,
            self._end_connection: 4,
            self._disconnect_client: 1.5,
            self._update_endpoints: 1,
            self._report_latency: 6,
            self._report_load: 3,
            self._open_connection: 2,
            self._dispatch_events_with_unknown_ids: 1,
        }

    def run(self, steps: int) -> list[str]:
        """Run this number of steps. Return one line of text for each action of the module."""
        self._state.record(self._now_us, self._balancer.start(self._now_us))
        listed = [self._draw_endpoint(name) for name in INITIAL_SERVERS]
        self._dispatch(api.EndpointUpdate(api.EndpointUpdateKind.CACHED, listed))
        for _ in range(INITIAL_CONNECTIONS):
            self._open_connection()
        for step in range(steps):
            self._run_step(step)
        return self._state.lines

    def _run_step(self, step: int) -> None:
        """Advance the time by a random interval, then dispatch one random event."""
        if step % 700 == 0:
            self._draw_conditions()
        if step % 997 == 500:
            self._change_settings()
        if step == self._shutdown_at_step:
            self._dispatch(api.ShutdownStarted())
        self._now_us += int(self._random.expovariate(1 / self._mean_step_us))
        for timer in self._state.pop_due_timers(self._now_us):
            self._dispatch(api.TimerFired(timer.token))
        events = list(self._weighted_events)
        weights = list(self._weighted_events.values())
        self._random.choices(events, weights)[0]()

    def _draw_conditions(self) -> None:
        self._servers_are_full = bool(self._random.randrange(2))
        self._is_mostly_failing = self._random.random() < 0.3
        is_burst = self._random.random() < 0.2
        self._mean_step_us = MEAN_BURST_STEP_US if is_burst else MEAN_STEP_US

    def _change_settings(self) -> None:
        max_attempts = self._random.randint(1, 4)
        cross_zone_cost = self._random.choice([0.0, 0.1])
        changed = replace(self._settings, max_attempts=max_attempts, cross_zone_cost=cross_zone_cost)
        self._balancer.configure(changed)

    def _dispatch(self, event: api.Event) -> None:
        self._state.record(self._now_us, self._balancer.handle(self._now_us, event))

    def _draw_endpoint(self, name: str) -> api.Endpoint:
        is_weighted = self._seed % 2 == 0
        started_at_us = 0
        if self._random.random() < 0.4:
            started_at_us = self._now_us - self._random.randrange(15 * SECOND_US)
        return api.Endpoint(
            name,
            self._random.choices(list(api.EndpointState), [8, 1, 1])[0],
            self._random.choice(ZONES),
            self._random.randrange(3),
            self._random.choice([0.5, 1.0, 3.0]) if is_weighted else 1.0,
            started_at_us,
        )

    def _request(self) -> None:
        id = self._new_id("r")
        is_reconnecting = self._random.random() < 0.3
        key = self._random.choice(["", f"k{self._random.randrange(60)}"])
        if self._state.migrated_keys and self._random.random() < 0.8:
            key = self._state.migrated_keys.pop()
            is_reconnecting = True
        if self._state.sessions and self._random.random() < 0.01:
            id = next(iter(self._state.sessions))  # repeats the id of a known request
        self._state.sessions.setdefault(id, Session(id, key))
        self._dispatch(
            api.Request(
                id,
                self._random.choice([*self._settings.classes, "unknown"]),
                self._random.choice([0, 5_000, 300_000, SECOND_US, 3 * SECOND_US]),
                key,
                midflow=self._random.random() < 0.1,
                reconnecting=is_reconnecting,
                client_retry=self._random.random() < 0.2,
                affinity_group=self._random.choice(["", f"g{self._random.randrange(5)}"]),
            )
        )

    def _new_id(self, prefix: str) -> str:
        return f"{prefix}{len(self._state.lines)}-{self._random.randrange(1000)}"

    def _answer_check(self) -> None:
        checks = self._state.pending_checks
        if not checks:
            return
        name = checks.pop(self._random.randrange(len(checks)))
        if self._random.random() < (0.6 if self._is_mostly_failing else 0.12):
            outcome = self._random.choice(OUTCOMES[1:])
            self._dispatch(api.HealthCheckResult(name, outcome, 2_000))
            return
        report = self._random.choice(HIGH_LOAD_REPORTS if self._servers_are_full else REPORTS)
        self._dispatch(api.HealthCheckResult(name, api.AttemptOutcome.OK, 900, dict(report)))

    def _end_attempt(self) -> None:
        attempting = self._state.attempting_sessions()
        if not attempting:
            return
        session = self._random.choice(attempting)
        elapsed_us = self._random.randrange(400_000)
        if self._random.random() < (0.2 if self._is_mostly_failing else 0.75):
            session.established = True
            self._dispatch(api.Established(session.id, session.attempt, session.server, elapsed_us))
            return
        outcome = self._random.choice(OUTCOMES)
        closed = self._random.random() < 0.1
        self._finish(session, outcome, elapsed_us, closed)

    def _finish(self, session: Session, outcome: api.AttemptOutcome, elapsed_us: int, closed: bool) -> None:
        report = dict(self._random.choice(REPORTS)) if self._random.random() < 0.3 else None
        event = api.AttemptEnded(
            session.id, session.attempt, session.server, outcome, elapsed_us, closed, report
        )
        if closed or outcome is api.AttemptOutcome.OK or session.established:
            self._state.sessions.pop(session.id)
        session.attempt += 1
        session.server = ""
        self._dispatch(event)

    def _end_connection(self) -> None:
        established = self._state.established_sessions()
        if established:
            self._finish(self._random.choice(established), self._random.choice(OUTCOMES), 0, True)

    def _disconnect_client(self) -> None:
        if self._state.sessions:
            id = self._random.choice(list(self._state.sessions))
            self._state.sessions.pop(id)
            self._dispatch(api.ClientDisconnected(id))

    def _update_endpoints(self) -> None:
        kind = self._random.choices(list(api.EndpointUpdateKind), [6, 2, 1, 3, 1])[0]
        if kind in (api.EndpointUpdateKind.FAILED, api.EndpointUpdateKind.MOVED):
            self._dispatch(api.EndpointUpdate(kind))
            return
        max_count = 3 if kind is api.EndpointUpdateKind.DELTA else len(SERVER_NAMES)
        names = self._random.sample(SERVER_NAMES, self._random.randint(0, max_count))
        self._dispatch(api.EndpointUpdate(kind, [self._draw_endpoint(name) for name in names]))

    def _report_latency(self) -> None:
        if self._state.sessions:
            session = self._draw_session()
            latency_ms = self._random.choice([1.0, 30.0, 60.0, 200.0])
            self._dispatch(api.MessageLatencyChanged(session.id, session.server, latency_ms))

    def _report_load(self) -> None:
        if self._state.sessions:
            session = self._draw_session()
            load = self._random.random() * 10
            self._dispatch(api.ConnectionLoadChanged(session.id, session.server, load))

    def _draw_session(self) -> Session:
        return self._random.choice(list(self._state.sessions.values()))

    def _open_connection(self) -> None:
        id = self._new_id("o")
        server = self._random.choice([*INITIAL_SERVERS, UNLISTED_SERVER])
        if server != UNLISTED_SERVER:
            self._state.sessions[id] = Session(id, f"k-{id}", 0, server, established=True)
        service_class = self._random.choice([*self._settings.classes])
        self._dispatch(api.ExistingConnection(id, service_class, server, f"k-{id}"))

    def _dispatch_events_with_unknown_ids(self) -> None:
        for event in EVENTS_WITH_UNKNOWN_IDS:
            self._dispatch(event)
