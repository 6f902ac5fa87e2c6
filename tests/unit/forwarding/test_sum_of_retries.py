"""The retries of all nodes together stay below the ratio, whatever each process knows of the others."""

from bisect import bisect_left, bisect_right

from hypothesis import given
from hypothesis import strategies as st

from wheelslip.forwarding_settings import BoundsSection
from wheelslip.routing.retry_window import Retry, RetryWindow

RATIO = 0.2
WINDOW_SECONDS = 10.0
REQUESTS_PER_SECOND = 100


def make_window() -> RetryWindow:
    bounds = BoundsSection(retry_ratio=RATIO, retry_window_seconds=WINDOW_SECONDS)
    return RetryWindow("s", lambda: bounds)


class Fleet:
    """Nodes that send the requests of one service.

    :ivar requests: times of the requests.
    :ivar retries: times at which retries reached workers.
    :ivar waiting: retries that have not been sent, by node.
    """

    def __init__(self, nodes: int = 1):
        self.windows = [make_window() for _ in range(nodes)]
        self.requests: list[float] = []
        self.retries: list[float] = []
        self.waiting: list[list[Retry]] = [[] for _ in range(nodes)]

    def request(self, now: float, node: int = 0) -> None:
        self.requests.append(now)
        self.windows[node].record_first_attempt(now)

    def serve(self, since: float, until: float, node: int = 0) -> None:
        for number in range(int((until - since) * REQUESTS_PER_SECOND)):
            self.request(since + number / REQUESTS_PER_SECOND, node)

    def decide(self, now: float, node: int = 0) -> None:
        """Decide on as many retries as a node allows; they wait."""
        while (retry := self.windows[node].reserve(now)) is not None:
            self.waiting[node].append(retry)

    def send_waiting(self, now: float, node: int = 0) -> None:
        for retry in self.waiting[node]:
            if retry.send(now):
                self.retries.append(now)
        self.waiting[node].clear()

    def retry_all(self, now: float, node: int = 0) -> None:
        self.decide(now, node)
        self.send_waiting(now, node)

    def restart(self, node: int = 0) -> None:
        self.windows[node] = make_window()
        self.waiting[node].clear()

    def assert_sum_is_allowed(self) -> None:
        requests, retries = sorted(self.requests), sorted(self.retries)
        for end in retries:
            allowed = RATIO * max(
                _count(requests, end - WINDOW_SECONDS * share) for share in (0.0, 0.5, 1.0)
            )
            assert _count(retries, end) <= allowed


def _count(times: list[float], end: float) -> int:
    return bisect_right(times, end) - bisect_left(times, end - WINDOW_SECONDS)


def test_restarted_node_does_not_allow_the_retries_of_its_predecessor_again():
    fleet = Fleet()
    fleet.serve(0.0, 10.0)
    fleet.retry_all(10.0)
    fleet.restart()
    fleet.serve(10.0, 19.9)
    fleet.retry_all(19.9)
    fleet.assert_sum_is_allowed()


def test_load_that_moves_to_another_node_allows_no_retries_twice():
    fleet = Fleet(nodes=2)
    fleet.serve(0.0, 10.0, node=0)
    fleet.retry_all(10.0, node=0)
    fleet.serve(10.0, 19.9, node=1)
    fleet.retry_all(19.9, node=1)
    fleet.assert_sum_is_allowed()


def test_retries_that_wait_are_counted_when_they_are_sent():
    fleet = Fleet()
    fleet.serve(0.0, 30.0)
    for second in range(10, 31, 10):
        fleet.decide(float(second))
    fleet.send_waiting(30.0)
    assert fleet.retries
    fleet.assert_sum_is_allowed()


STEP = st.tuples(
    st.sampled_from(["serve", "decide", "send", "wait", "restart"]),
    st.integers(0, 2),
    st.floats(0.0, 6.0, allow_nan=False),
)


@given(st.lists(STEP, max_size=40))
def test_any_history_of_nodes_stays_below_the_ratio(steps):
    fleet, now = Fleet(nodes=3), 0.0
    for kind, node, seconds in steps:
        match kind:
            case "serve":
                fleet.serve(now, now + seconds, node)
                now += seconds
            case "decide":
                fleet.decide(now, node)
            case "send":
                fleet.send_waiting(now, node)
            case "wait":
                now += seconds
            case "restart":
                fleet.restart(node)
    fleet.assert_sum_is_allowed()
