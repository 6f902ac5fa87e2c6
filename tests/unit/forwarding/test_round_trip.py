"""Adaptive timeout for the reply of a dispatcher."""

from wheelslip.peers.round_trip import (
    INITIAL_TIMEOUT_SECONDS,
    MAX_TIMEOUT_SECONDS,
    MIN_TIMEOUT_SECONDS,
    RoundTrip,
)


def test_fast_replies_reduce_timeout_to_minimum():
    peer = RoundTrip()
    assert peer.timeout_seconds == INITIAL_TIMEOUT_SECONDS
    for _ in range(30):
        peer.observe(0.003)
    assert peer.timeout_seconds == MIN_TIMEOUT_SECONDS


def test_timeout_grows_with_round_trip_time_and_its_variation():
    steady, varying = RoundTrip(), RoundTrip()
    for number in range(60):
        steady.observe(0.04)
        varying.observe(0.02 if number % 2 else 0.06)
    assert 0.04 <= steady.timeout_seconds < varying.timeout_seconds <= MAX_TIMEOUT_SECONDS


def test_missing_replies_double_timeout_up_to_maximum():
    peer = RoundTrip()
    peer.back_off()
    assert peer.timeout_seconds == 2 * INITIAL_TIMEOUT_SECONDS
    for _ in range(5):
        peer.back_off()
    assert peer.timeout_seconds == MAX_TIMEOUT_SECONDS
