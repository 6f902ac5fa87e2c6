"""Streams continue only at workers of the software version that began them.

Workers of different versions write streams that do not fit together, and do not check it.
"""

import asyncio
from collections.abc import Callable

from wheelslip.connections.http_client import HttpConnection
from wheelslip.deployment import Incarnation, RouteKind, WorkerInfo
from wheelslip.errors import ErrorKind, WheelslipError
from wheelslip.events import LogEvent, log_event
from wheelslip.job import Job
from wheelslip.registry.interface import WorkerControl, WorkerUnreachable
from wheelslip.registry.registry import Registry
from wheelslip.streams.version_link import StreamVersionLink
from wheelslip.streams.version_records import StreamOrigin, stream_key
from wheelslip.streams.version_register import RegisteredVersions

RESTART_CHECK_SECONDS = 0.15
"""Longest time to wait for the report of a worker that may have restarted."""

SAVE_SECONDS = 0.6
"""Longest time for which the first event waits until its record is saved, where the stream could
otherwise be taken for one of the base version."""

BRIEF_SAVE_SECONDS = 0.4
"""Longest time for which the first event waits where an unsaved stream is refused later. After a save
that took longer, no event waits for a while."""

RECENT_FAILURE_SECONDS = 2.0
"""Time after a failed or slow write of records for which the store counts as unavailable."""

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
        self._saves_slow_until = float("-inf")
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
        # Streams of other routes are not recorded.
        key = stream_key(resumed_id) if resumed_id and job.route.resumable else ""
        services = _services(job)
        chosen_first = [service, *(other for other in services if other != service)]
        known = await self._link.find_origin(key, chosen_first)
        if known is None:
            self.refused += 1
            raise WheelslipError(
                ErrorKind.STREAM_VERSION_UNKNOWN,
                f"no node knows the software version that began stream {resumed_id!r}",
            )
        origin = known.origin
        log_event(
            LogEvent.STREAM_TAKEN_UP,
            request=job.request.metadata.request_id,
            resumes=resumed_id or None,
            workload=origin.service,
            software_version=origin.software_version,
            known_by=known.known_by,
        )
        job.required_version = origin.software_version
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

    async def is_restarted(self, job: Job, worker: WorkerInfo, connection: HttpConnection) -> bool:
        """Return whether a worker has restarted under its id, perhaps with another version.

        To be called when the connection is open: if the incarnation in the view still answers
        after that, the connection leads to it.
        """
        if not job.route.resumable or not worker.born or connection.verified or connection.via:
            return False
        try:
            async with asyncio.timeout(RESTART_CHECK_SECONDS):
                report = await self._control.report(worker)
        except (WorkerUnreachable, TimeoutError):
            return False
        if report.born in (0, worker.born):
            connection.verified = True
            return False
        self._registry.mark_replaced(worker.id)
        return True

    def excluded_workers(self, job: Job, service: str) -> frozenset[Incarnation]:
        """Return the workers at which a request may not run now, because of their version.

        They have another version than the stream, or one that is not registered yet, or one whose
        streams have to be saved while the store is not available.
        """
        allowed = self._allowed_versions(job)
        if allowed is None:
            return frozenset()
        return frozenset(
            worker.info.id
            for worker in self._registry.workers_of(service)
            if worker.info.software_version not in allowed
        )

    def may_begin_at(self, job: Job, worker: WorkerInfo) -> bool:
        """Return whether a request may be sent to a worker of this version now."""
        allowed = self._allowed_versions(job)
        return allowed is None or worker.software_version in allowed

    def _allowed_versions(self, job: Job) -> frozenset[str] | None:
        """Return the versions at which a request may run, ``None`` for all."""
        if job.required_version:
            return frozenset({job.required_version})
        if not job.route.resumable:
            return None
        services = _services(job)
        registered = self._link.register.registered(services)
        allowed = registered.versions
        if self._saves_before_event(registered, services) and not self._store_is_available():
            allowed = frozenset({registered.base})
        # Workers that name no version all count as one.
        return allowed | {""}

    async def record_first_event(self, job: Job, worker: WorkerInfo) -> None:
        """Record the version of a stream; to be called before its first event is forwarded.

        :raises WheelslipError: if a node without the record would take the stream for one of
            another version, and it cannot be saved.
        """
        job.required_version = version = worker.software_version
        if not job.route.resumable or not version:
            return
        keys, origin = self._keys(job), StreamOrigin(worker.service, version)
        seconds = self._record_seconds(job)
        self._link.record(keys, origin, seconds)
        services = _services(job)
        registered = self._link.register.registered(services)
        if registered == RegisteredVersions(frozenset({version}), version):
            return
        self._link.back_up(keys, origin, seconds)
        saving = self._link.save_soon(keys, origin)
        if _continues_stream(job) or version == registered.base:
            return
        if version in registered.versions and not self._saves_before_event(registered, services):
            await self._wait_briefly(saving)
            return
        await asyncio.wait([saving], timeout=SAVE_SECONDS)
        if not saving.done() or not saving.result():
            raise WheelslipError(
                ErrorKind.ENGINE_LOST, "the software version of the stream cannot be saved"
            )

    async def _wait_briefly(self, saving: asyncio.Task[bool]) -> None:
        """Wait for a save, unless the store is unavailable or was slow just before."""
        if self._clock() < self._saves_slow_until or not self._store_is_available():
            return
        done, _ = await asyncio.wait([saving], timeout=BRIEF_SAVE_SECONDS)
        if not done:
            self._saves_slow_until = self._clock() + RECENT_FAILURE_SECONDS

    def _saves_before_event(self, registered: RegisteredVersions, services: list[str]) -> bool:
        """Return whether streams of other versions than the base version have to be saved.

        Without workers of the base version, no stream can be continued there by mistake.
        """
        if not registered.differ or not registered.base:
            return False
        register = self._link.register
        return any(register.in_use(service, registered.base) for service in services)

    def _store_is_available(self) -> bool:
        now = self._clock()
        if now - self._link.saved.failed_at < RECENT_FAILURE_SECONDS:
            return False
        return self._registry.health.failing_age(now) is None

    def _keys(self, job: Job) -> list[str]:
        metadata = job.request.metadata
        return [stream_key(name) for name in (metadata.request_id, metadata.resumed_id) if name]

    def _record_seconds(self, job: Job) -> float:
        request = job.request
        lasts_until = max(job.deadline, request.arrived + job.route.timeout_seconds)
        if request.metadata.deadline_seconds is not None:
            lasts_until = max(lasts_until, request.arrived + request.metadata.deadline_seconds)
        return lasts_until - self._clock() + RECORD_MARGIN_SECONDS


def _services(job: Job) -> list[str]:
    return [part.service for part in job.route.split]


def _continues_stream(job: Job) -> bool:
    metadata = job.request.metadata
    is_continued = metadata.last_event_id is not None or bool(metadata.resumed_id)
    return job.route.kind is RouteKind.STREAM and is_continued
