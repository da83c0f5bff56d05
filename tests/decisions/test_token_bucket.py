"""Tests of the tokens of a bucket, and of its rate (additive increase, multiplicative decrease)."""

from wheatstile.decisions.token_bucket import AdaptiveTokenBucket, TokenRates

SECOND_US = 1_000_000
START_US = 100 * SECOND_US
RATE_PERIOD_S = 10
RATES = TokenRates(initial=8.0, max=16.0, min=3.0, increase_per_s=0.5, decrease_factor=0.5)
CONSTANT_RATE = TokenRates(initial=8.0, max=8.0, min=8.0, increase_per_s=0.0, decrease_factor=1.0)


def started_bucket(rates: TokenRates) -> AdaptiveTokenBucket:
    """Return a bucket that has one token at START_US."""
    bucket = AdaptiveTokenBucket(rates, RATE_PERIOD_S)
    bucket.start(START_US)
    return bucket


def test_new_bucket_has_one_token() -> None:
    bucket = started_bucket(RATES)
    assert bucket.try_acquire(START_US, scale=5)
    assert not bucket.try_acquire(START_US, scale=5)


def test_time_before_the_start_refills_nothing() -> None:
    bucket = started_bucket(CONSTANT_RATE)
    assert bucket.seconds_since_update(START_US + 3 * SECOND_US) == 3.0
    bucket.try_acquire(START_US, scale=5)
    assert bucket.tokens == 0.0


def test_refill_is_proportional_to_the_rate_and_the_scale() -> None:
    for scale, tokens in ((1.0, 0.2), (2.0, 0.4)):
        bucket = started_bucket(CONSTANT_RATE)
        bucket.try_acquire(START_US, scale)
        assert not bucket.try_acquire(START_US + SECOND_US // 4, scale)
        assert bucket.tokens == tokens


def test_bucket_holds_one_token_or_the_refill_of_half_a_second() -> None:
    for scale, max_tokens in ((1.0, 1.0), (10.0, 4.0)):
        bucket = started_bucket(CONSTANT_RATE)
        assert bucket.try_acquire(START_US + 60 * SECOND_US, scale)
        assert bucket.tokens == max_tokens - 1


def test_failure_reduces_the_rate_down_to_its_minimum() -> None:
    bucket = started_bucket(RATES)
    rates = []
    for _ in range(3):
        bucket.on_failure()
        rates.append(bucket.rate)
    assert rates == [4.0, 3.0, 3.0]


def test_time_increases_the_rate_in_proportion_to_the_scale_up_to_its_maximum() -> None:
    bucket = started_bucket(RATES)
    bucket.try_acquire(START_US + SECOND_US, scale=4)
    assert bucket.rate == 10.0
    bucket.try_acquire(START_US + 2 * SECOND_US, scale=8)
    assert bucket.rate == 14.0
    bucket.try_acquire(START_US + 3 * SECOND_US, scale=8)
    assert bucket.rate == 16.0
