"""A seeded, closed-loop input for the decision module, and the text of everything it answers.

The events are drawn from a generator of their own, and follow up what the module asked for: health checks
are answered, attempts end in every outcome, timers fire. The text of the answers names no type of the
program, so that it stays the same through any renaming; its digest is compared in `test_decision_replay.py`.
"""

import hashlib
from collections.abc import Iterator
from dataclasses import dataclass, field, replace
from random import Random

from wheatstile import Balancer
from wheatstile import interface as api
from wheatstile.simulator.wire import timer_text

SECOND_US = 1_000_000
OUTCOMES = tuple(api.AttemptOutcome)
SERVER_NAMES = tuple(f"s{number}" for number in range(14))
ZONES = ("north", "south")
STEPS_PER_INSTANCE = 6_000
FIRST_CONNECTIONS = 300
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

CLASSES = {
    "safe": api.ServiceClass(
        "safe", 300_000, api.Idempotency.IDEMPOTENT, message_latency_objective_us=50_000
    ),
    "keyed_all": api.ServiceClass(
        "keyed_all",
        400_000,
        api.Idempotency.IDEMPOTENCY_KEY,
        api.DeduplicationScope.ALL,
        3 * SECOND_US,
        2.0,
        80_000,
    ),
    "keyed_zone": api.ServiceClass(
        "keyed_zone", 400_000, api.Idempotency.IDEMPOTENCY_KEY, api.DeduplicationScope.ZONE, 2 * SECOND_US
    ),
    "keyed_cell": api.ServiceClass(
        "keyed_cell", 400_000, api.Idempotency.IDEMPOTENCY_KEY, api.DeduplicationScope.CELL, 2 * SECOND_US
    ),
    "unsafe": api.ServiceClass("unsafe", 500_000, api.Idempotency.NON_IDEMPOTENT),
}
BASE = api.Settings(
    fleet_size=4,
    zone="north",
    classes=CLASSES,
    max_attempts=3,
    slow_start_initial_capacity=0.2,
    slow_start_duration_us=12 * SECOND_US,
    slow_start_overload_factor=3.0,
    load_metrics=("load", "busy"),
    retry_after_enabled=True,
    max_retry_after_us=1_200_000,
)
# One instance of the module each: everything that the settings switch is on in one and off in another.
VARIANTS = (
    BASE,
    replace(BASE, reports_message_latency=False, cross_zone_cost=0.08, fleet_size=40),
    replace(
        BASE,
        reports_message_latency=False,
        poll_endpoints=True,
        poll_interval_us=4 * SECOND_US,
        slow_start_overload_window_us=4 * SECOND_US,
    ),
    replace(BASE, health_checks_enabled=False, retry_after_enabled=False),
    replace(BASE, load_metrics=(), max_attempts=1),
    replace(
        BASE,
        reports_message_latency=False,
        fleet_size=1,
        slow_start_overload_factor=9.0,
        slow_start_initial_capacity=0.5,
    ),
)


@dataclass
class Session:
    """What the generator remembers of one request."""

    id: str
    key: str
    attempt: int = 0
    server: str = ""
    established: bool = False


