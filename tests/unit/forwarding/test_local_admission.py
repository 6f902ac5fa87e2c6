"""Limit of a node that chooses workers itself while no dispatcher is available."""

import json
import random

import pytest

from standins.platform_worker import worker_entry
from wheelslip.deployment import Incarnation
from wheelslip.routing.load_table import LoadAtWorker, LoadTable
from wheelslip.routing.local_admission import MIN_RETRY_SECONDS, LocalAdmission
from wheelslip.routing.overload import Overloaded
from wheelslip.routing.placement import PlacementQuery
from wheelslip.routing.worker_choice import WorkerPlacement

CAPACITY = 2
QUERY = PlacementQuery("s")


class Setup:
    """Two workers, this node's records and the loads that other nodes report."""

    def __init__(self, registry, clock, capacity=CAPACITY, **service):
        services = [{"name": "s"} | service]
        document = {"version": 1, "services": services}
        registry.apply("op/config", json.dumps(document).encode(), 1)
        for number in range(2):
            entry = worker_entry(address=f"127.0.0.1:{1 + number}", capacity=capacity, model="m")
            registry.apply(f"servers/w{number}", entry, 2 + number)
        self.clock, self.table = clock, LoadTable()
        self.records = WorkerPlacement(registry, clock, random.Random(1), self.table)
        self.admission = LocalAdmission(self.records, clock)

    def send(self, query: PlacementQuery = QUERY) -> Incarnation:
        placement = self.records.choose(self.admission.limit(query))
        self.records.begin(placement)
        return placement.worker.info.id


@pytest.fixture
def setup(registry, clock):
    return Setup(registry, clock)


def test_workers_receive_their_capacity_and_then_requests_are_rejected(setup):
    sent = [setup.send() for _ in range(2 * CAPACITY)]
    assert {sent.count(worker) for worker in set(sent)} == {CAPACITY}
    retry_seconds = []
    for _ in range(3):
        with pytest.raises(Overloaded) as rejection:
            setup.send()
        retry_seconds.append(rejection.value.retry_seconds)
    assert retry_seconds[0] == pytest.approx(MIN_RETRY_SECONDS)
    assert retry_seconds == sorted(set(retry_seconds)) and setup.admission.rejected == 3


def test_requests_of_other_nodes_count(setup):
    occupied = Incarnation("w0")
    setup.table.record_loads("n2", [LoadAtWorker(occupied, CAPACITY, 0, 0)], setup.clock())
    assert [setup.send() for _ in range(CAPACITY)] == [Incarnation("w1")] * CAPACITY
    with pytest.raises(Overloaded):
        setup.send()


def test_occupied_worker_is_passed_over_although_the_other_one_failed_recently(setup):
    setup.table.record_loads("n2", [LoadAtWorker(Incarnation("w0"), CAPACITY, 0, 0)], setup.clock())
    for _ in range(5):
        setup.records.record_outcome(Incarnation("w1"), failed=True)
    assert setup.records.choose(QUERY).worker.info.id == Incarnation("w0")
    assert setup.send() == Incarnation("w1")


def test_capacity_of_model_engines_is_that_of_the_service(registry, clock):
    engine = {"capacity": 1, "kv_capacity": 1000}
    setup = Setup(registry, clock, capacity=8, backend_engine=engine)
    for _ in range(2):
        setup.send()
    with pytest.raises(Overloaded):
        setup.send()


def test_retry_of_a_request_that_was_sent_is_not_limited(setup):
    for _ in range(2 * CAPACITY):
        setup.send()
    setup.send(QUERY._replace(sent_before=True))


def test_service_without_workers_is_not_reported_as_overloaded(setup):
    """Its requests wait for a worker to appear instead of being told to come back."""
    assert setup.admission.limit(PlacementQuery("unknown")).excluded == frozenset()
    excluded = frozenset({Incarnation("w0"), Incarnation("w1")})
    assert setup.admission.limit(QUERY._replace(excluded=excluded)).excluded == excluded
