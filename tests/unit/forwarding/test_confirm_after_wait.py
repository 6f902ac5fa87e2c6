"""The API key of a request that has waited in a queue is checked again before the request runs."""

import asyncio
from types import SimpleNamespace
from unittest.mock import AsyncMock, Mock

import pytest

from wheelslip.deployment import Incarnation, Worker, WorkerInfo, WorkerState
from wheelslip.errors import ErrorKind, WheelslipError
from wheelslip.forwarding.assignment import WorkerAssigner
from wheelslip.forwarding.forwarder import Forwarder
from wheelslip.peers.dispatcher_health import DispatcherUnavailable
from wheelslip.routing.placement import Placement
from wheelslip.routing.queue.service_times import TimesByService

WORKER = Worker(WorkerInfo(Incarnation("w1"), "s", "127.0.0.1:1", "z", WorkerState.READY, 4), {})


def make_job(may_have_run: int = 0) -> Mock:
    job = Mock(may_have_run=may_have_run, attempts_sent=may_have_run, excluded=set(), tenant=None)
    job.request.arrived = 0.0
    job.route.split = [Mock(service="s")]
    job.required_version, job.unverified = "", set()
    job.failure_reason, job.deadline, job.has_waited = "connection reset", 9.0, False
    job.response_deadline = 9.0
    return job


@pytest.mark.parametrize("refusal", [ErrorKind.NOT_READY, ErrorKind.AUTHENTICATION_FAILED])
@pytest.mark.parametrize("may_have_run", [0, 1])
def test_failed_check_after_an_attempt_that_may_have_run_is_not_reported_as_not_run(
    refusal, may_have_run
):
    """401 and 503 guarantee that the request has not run, and a retry waits in the queue too."""
    assignment = Mock(queued=True)
    assigner = SimpleNamespace(assign=AsyncMock(return_value=assignment))
    streams = Mock(resolve_required_version=AsyncMock())
    forwarder = Forwarder(Mock(), Mock(), assigner, *[Mock()] * 2, streams, Mock(), Mock(), Mock())
    forwarder._clock = lambda: 0.0
    forwarder._admission = Mock()
    forwarder._admission.confirm.side_effect = WheelslipError(refusal, "no valid key")
    with pytest.raises(WheelslipError) as raised:
        asyncio.run(forwarder._assign(make_job(may_have_run), "s"))
    assert raised.value.kind is (ErrorKind.ENGINE_LOST if may_have_run else refusal)
    assignment.record_unused.assert_called_once_with()


@pytest.mark.parametrize("waits", [True, False])
def test_request_that_has_waited_is_checked_also_if_the_node_then_chooses_its_worker(waits):
    """Otherwise a key that was revoked during the wait would be used when dispatchers fail."""

    async def request_grant(query, terms):
        if waits:
            terms.query()
        raise DispatcherUnavailable

    records, job = Mock(start_capacity=Mock(return_value=4)), make_job()
    records.choose.return_value = Placement(WORKER)
    registry = Mock()
    registry.withheld.return_value = set()
    assigner = WorkerAssigner(
        "z",
        registry,
        records,
        Mock(idle_workers=Mock(return_value=frozenset())),
        SimpleNamespace(request_grant=request_grant),
        Mock(),
        Mock(),
        TimesByService(),
        lambda: True,
        lambda: True,
        lambda job, service: frozenset(),
        lambda: 0.0,
    )
    assigner._local_choice = Mock(choose=Mock(return_value=Placement(WORKER)))
    assignment = asyncio.run(assigner.assign(job, "s"))
    assert assignment.queued is waits
