"""Tests of the tokens of one server in slow start, and of the draw for windows with less than one token."""

from random import Random

from wheatstile.decisions.slow_start_budget import FIRST_ATTEMPT_COST, RETRY_COST, SlowStartBudget

SECOND_US = 1_000_000
START_US = 100 * SECOND_US
WINDOW_US = 2 * SECOND_US
TWO_TOKENS_PER_SECOND = 2 / SECOND_US  # four tokens per window
QUARTER_TOKEN_PER_WINDOW = 0.25 / WINDOW_US
JUST_BELOW_FIRST_DRAW = 0.13 / WINDOW_US  # the first draw of Random(1) is 0.134, the second 0.847
JUST_ABOVE_FIRST_DRAW = 0.14 / WINDOW_US
ABOVE_TWICE_THE_FIRST_DRAW = 0.27 / WINDOW_US


def started_budget(random: Random) -> SlowStartBudget:
    """Return the budget of a server that started at START_US; its initial tokens use one draw."""
    budget = SlowStartBudget()
    budget.reset(START_US, START_US, WINDOW_US, random)
    return budget


def permits(budget: SlowStartBudget, cost: int, tokens_per_us: float, now_us: int, seed: int = 1) -> bool:
    """Return whether the budget permits an attempt. A new draw is the first one of this seed."""
    return budget.permits(cost, tokens_per_us, WINDOW_US, now_us, Random(seed))


def test_restarted_server_begins_with_a_random_part_of_a_token() -> None:
    budget = started_budget(Random(1))
    assert budget.tokens == Random(1).random()
    assert budget.updated_at_us == START_US


def test_attempt_after_the_restart_is_charged_to_the_new_budget() -> None:
    budget = SlowStartBudget()
    budget.charge(START_US + 1)
    budget.reset(START_US, START_US + SECOND_US, WINDOW_US, Random(1))
    assert budget.tokens == Random(1).random() - 1


def test_attempt_before_the_restart_is_not_charged_to_the_new_budget() -> None:
    budget = SlowStartBudget()
    budget.charge(START_US - 1)
    budget.reset(START_US, START_US + SECOND_US, WINDOW_US, Random(1))
    assert budget.tokens == Random(1).random()


def test_tokens_are_refilled_over_time_up_to_the_refill_of_one_window() -> None:
    budget = started_budget(Random(1))
    budget.tokens = 0.0
    permits(budget, FIRST_ATTEMPT_COST, TWO_TOKENS_PER_SECOND, START_US + SECOND_US // 4)
    assert budget.tokens == 0.5
    permits(budget, FIRST_ATTEMPT_COST, TWO_TOKENS_PER_SECOND, START_US + 60 * SECOND_US)
    assert budget.tokens == 4.0


def test_retry_needs_two_tokens_and_is_charged_one() -> None:
    budget = started_budget(Random(1))
    budget.tokens = 1.5
    assert permits(budget, FIRST_ATTEMPT_COST, TWO_TOKENS_PER_SECOND, START_US)
    assert not permits(budget, RETRY_COST, TWO_TOKENS_PER_SECOND, START_US)
    budget.charge(START_US)
    assert budget.tokens == 0.5
    assert not permits(budget, FIRST_ATTEMPT_COST, TWO_TOKENS_PER_SECOND, START_US)


def test_refill_below_one_token_is_the_probability_of_an_attempt() -> None:
    assert not permits(started_budget(Random(1)), FIRST_ATTEMPT_COST, JUST_BELOW_FIRST_DRAW, START_US)
    assert permits(started_budget(Random(1)), FIRST_ATTEMPT_COST, JUST_ABOVE_FIRST_DRAW, START_US)
    assert not permits(started_budget(Random(1)), RETRY_COST, JUST_ABOVE_FIRST_DRAW, START_US)
    assert permits(started_budget(Random(1)), RETRY_COST, ABOVE_TWICE_THE_FIRST_DRAW, START_US)


def test_window_has_one_draw_and_at_most_one_attempt() -> None:
    budget = started_budget(Random(1))
    last_us = START_US + WINDOW_US - 1
    assert permits(budget, FIRST_ATTEMPT_COST, QUARTER_TOKEN_PER_WINDOW, START_US)
    # The first draw of Random(2) is 0.956, which would not be permitted.
    assert permits(budget, FIRST_ATTEMPT_COST, QUARTER_TOKEN_PER_WINDOW, last_us, seed=2)
    budget.charge(last_us)
    assert not permits(budget, FIRST_ATTEMPT_COST, QUARTER_TOKEN_PER_WINDOW, last_us)
    assert permits(budget, FIRST_ATTEMPT_COST, QUARTER_TOKEN_PER_WINDOW, START_US + WINDOW_US)


def test_attempt_after_the_restart_uses_up_the_draw_of_its_window() -> None:
    budget = SlowStartBudget()
    charged_at_us = START_US + SECOND_US
    budget.charge(charged_at_us)
    budget.reset(START_US, charged_at_us + 1, WINDOW_US, Random(1))
    end_us = charged_at_us + WINDOW_US
    assert not permits(budget, FIRST_ATTEMPT_COST, QUARTER_TOKEN_PER_WINDOW, end_us - 1)
    assert permits(budget, FIRST_ATTEMPT_COST, QUARTER_TOKEN_PER_WINDOW, end_us)
