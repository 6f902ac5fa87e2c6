"""The API key of a request that has waited in a queue is checked again before the request runs."""

import asyncio
from types import SimpleNamespace
from unittest.mock import AsyncMock, Mock

import pytest

from wheelslip.errors import ErrorKind, WheelslipError
from wheelslip.forwarding.forwarder import Forwarder

def make_job(may_have_run: int = 0) -> Mock:
    job = Mock(may_have_run=may_have_run, attempts_sent=may_have_run, excluded=set(), tenant=None)
    job.request.arrived = job.route.target_seconds = 0.0
    job.route.split = [Mock(service="s")]
    job.failure_reason, job.deadline, job.has_waited = "connection reset", 9.0, False
    return job


@pytest.mark.parametrize("refusal", [ErrorKind.NOT_READY, ErrorKind.AUTHENTICATION_FAILED])
@pytest.mark.parametrize("may_have_run", [0, 1])
def test_failed_check_after_an_attempt_that_may_have_run_is_not_reported_as_not_run(
    refusal, may_have_run
):
    """401 and 503 guarantee that the request has not run, and a retry waits in the queue too."""
    assignment = Mock(queued=True)
    assigner = SimpleNamespace(assign=AsyncMock(return_value=assignment))
    forwarder = Forwarder(Mock(), Mock(), assigner, Mock(), Mock(), Mock(), lambda: 0.0, Mock())
    forwarder._admission = Mock()
    forwarder._admission.confirm.side_effect = WheelslipError(refusal, "no valid key")
    with pytest.raises(WheelslipError) as raised:
        asyncio.run(forwarder._assign(make_job(may_have_run), "s"))
    assert raised.value.kind is (ErrorKind.ENGINE_LOST if may_have_run else refusal)
    assignment.record_unused.assert_called_once_with()
