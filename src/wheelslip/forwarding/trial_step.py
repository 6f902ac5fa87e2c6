"""Begins the trial of a request that is suspected of crashing workers, once it has a worker."""

import asyncio

from wheelslip.crashes.guard import CrashGuard
from wheelslip.errors import WheelslipError
from wheelslip.forwarding.assignment import Assignment
from wheelslip.forwarding.unserved import truthful_error
from wheelslip.job import Job


async def begin_trial(guard: CrashGuard, job: Job, service: str, assignment: Assignment) -> bool:
    """Begin the trial of a request that is suspected by now.

    :return: whether the request may run at the assigned worker; if not, its grant is returned.
    :raises WheelslipError: if the request may not run; its grant is returned.
    """
    try:
        await guard.begin_trial(job, service)
    except WheelslipError as error:
        assignment.record_unused()
        raise truthful_error(job, error) from error
    except asyncio.CancelledError:
        assignment.record_unused()
        raise
    if job.on_trial and assignment.placement.worker.info.id in job.excluded:
        assignment.record_unused()
        return False
    return True
