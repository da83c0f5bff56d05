"""Tests rules 1 and 2 (one attempt at a time, one final answer) for any order of events.

The events include late, repeated and unknown ones.
"""

from collections.abc import Callable
from dataclasses import dataclass

from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from support.balancer_harness import SECOND_US, BalancerHarness, endpoints

from wheatstile import interface as api

SERVERS = ("s0", "s1", "s2", "s3")


@dataclass(frozen=True)
class Step:
    """A random event: `index` selects its request and its server, `flag` one of two variants."""

    index: int
    outcome: api.AttemptOutcome
    flag: bool

    @property
    def server(self) -> str:
        return SERVERS[self.index]


class RuleChecker:
    """Dispatches random events to one balancer and checks each action against the rules."""

    def __init__(self, seed: int, idempotency: api.Idempotency) -> None:
        zone = api.DeduplicationScope.ZONE
        service_class = api.ServiceClass(
            "web", 500_000, idempotency, zone, 5 * SECOND_US, message_latency_objective_us=50_000
        )
        self.harness = BalancerHarness(*SERVERS, seed=seed, classes={"web": service_class})
        self.attempts_in_flight: dict[str, int] = {}  # number of the attempt, keyed by request
        self.attempt_counts: dict[str, int] = {}
        self.ended: set[str] = set()
        self._checked_actions = 0
        self._requests = 0

    def request(self, step: Step) -> None:
        self._requests += 1
        id = f"r{step.index}-{self._requests}"
        self.harness.request(id, key=f"k{step.index}", reconnecting=step.flag)

    def pass_time(self, step: Step) -> None:
        self.harness.run(SECOND_US if step.flag else 100_000)

    def update_list(self, step: Step) -> None:
        names = [name for name in SERVERS if step.flag or name != step.server]
        self.harness.update_endpoints(*endpoints(*names), kind=api.EndpointUpdateKind.FULL)

    def answer_check(self, step: Step) -> None:
        report = {"load": 0.5} if step.flag else {}
        self.harness.answer_check(step.server, step.outcome, **report)

    def end_attempt(self, step: Step) -> None:
        id = self._id_in_flight(step)
        closed = step.flag or step.outcome is api.AttemptOutcome.OK
        if closed:
            self.ended.add(id)
        attempt = self.attempts_in_flight.pop(id)
        self.harness.dispatch(api.AttemptEnded(id, attempt, step.server, step.outcome, 1000, closed))

    def establish(self, step: Step) -> None:
        id = self._id_in_flight(step)
        self.harness.dispatch(api.Established(id, self.attempts_in_flight[id], step.server, 1000))

    def report_latency(self, step: Step) -> None:
        self.harness.report_latency(self._id_in_flight(step), step.server, 500.0)

    def disconnect(self, step: Step) -> None:
        id = self._id_in_flight(step)
        self.ended.add(id)
        self.harness.dispatch(api.ClientDisconnected(id))

    def _id_in_flight(self, step: Step) -> str:
        return sorted(self.attempts_in_flight)[step.index % len(self.attempts_in_flight)]

    def check_new_actions(self) -> None:
        """Check the new actions: one attempt at a time, one final answer, and no action after it."""
        for action in self.harness.actions[self._checked_actions :]:
            if isinstance(action, api.StartAttempt):
                assert action.id not in self.ended, "an attempt after the end"
                assert action.id not in self.attempts_in_flight, "two attempts in flight"
                attempt = self.attempt_counts.get(action.id, 0)
                self.attempt_counts[action.id] = attempt + 1
                self.attempts_in_flight[action.id] = attempt
            elif isinstance(action, (api.Reject, api.Fail, api.Migrate)):
                assert action.id not in self.ended, "a second final answer"
                self.ended.add(action.id)
        self._checked_actions = len(self.harness.actions)


StepMethod = Callable[[RuleChecker, Step], None]
ALWAYS_POSSIBLE: tuple[StepMethod, ...] = (
    RuleChecker.request,
    RuleChecker.pass_time,
    RuleChecker.update_list,
    RuleChecker.answer_check,
)
REQUIRES_ATTEMPT: tuple[StepMethod, ...] = (
    RuleChecker.end_attempt,
    RuleChecker.establish,
    RuleChecker.report_latency,
    RuleChecker.disconnect,
)
STEPS = st.builds(Step, st.integers(0, 3), st.sampled_from(list(api.AttemptOutcome)), st.booleans())


@hypothesis_settings(max_examples=60, deadline=None, derandomize=True)
@given(
    st.lists(st.tuples(st.sampled_from(ALWAYS_POSSIBLE + REQUIRES_ATTEMPT), STEPS), max_size=60),
    st.integers(0, 5),
    st.sampled_from(list(api.Idempotency)),
)
def test_actions_obey_the_rules_for_any_order_of_events(
    script: list[tuple[StepMethod, Step]], seed: int, idempotency: api.Idempotency
) -> None:
    checker = RuleChecker(seed, idempotency)
    for apply_event, step in script:
        if apply_event in REQUIRES_ATTEMPT:
            if not checker.attempts_in_flight:
                continue
            apply_event(checker, step)
            checker.harness.answer_checks()
        else:
            apply_event(checker, step)
        checker.check_new_actions()
