"""Which list holds: the table of sources, and what must be true whatever happens in whatever order."""

from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from wheatstile import interface as api
from wheatstile.config.endpoints import ResolvedEndpoint
from wheatstile.resolvers import merge
from wheatstile.resolvers.merge import (
    HOLD_MOST,
    SECOND,
    DiscoveryState,
    MergedEndpoint,
    MergePolicy,
    SourceSelection,
)

NAMES = "abcde"
MODES = ("fallback", "override", "merge")


def named(name: str, state: str = "ready", **changes: Any) -> ResolvedEndpoint:
    address = changes.pop(
        "address", None if state == api.EndpointState.GONE else ("127.0.0.1", 9000 + ord(name))
    )
    return ResolvedEndpoint(api.Endpoint(name, api.EndpointState(state), "here", **changes), address)


def policy(mode: Any = "fallback", hold: int = 30) -> MergePolicy:
    return MergePolicy(mode, 10 * SECOND, hold * SECOND)


class World:
    """DiscoveryState, a file and the list that holds, driven by a script."""

    def __init__(self, policy: MergePolicy, cached: str = "") -> None:
        self.now, self.policy = 1000 * SECOND, policy
        self.discovery = DiscoveryState.at(self.now)
        self.file: dict[str, ResolvedEndpoint] = {}
        self.lines: dict[str, MergedEndpoint] = {}
        self.choice: SourceSelection | None = None
        self.stopped: set[str] = set()  # that discovery has told to get nothing new
        self.steady = 0  # since when discovery has answered without a break
        if cached:
            self.discovery.take(
                self.now, {name: named(name) for name in cached}, api.EndpointUpdateKind.CACHED
            )
        self.look()

    def look(self) -> list[ResolvedEndpoint]:
        self.choice = merge.choose(self.now, self.policy, self.discovery, bool(self.file), self.choice)
        lines = merge.merge(self.now, self.choice, self.discovery, self.file, self.lines)
        changes = merge.changes(self.lines, lines)
        self.lines = lines
        return changes

    def tell(self, kind: str, **states: str) -> list[ResolvedEndpoint]:
        """What discovery tells; the servers that get nothing new from this instant on."""
        told = self.discovery.take(
            self.now,
            {name: named(name, state) for name, state in states.items()},
            api.EndpointUpdateKind(kind),
        )
        for name in NAMES:
            if states.get(name) == "ready":
                self.stopped.discard(name)
            elif name in states or (kind == "full" and name in {one.endpoint.name for one in told}):
                self.stopped.add(name)
        return merge.stopped(self.lines, told)

    def step(self, seconds: float, heard: bool = True) -> str:
        """Time passes; the source that holds then."""
        end = self.now + int(seconds * SECOND)
        while self.now < end:
            self.now = min(end, self.now + SECOND)
            if heard:
                self.discovery.heard(self.now)
            self.look()
        assert self.choice
        return self.choice.source

    def ready(self) -> str:
        return "".join(sorted(merge.ready_of(self.lines)))


def test_the_file_holds_once_discovery_is_silent_and_discovery_again_when_it_answers() -> None:
    world = World(policy(), "ab")
    world.file = {"c": named("c")}
    assert (world.step(9, heard=False), world.ready()) == ("discovery", "ab")
    assert (world.step(2, heard=False), world.ready()) == ("file", "c")
    assert (
        world.lines["a"].named.endpoint.state == api.EndpointState.DRAINING
    )  # its connections stay where they are
    assert (world.step(1), world.ready()) == ("discovery", "ab")


def test_without_any_list_the_file_holds_at_once() -> None:
    world = World(policy())
    world.file = {"c": named("c")}
    assert (world.step(0.1, heard=False), world.ready()) == ("file", "c")


def test_a_flapping_discovery_is_held_down_longer_each_time_up_to_a_bound() -> None:
    world = World(policy(hold=2), "a")
    world.file = {"b": named("b")}
    waits = []
    for _ in range(8):
        world.discovery.failed()
        assert world.step(11, heard=False) == "file"
        waited = 0
        while world.step(1) == "file":
            waited += 1
        waits.append(waited)
    assert waits[:4] == [0, 2, 4, 8] and max(waits) <= 2 * HOLD_MOST, waits


def test_the_file_wins_on_weight_and_address_and_discovery_on_drains_and_starts() -> None:
    world = World(policy("merge"))
    world.file = {"a": named("a", weight=5.0, address=("127.0.0.1", 1)), "b": named("b"), "c": named("c")}
    world.discovery.take(
        world.now,
        {
            "a": named("a", started_at_us=77),
            "b": named("b", "draining"),
            "d": named("d"),
        },
        api.EndpointUpdateKind.FULL,
    )
    world.look()
    assert world.lines["a"].named.endpoint == api.Endpoint("a", api.EndpointState.READY, "here", 0, 5.0, 77)
    assert world.lines["a"].named.address == ("127.0.0.1", 1)
    assert world.ready() == "acd" and "drain" in world.lines["b"].reason


STATES = st.sampled_from(["ready", "ready", "draining", "gone"])
EVENTS = st.one_of(
    st.tuples(
        st.just("tell"), st.sampled_from(["full", "delta"]), st.dictionaries(st.sampled_from(NAMES), STATES)
    ),
    st.tuples(
        st.just("file"), st.dictionaries(st.sampled_from(NAMES), st.sampled_from(["ready", "draining"]))
    ),
    st.tuples(st.just("failed")),
    st.tuples(st.just("wait"), st.sampled_from([0.5, 3, 12, 40]), st.booleans()),
)


@settings(max_examples=300, deadline=None)
@given(st.sampled_from(MODES), st.lists(EVENTS, max_size=25))
def test_whatever_happens(mode: str, events: list[Any]) -> None:
    world = World(policy(mode), "ab")
    held: dict[str, ResolvedEndpoint] = {
        name: line.named for name, line in world.lines.items()
    }  # as the module has it
    for event in events:
        before = dict(world.lines)
        if event[0] == "tell":
            for one in world.tell(event[1], **event[2]):
                held[one.endpoint.name] = one
        elif event[0] == "file":
            world.file = {name: named(name, state, weight=2.0) for name, state in event[1].items()}
        elif event[0] == "failed":
            world.discovery.failed()
        else:
            world.step(event[1], event[2])
        # From the instant in which it is told, and whatever holds: nothing new where discovery says so.
        assert not [
            name
            for name, one in held.items()
            if one.endpoint.state == api.EndpointState.READY and name in world.stopped
        ]
        for one in merge.changes(before, world.lines) if event[0] == "wait" else []:
            held[one.endpoint.name] = one
        for one in world.look():
            held[one.endpoint.name] = one
        assert not set(world.ready()) & world.stopped
        for name in before:  # nobody is cut off because the source changed: only discovery ends a server
            assert name in world.lines or name in world.discovery.gone
        # What the module was told in changes is the list.
        assert {name: one for name, one in held.items() if one.endpoint.state != api.EndpointState.GONE} == {
            name: line.named for name, line in world.lines.items()
        }
        assert world.choice and world.choice.reason and all(line.reason for line in world.lines.values())
        if world.file and mode != "fallback":
            assert world.choice.source == {"override": "file", "merge": "both"}[mode]
