"""How long a node waits for a dispatcher's answer."""

from wheelslip.peers.round_trip import INITIAL_SECONDS, LEAST_SECONDS, MOST_SECONDS, RoundTrip


def test_quick_answers_shorten_the_wait_to_its_least():
    peer = RoundTrip()
    assert peer.timeout_seconds == INITIAL_SECONDS
    for _ in range(30):
        peer.observe(0.003)
    assert peer.timeout_seconds == LEAST_SECONDS


def test_a_slow_way_is_waited_for_and_its_variation_counts():
    steady, varying = RoundTrip(), RoundTrip()
    for number in range(60):
        steady.observe(0.04)
        varying.observe(0.02 if number % 2 else 0.06)
    assert 0.04 <= steady.timeout_seconds < varying.timeout_seconds <= MOST_SECONDS


def test_each_miss_doubles_the_wait_up_to_a_bound():
    peer = RoundTrip()
    peer.back_off()
    assert peer.timeout_seconds == 2 * INITIAL_SECONDS
    for _ in range(5):
        peer.back_off()
    assert peer.timeout_seconds == MOST_SECONDS
