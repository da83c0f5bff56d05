"""The link's table of rules: a cut is one way, `*` stands for all, heal lifts everything."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from wheatstile.link.rules import BadCommand, Table, parse


@given(st.lists(st.sampled_from(["cut a b", "cut b a", "cut * b", "isolate c", "heal", "delay a b 0.5"])))
def test_after_heal_everything_passes_and_a_cut_is_one_way(commands: list[str]) -> None:
    table = Table()
    for line in commands:
        table.apply(parse(line))
    cut_ab = any(c in ("cut a b", "cut * b") for c in commands[_after_heal(commands):])
    assert table.verdict("a", "b").held == cut_ab
    assert table.verdict("b", "a").held == ("cut b a" in commands[_after_heal(commands):])
    table.apply(parse("heal"))
    assert all(not table.verdict(x, y).held and not table.verdict(x, y).delay for x in "abc" for y in "abc")
    with pytest.raises(BadCommand):
        parse("drop a b")


def _after_heal(commands: list[str]) -> int:
    return max((i + 1 for i, c in enumerate(commands) if c == "heal"), default=0)
