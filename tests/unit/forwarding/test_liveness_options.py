"""Kernel timeouts of connections to workers, the store and other nodes."""

import itertools
import socket

from wheelslip.connections.http_client import (
    KEEPALIVE_IDLE_SECONDS,
    TCP_USER_TIMEOUT_MILLISECONDS,
    set_liveness_options,
)

SILENCE_SECONDS = 1.5
"""Silence of a sound worker."""

CONTACT_SECONDS = 3.0


def keepalive_end() -> float:
    """Return after which silence Linux ends an idle connection that has a user timeout.

    A probe is due after each interval; the one at or after the user timeout gives up, unless it is
    the first.
    """
    for probe in itertools.count(2):
        silence = probe * KEEPALIVE_IDLE_SECONDS
        if silence * 1000 >= TCP_USER_TIMEOUT_MILLISECONDS:
            return silence


def test_worker_that_is_silent_for_a_second_and_a_half_keeps_its_connections():
    # The first probe may fall into the silence right after it began.
    assert SILENCE_SECONDS + KEEPALIVE_IDLE_SECONDS <= keepalive_end() <= CONTACT_SECONDS
    assert SILENCE_SECONDS < TCP_USER_TIMEOUT_MILLISECONDS / 1000 < CONTACT_SECONDS


def test_sockets_get_both_timeouts():
    with socket.socket() as connection:
        set_liveness_options(connection)
        options = (socket.TCP_KEEPIDLE, socket.TCP_USER_TIMEOUT)
        values = [connection.getsockopt(socket.IPPROTO_TCP, option) for option in options]
        assert values == [KEEPALIVE_IDLE_SECONDS, TCP_USER_TIMEOUT_MILLISECONDS]
