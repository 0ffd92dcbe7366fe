"""Tests of the token bucket: a burst, then the steady rate; a smaller burst drops tokens."""

from __future__ import annotations

from brambleusher.dataplane.token_bucket import TokenBucket


def taken(bucket: TokenBucket, rate_per_s: float, now_s: float) -> int:
    count = 0
    while bucket.take(rate_per_s, now_s):
        count += 1
    return count


def test_the_burst_comes_first_and_then_the_rate() -> None:
    bucket = TokenBucket(3.0, 0.0)
    assert taken(bucket, 2.0, 0.0) == 3
    assert taken(bucket, 2.0, 1.0) == 2
    assert taken(bucket, 2.0, 100.0) == 3


def test_a_smaller_burst_drops_tokens_and_added_ones_stay_within_it() -> None:
    bucket = TokenBucket(5.0, 0.0)
    bucket.resize(2.0)
    bucket.add(10.0)
    assert taken(bucket, 0.0, 0.0) == 2


def test_a_clock_that_goes_back_gives_no_tokens() -> None:
    bucket = TokenBucket(1.0, 10.0)
    assert taken(bucket, 1.0, 10.0) == 1
    assert taken(bucket, 1.0, 5.0) == 0
