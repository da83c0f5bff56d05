"""The link's table of rules: a cut is one way, `*` stands for all, the worst rule counts, heal lifts all."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from wheatstile.link.rules import BadCommand, Command, Cutter, Table, Verdict, parse, script

LINES = [
    "cut a b",
    "cut b a",
    "cut * b",
    "isolate c",
    "heal",
    "heal a b",
    "delay a b 0.5",
    "delay * b 0.2 0.1",
    "rate a b 100",
    "lose a b 0.25",
    "repeat a * 0.5",
]


@given(st.lists(st.sampled_from(LINES)))
def test_rules_are_one_way_and_heal_lifts_them(commands: list[str]) -> None:
    table = Table()
    for line in commands:
        table.apply(parse(line))
    since = commands[max((i + 1 for i, c in enumerate(commands) if c == "heal"), default=0) :]
    own = since[max((i + 1 for i, c in enumerate(since) if c == "heal a b"), default=0) :]
    verdict = table.verdict("a", "b")
    assert verdict.held == ("cut a b" in own or "cut * b" in since)
    assert table.verdict("b", "a").held == ("cut b a" in since)
    assert table.verdict("b", "c").held == ("isolate c" in since)
    assert verdict.delay == max([0.5 * ("delay a b 0.5" in own), 0.2 * ("delay * b 0.2 0.1" in since)])
    assert (verdict.rate, verdict.lose) == (100.0 * ("rate a b 100" in own), 0.25 * ("lose a b 0.25" in own))
    assert verdict.repeat == 0.5 * ("repeat a * 0.5" in since)
    table.apply(parse("heal"))
    assert all(table.verdict(x, y) == Verdict() for x in "abc" for y in "abc")


@pytest.mark.parametrize(
    ("line", "reason"),
    [
        ("drop a b", "word 1: 'drop'"),
        ("cut a", "cut takes 2 arguments, not 1"),
        ("delay a b 31", "word 4: 31 lies"),
        ("delay a b 1 x", "word 5: 'x' is not a number"),
        ("lose a b nan", "word 4: nan lies"),
        ("", "an empty"),
        ("delay a b", "delay takes 3 or 4 arguments, not 2"),
        ("rate a b 0", "word 4: 0 lies outside 1 to 1e"),
    ],
)
def test_a_bad_command_names_its_word(line: str, reason: str) -> None:
    with pytest.raises(BadCommand, match=f"^{reason}"):
        parse(line)


def test_a_script_is_in_the_order_of_time_and_names_all_its_faults() -> None:
    assert script("# a day\nat 2 heal\n\nat 0.5 cut a b  # one way\n") == [
        (0.5, Command("cut", "a", "b")),
        (2.0, Command("heal")),
    ]
    with pytest.raises(BadCommand) as refused:
        script("cut a b\nat 1 cut\nat x heal")
    assert [line.split(":")[0] for line in str(refused.value).splitlines()] == ["line 1", "line 2", "line 3"]


@given(st.lists(st.binary(max_size=20), max_size=8), st.integers(1, 7))
def test_a_stream_is_cut_into_its_frames_wherever_it_is_read(bodies: list[bytes], step: int) -> None:
    frames = [len(body).to_bytes(4, "big") + body for body in bodies]
    stream, cutter = b"".join(frames), Cutter()
    found = [f for i in range(0, len(stream), step) for f in cutter.feed(stream[i : i + step])]
    assert found == frames and not cutter.rest
    with pytest.raises(ValueError, match="at most"):
        cutter.feed(b"\xff\xff\xff\xff")