@dataclass
class Neighbourhood:
    """Clients, servers and discovery of one instance, drawn from a seed."""

    settings: api.Settings
    seed: int
    shutdown_at_step: int
    random: Random = field(init=False)
    now_us: int = 1_000 * SECOND_US
    timers: list[tuple[int, int, api.TimerToken]] = field(default_factory=list)
    checks: list[str] = field(default_factory=list)
    sessions: dict[str, Session] = field(default_factory=dict)
    moved_keys: list[str] = field(default_factory=list)
    lines: list[str] = field(default_factory=list)
    load_level: int = 0  # 0: servers idle to busy; 1: mostly full
    mostly_failing: bool = False
    mean_step_us: int = 40_000

    def __post_init__(self) -> None:
        self.random = Random(self.seed)
        self.balancer = Balancer(self.settings, self.seed)

    def play(self) -> Iterator[str]:
        """Yield one line of text for each action of the module."""
        self.take(self.balancer.start(self.now_us))
        self.tell(
            api.EndpointUpdate(api.EndpointUpdateKind.CACHED, [self.entry(name) for name in SERVER_NAMES[:8]])
        )
        for _ in range(FIRST_CONNECTIONS):  # exploration is rare: it takes many connections to be seen
            self.open_connection()
        for step in range(STEPS_PER_INSTANCE):
            self.step(step)
        yield from self.lines

    def step(self, step: int) -> None:
        """Let some time pass, then have one thing happen."""
        if step % 700 == 0:
            self.load_level = self.random.randrange(2)
            self.mostly_failing = self.random.random() < 0.3
            self.mean_step_us = 2_000 if self.random.random() < 0.2 else 40_000  # a reconnect wave, or not
        if step % 997 == 500:
            changed = {
                "max_attempts": self.random.randint(1, 4),
                "cross_zone_cost": self.random.choice([0.0, 0.1]),
            }
            self.balancer.configure(replace(self.settings, **changed))  # type: ignore[arg-type]
        if step == self.shutdown_at_step:
            self.tell(api.ShutdownStarted())
        self.now_us += int(self.random.expovariate(1 / self.mean_step_us))
        self.fire_timers()
        self.random.choices(
            [
                self.request, self.answer_check, self.end_attempt, self.end_connection, self.leave,
                self.change_list, self.notify_delay, self.notify_load, self.open_connection, self.stray,
            ],
            [30, 45, 25, 4, 1.5, 1, 6, 3, 2, 1],
        )[0]()  # fmt: skip

    def tell(self, event: api.Event) -> None:
        self.take(self.balancer.handle(self.now_us, event))

    def take(self, actions: list[api.Action]) -> None:
        """Write the actions down, and remember what has to be followed up."""
        for action in actions:
            match action:
                case api.StartAttempt(id, server, timeout, _):
                    self.write("attempt", id, server, timeout)
                    self.sessions[id].server = server
                case api.Reject(id, retry_after_us):
                    self.write("reject", id, retry_after_us)
                    self.sessions.pop(id)
                case api.Fail(id):
                    self.write("fail", id)
                    self.sessions.pop(id)
                case api.Migrate(id):
                    self.write("migrate", id)
                    self.moved_keys.append(self.sessions.pop(id).key)
                case api.CheckHealth(server):
                    self.write("check", server)
                    self.checks.append(server)
                case api.SetTimer(delay, token):
                    self.write("timer", delay, timer_text(token))
                    self.timers.append((self.now_us + delay, len(self.lines), token))
                case api.WatchEndpoints():
                    self.write("watch")

    def write(self, *words: object) -> None:
        self.lines.append(" ".join(map(str, (self.now_us, *words))))

    def fire_timers(self) -> None:
        due = sorted(timer for timer in self.timers if timer[0] <= self.now_us)
        self.timers = [timer for timer in self.timers if timer[0] > self.now_us]
        for _, _, token in due:
            self.tell(api.TimerFired(token))

    def entry(self, name: str) -> api.Endpoint:
        weighted = self.seed % 2 == 0
        started = self.now_us - self.random.randrange(15 * SECOND_US) if self.random.random() < 0.4 else 0
        return api.Endpoint(
            name,
            self.random.choices(list(api.EndpointState), [8, 1, 1])[0],
            self.random.choice(ZONES),
            self.random.randrange(3),
            self.random.choice([0.5, 1.0, 3.0]) if weighted else 1.0,
            started,
        )

    def request(self) -> None:
        id = f"r{len(self.lines)}-{self.random.randrange(1000)}"
        returning = self.random.random() < 0.3
        key = self.random.choice(["", f"k{self.random.randrange(60)}"])
        if self.moved_keys and self.random.random() < 0.8:
            key = self.moved_keys.pop()
            returning = True
        if self.sessions and self.random.random() < 0.01:
            id = next(iter(self.sessions))  # a repeat of one that is held already
        self.sessions.setdefault(id, Session(id, key))
        self.tell(
            api.Request(
                id,
                self.random.choice([*CLASSES, "unknown"]),
                self.random.choice([0, 5_000, 300_000, SECOND_US, 3 * SECOND_US]),
                key,
                midflow=self.random.random() < 0.1,
                reconnecting=returning,
                client_retry=self.random.random() < 0.2,
                affinity_group=self.random.choice(["", f"g{self.random.randrange(5)}"]),
            )
        )

    def answer_check(self) -> None:
        if not self.checks:
            return
        name = self.checks.pop(self.random.randrange(len(self.checks)))
        if self.random.random() < (0.6 if self.mostly_failing else 0.12):
            outcome = self.random.choice(OUTCOMES[1:])
            self.tell(api.HealthCheckResult(name, outcome, 2_000))
            return
        report = self.random.choice(REPORTS[2:5] if self.load_level else REPORTS)
        self.tell(api.HealthCheckResult(name, api.AttemptOutcome.OK, 900, dict(report)))

    def waiting_sessions(self) -> list[Session]:
        return [session for session in self.sessions.values() if session.server and not session.established]

    def end_attempt(self) -> None:
        waiting = self.waiting_sessions()
        if not waiting:
            return
        session = self.random.choice(waiting)
        elapsed = self.random.randrange(400_000)
        if self.random.random() < (0.2 if self.mostly_failing else 0.75):
            session.established = True
            self.tell(api.Established(session.id, session.attempt, session.server, elapsed))
            return
        outcome = self.random.choice(OUTCOMES)
        closed = self.random.random() < 0.1
        self.finish(session, outcome, elapsed, closed)

    def finish(self, session: Session, outcome: api.AttemptOutcome, elapsed: int, closed: bool) -> None:
        report = dict(self.random.choice(REPORTS)) if self.random.random() < 0.3 else None
        event = api.AttemptEnded(
            session.id, session.attempt, session.server, outcome, elapsed, closed, report
        )
        if closed or outcome == "ok" or session.established:
            self.sessions.pop(session.id)
        session.attempt += 1
        session.server = ""
        self.tell(event)

    def end_connection(self) -> None:
        established = [session for session in self.sessions.values() if session.established]
        if established:
            self.finish(self.random.choice(established), self.random.choice(OUTCOMES), 0, True)

    def leave(self) -> None:
        if self.sessions:
            id = self.random.choice(list(self.sessions))
            self.sessions.pop(id)
            self.tell(api.ClientDisconnected(id))

    def change_list(self) -> None:
        kind = self.random.choices(list(api.EndpointUpdateKind), [6, 2, 1, 3, 1])[0]
        if kind in (api.EndpointUpdateKind.FAILED, api.EndpointUpdateKind.MOVED):
            self.tell(api.EndpointUpdate(kind))
            return
        count = (
            self.random.randint(0, 3)
            if kind is api.EndpointUpdateKind.DELTA
            else self.random.randint(0, len(SERVER_NAMES))
        )
        entries = [self.entry(name) for name in self.random.sample(SERVER_NAMES, count)]
        self.tell(api.EndpointUpdate(kind, entries))

    def notify_delay(self) -> None:
        if self.sessions:
            session = self.random.choice(list(self.sessions.values()))
            latency_ms = self.random.choice([1.0, 30.0, 60.0, 200.0])
            self.tell(api.MessageLatencyChanged(session.id, session.server, latency_ms))

    def notify_load(self) -> None:
        if self.sessions:
            session = self.random.choice(list(self.sessions.values()))
            self.tell(api.ConnectionLoadChanged(session.id, session.server, self.random.random() * 10))

    def open_connection(self) -> None:
        id = f"o{len(self.lines)}-{self.random.randrange(1000)}"
        server = self.random.choice([*SERVER_NAMES[:8], "never_listed"])
        if server != "never_listed":
            self.sessions[id] = Session(id, f"k-{id}", 0, server, established=True)
        self.tell(api.ExistingConnection(id, self.random.choice([*CLASSES]), server, f"k-{id}"))

    def stray(self) -> None:
        """Events about what the module does not hold are passed over."""
        for event in (
            api.ClientDisconnected("nobody"),
            api.Established("nobody", 0, "s0", 1),
            api.AttemptEnded("nobody", 0, "s0", api.AttemptOutcome.RESET),
            api.HealthCheckResult("nobody", api.AttemptOutcome.OK),
            api.ConnectionLoadChanged("nobody", "s0", 1.0),
            api.MessageLatencyChanged("nobody", "s0", 99.0),
            api.TimerFired(api.TimerToken(api.TimerKind.CANDIDATE_TIMEOUT, "nobody", 1)),
        ):
            self.tell(event)


def replay() -> list[str]:
    """The whole text: every variant of the settings, from three seeds each, one of which is shut down."""
    lines: list[str] = []
    for number, settings in enumerate(VARIANTS):
        for seed in (2 * number, 2 * number + 1, 2 * number + 100):
            shutdown_at_step = STEPS_PER_INSTANCE - 300 if seed % 2 else -1
            neighbourhood = Neighbourhood(settings, seed, shutdown_at_step)
            lines += [f"instance {number} seed {seed}", *neighbourhood.play()]
    return lines


def digest(lines: list[str]) -> str:
    return hashlib.sha256("\n".join(lines).encode()).hexdigest()
