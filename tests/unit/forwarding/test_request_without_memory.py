"""A request whose body does not fit into the memory account is not sent to its worker."""

import asyncio
from types import SimpleNamespace
from unittest.mock import AsyncMock, Mock

import pytest

from wheelslip.deployment import Incarnation, RouteKind, Worker, WorkerInfo, WorkerState
from wheelslip.errors import ErrorKind, WheelslipError
from wheelslip.forwarding.assignment import Assignment
from wheelslip.forwarding.attempt import Attempt, AttemptServices
from wheelslip.forwarding.forwarder import Forwarder
from wheelslip.memory.account import MemoryUse
from wheelslip.memory.node_memory import NodeMemory
from wheelslip.routing.dispatcher import Progress
from wheelslip.routing.placement import Placement
from wheelslip.routing.queue.service_times import ServiceTimes

WORKER = Worker(WorkerInfo(Incarnation("w1"), "s", "127.0.0.1:1", "z", WorkerState.READY, 4), {})
SIZE = 1_000_000


def make_job(body: bytes, may_have_run: int) -> Mock:
    job = Mock(may_have_run=may_have_run, failed_response=None, attempts_sent=may_have_run)
    job.request.body = body
    job.route.kind = RouteKind.IDEMPOTENT
    return job


def make_caller(clock) -> SimpleNamespace:
    memory = NodeMemory(lambda: SIZE, clock)
    return SimpleNamespace(memory=memory.open(Mock()))


@pytest.mark.parametrize("granted", [True, False])
@pytest.mark.parametrize("may_have_run", [0, 1])
def test_request_that_was_not_sent_leaves_no_record_of_its_worker(granted, may_have_run, clock):
    """It says nothing about the worker: neither success, which ends a suspicion, nor a fault."""
    records, allowance, link, registry = Mock(), Mock(), Mock(), Mock()
    grant = Mock() if granted else None
    placement = Placement(WORKER, rate_limit_charged=True)
    assignment = Assignment(placement, records, allowance, link, grant, ServiceTimes(), clock)
    connection = Mock()
    pool = SimpleNamespace(acquire=AsyncMock(return_value=connection))
    streams = Mock(verify_process=AsyncMock(return_value=True))
    forwarder = Forwarder(Mock(), registry, Mock(), pool, Mock(), streams, Mock(), clock, Mock())
    job = make_job(bytes(SIZE), may_have_run)
    with pytest.raises(WheelslipError) as raised:
        asyncio.run(forwarder._attempt(job, assignment, make_caller(clock)))
    assert raised.value.kind is (ErrorKind.ENGINE_LOST if may_have_run else ErrorKind.MEMORY_FULL)
    assert job.attempts_sent == job.may_have_run == may_have_run
    connection.send.assert_not_called()
    connection.close.assert_called_with()
    records.record_outcome.assert_not_called()
    records.begin.assert_not_called()
    registry.notices.begin.assert_not_called()
    if granted:
        link.report_progress.assert_called_once_with(grant, Progress.UNUSED)
    else:
        allowance.refund.assert_called_once_with(WORKER.info.id)


def test_buffer_of_a_failed_attempt_is_released_when_it_ends(clock):
    """The request may wait for its next worker for seconds, without the data."""
    caller, job = make_caller(clock), make_job(b"", 0)
    services = AttemptServices(Mock(), Mock(), Mock(), Mock(), Mock(), clock)
    attempt = Attempt(services, job, Mock(), Mock(), caller)
    caller.memory.set_buffered(5000)
    attempt.finish()
    assert caller.memory.by_use[MemoryUse.BUFFERED_RESPONSE] == 0
    job.failed_response = Mock(body=bytes(100))
    caller.memory.set_buffered(5000)
    attempt.finish()
    assert caller.memory.by_use[MemoryUse.BUFFERED_RESPONSE] == 100
    caller.memory.set_buffered(0)
    attempt.finish()
    assert caller.memory.held == 0
