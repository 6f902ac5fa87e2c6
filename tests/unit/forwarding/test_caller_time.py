"""How long callers wait: the deadline of a request, the timeout of its route, patience of streams."""

import dataclasses
import math
from types import SimpleNamespace

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from standins.platform_site import PLAIN, SAFE, STREAM, configuration
from wheelslip.deployment import Route
from wheelslip.job import Job
from wheelslip.platform.registry import CONFIGURATION_KEY, PlatformRegistry

OBJECTIVES_MS = st.integers(min_value=1, max_value=100_000)


def decoded_route(document: dict) -> Route:
    text = msgspec.json.encode(configuration(routes=[document]))
    [[route]] = PlatformRegistry().decode(CONFIGURATION_KEY, text).routes.values()
    return route


def job(route: Route, arrived: float, deadline: float) -> Job:
    return Job(SimpleNamespace(arrived=arrived), route, None, "", deadline)


@pytest.mark.parametrize("kind", [PLAIN, SAFE])
@given(objectives=st.tuples(OBJECTIVES_MS, OBJECTIVES_MS))
def test_plain_routes_do_not_depend_on_their_objective(kind, objectives):
    """A burst was refused by half at an objective of 0.1 s and served as a whole at 3 s."""
    first, second = (decoded_route(kind | {"target_latency_ms": each}) for each in objectives)
    assert first == second
    assert first.patience_seconds == math.inf


@pytest.mark.parametrize(
    "objective_ms, pause_ms, patience",
    [(100, 200, 2.0), (500, 250, 2.0), (800, 250, 3.2), (100, 500, 4.0)],
)
def test_streams_depend_on_their_objective_by_the_patience_of_their_callers(
    objective_ms, pause_ms, patience
):
    """Callers give a stream up after 2 s, four objectives or eight pauses, the longest of them."""
    times = {"target_latency_ms": objective_ms, "gap_aim_ms": pause_ms}
    route = decoded_route(STREAM | times)
    assert route.patience_seconds == patience
    shorter = decoded_route(STREAM | times | {"target_latency_ms": objective_ms / 2})
    assert dataclasses.replace(shorter, patience_seconds=patience) == route


@pytest.mark.parametrize(
    "kind, deadline, response_deadline",
    [(PLAIN, 4.0, 14.0), (STREAM, 4.0, 12.0), (STREAM, 1.5, 11.5)],
)
def test_callers_wait_for_a_response_until_they_give_up(kind, deadline, response_deadline):
    route = decoded_route(kind | {"target_latency_ms": 100, "gap_aim_ms": 100})
    assert job(route, 10.0, 10.0 + deadline).response_deadline == response_deadline


def test_interrupted_stream_may_continue_until_the_deadline():
    """The patience of its caller was for the first event, which has come."""
    interrupted = job(decoded_route(STREAM | {"target_latency_ms": 100}), 10.0, 40.0)
    interrupted.first_event_at = 10.5
    assert interrupted.response_deadline == 40.0
