"""Streams continue only at workers of the software version that began them.

Workers of different versions write streams that do not fit together, and do not check it.
"""

import asyncio
from collections.abc import Callable

from wheelslip.deployment import RouteKind, WorkerInfo
from wheelslip.errors import ErrorKind, WheelslipError
from wheelslip.events import LogEvent, log_event
from wheelslip.job import Job
from wheelslip.registry.interface import WorkerControl, WorkerUnreachable
from wheelslip.registry.registry import Registry
from wheelslip.streams.version_link import StreamVersionLink
from wheelslip.streams.version_records import StreamOrigin, stream_key

RESTART_CHECK_SECONDS = 0.15
"""Longest time to wait for the report of a worker that may have restarted."""

RECORD_MARGIN_SECONDS = 10.0
"""Time for which a stream is recorded beyond the end of its request, in which its caller may still
take it up."""


class StreamContinuation:
    """Determines and records the software versions of streams.

    :ivar taken_up: number of requests that continue a stream of an earlier request.
    :ivar refused: number of these refused because their version is unknown or has left.
    """

    def __init__(
        self,
        link: StreamVersionLink,
        registry: Registry,
        control: WorkerControl,
        clock: Callable[[], float],
    ):
        self._link = link
        self._registry = registry
        self._control = control
        self._clock = clock
        self.taken_up = 0
        self.refused = 0

    async def prepare(self, job: Job, service: str) -> str:
        """Set the version that a request requires if it continues a stream.

        :param service: service chosen for a new request of the route.
        :return: the service that began the stream if the route still leads there.
        :raises WheelslipError: if several versions are in use and no node knows the right one.
        """
        if not _continues_stream(job):
            return service
        self.taken_up += 1
        resumed_id = job.request.metadata.resumed_id
        key = stream_key(resumed_id) if resumed_id else ""
        origin = await self._link.find_origin(key, service)
        if origin is None:
            self.refused += 1
            raise WheelslipError(
                ErrorKind.STREAM_VERSION_UNKNOWN,
                f"no node knows the software version that began stream {resumed_id!r}",
            )
        log_event(
            LogEvent.STREAM_TAKEN_UP,
            request=job.request.metadata.request_id,
            resumes=resumed_id or None,
            workload=origin.service,
            software_version=origin.software_version,
        )
        job.required_version = origin.software_version
        services = {part.service for part in job.route.split}
        return origin.service if origin.service in services else service

    def require_version_in_use(self, job: Job, service: str) -> None:
        """Check that a worker of the required version accepts requests.

        :raises WheelslipError: if there is none, so that waiting is useless.
        """
        version = job.required_version
        if not version or any(
            worker.info.software_version == version for worker in self._registry.workers_of(service)
        ):
            return
        self.refused += 1
        message = f"no worker of software version {version}, which began the stream, is in use"
        kind = ErrorKind.ENGINE_LOST if job.may_have_run else ErrorKind.STREAM_VERSION_GONE
        raise WheelslipError(kind, message)

    async def is_restarted(self, job: Job, worker: WorkerInfo) -> bool:
        """Return whether a worker has restarted under its id, perhaps with another version.

        To be called when a connection to it is open: if the incarnation in the view still answers
        after that, the connection leads to it.
        """
        versions = self._link.history.versions(worker.service)
        if not job.required_version or not worker.born or len(versions) == 1 or job.via:
            return False
        try:
            async with asyncio.timeout(RESTART_CHECK_SECONDS):
                report = await self._control.report(worker)
        except (WorkerUnreachable, TimeoutError):
            return False
        if report.born in (0, worker.born):
            return False
        self._registry.mark_replaced(worker.id)
        return True

    def record_attempt(self, job: Job, worker: WorkerInfo) -> None:
        """Record the version of the worker that a stream is sent to."""
        if not job.route.resumable or not worker.software_version:
            return
        metadata = job.request.metadata
        keys = [stream_key(name) for name in (metadata.request_id, metadata.resumed_id) if name]
        lasts_until = max(job.deadline, job.request.arrived + job.route.timeout_seconds)
        if metadata.deadline_seconds is not None:
            lasts_until = max(lasts_until, job.request.arrived + metadata.deadline_seconds)
        self._link.record(
            keys,
            StreamOrigin(worker.service, worker.software_version),
            lasts_until - self._clock() + RECORD_MARGIN_SECONDS,
            urgent=job.attempts_sent > 0,
        )


def _continues_stream(job: Job) -> bool:
    metadata = job.request.metadata
    is_continued = metadata.last_event_id is not None or bool(metadata.resumed_id)
    return job.route.kind is RouteKind.STREAM and is_continued
