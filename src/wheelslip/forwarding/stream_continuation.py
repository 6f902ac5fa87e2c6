"""Streams continue only at workers of the software version that began them.

Workers of different versions write streams that do not fit together, and do not check it.
"""

import asyncio
from collections.abc import Callable

from wheelslip.connections.http_client import HttpConnection
from wheelslip.deployment import (
    Incarnation,
    RouteKind,
    WorkerInfo,
    incarnation_of,
    worker_id_of,
)
from wheelslip.errors import ErrorKind, WheelslipError
from wheelslip.events import LogEvent, log_event
from wheelslip.forwarding.process_checks import ProcessChecks
from wheelslip.forwarding.unverified_streams import UnverifiedStream, UnverifiedStreams
from wheelslip.forwarding_settings import BoundsSection
from wheelslip.job import Job
from wheelslip.registry.registry import Registry
from wheelslip.streams.process_names import (
    ProcessName,
    decode_process_name,
    describe_version,
    encode_process_name,
    is_process_name,
    is_unverified,
    worker_version,
)
from wheelslip.streams.version_link import SaveOutcome, StreamVersionLink
from wheelslip.streams.version_records import StreamOrigin, stream_key
from wheelslip.streams.version_register import RegisteredVersions

CHECK_SECONDS = 0.15
"""Longest time for which a request waits for the report of a worker that may have restarted."""

LAST_CHECK_SECONDS = 1.0
"""The same where the request would be refused otherwise."""

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
        checks: ProcessChecks,
        bounds: Callable[[], BoundsSection],
        clock: Callable[[], float],
    ):
        self._link = link
        self._registry = registry
        self._checks = checks
        self._clock = clock
        self._unverified = UnverifiedStreams(checks, registry, bounds, clock, self._record_verified)
        self._saves_slow_until = float("-inf")
        self.taken_up = 0
        self.refused = 0

    def gauges(self) -> dict[str, Callable[[], float]]:
        """Return the gauges by name."""
        return {
            "streams_taken_up": lambda: float(self.taken_up),
            "streams_refused": lambda: float(self.refused),
            "streams_unverified": lambda: float(self.unverified),
        }

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
        version = await self._resolve(known.origin.software_version) if known else ""
        if not version:
            raise self._unknown_version(job, f"no node can tell it for {resumed_id!r}")
        origin = known.origin
        log_event(
            LogEvent.STREAM_TAKEN_UP,
            request=job.request.metadata.request_id,
            resumes=resumed_id or None,
            workload=origin.service,
            software_version=describe_version(version),
            known_by=known.known_by,
        )
        job.required_version = version
        return origin.service if origin.service in services else service

    def require_version_in_use(self, job: Job, service: str) -> None:
        """Check that a worker of the required version accepts requests.

        :raises WheelslipError: if there is none, so that waiting is useless.
        """
        version = job.required_version = self._current_version(job.required_version)
        if not version or any(
            worker_version(worker) == version for worker in self._registry.workers_of(service)
        ):
            return
        if is_process_name(version):
            raise self._unknown_version(job, "the process that began the stream is not in use")
        message = f"no worker of software version {version}, which began the stream, is in use"
        raise self._refusal(job, ErrorKind.STREAM_VERSION_GONE, message)

    def _unknown_version(self, job: Job, reason: str) -> WheelslipError:
        message = f"the software version that began the stream is not known: {reason}"
        return self._refusal(job, ErrorKind.STREAM_VERSION_UNKNOWN, message)

    def _refusal(self, job: Job, kind: ErrorKind, message: str) -> WheelslipError:
        """Return the error for a stream that cannot go on, also if it broke in this answer."""
        self.refused += 1
        return WheelslipError(ErrorKind.ENGINE_LOST if job.may_have_run else kind, message)

    async def verify_process(
        self, job: Job, worker: WorkerInfo, connection: HttpConnection
    ) -> bool:
        """Find out which process of a worker a connection leads to, which may have restarted.

        To be called when the connection is open: a process that answers a report after that is the
        one to which the connection leads.

        :return: whether to send the request there. Otherwise the worker is avoided: its software
            version is not known, or not the required one.
        """
        if not job.route.resumable or not worker.born:
            job.begun_version = worker.software_version
            return True
        if not connection.born:
            connection.born = await self._ask_process(job, worker, bool(connection.via))
        if connection.born:
            self._registry.record_process(worker.id, connection.born)
        job.begun_version = self._process_version(worker, connection.born)
        if job.required_version:
            if job.begun_version == job.required_version:
                return True
        elif job.accepts_unverified or not is_process_name(job.begun_version):
            return True
        (job.excluded if job.accepts_unverified else job.unverified).add(worker.id)
        return False

    async def _ask_process(self, job: Job, worker: WorkerInfo, tunneled: bool) -> int:
        """Return when the present process of a worker started, 0 if that is not learned in time."""
        if job.required_version and job.accepts_unverified:
            return await self._checks.ask(worker, LAST_CHECK_SECONDS, tunneled)
        if self._checks.failed_recently(worker.id):
            return 0
        return await self._checks.ask(worker, CHECK_SECONDS, tunneled)

    def _process_version(self, worker: WorkerInfo, born: int) -> str:
        """Return the software version of a worker's process, or its name if that is not known.

        :param born: start of the process; 0 if it is not known which one it is.
        """
        if not born:
            return encode_process_name(ProcessName(worker.id, verified=False))
        name = ProcessName(incarnation_of(worker.worker_id, born))
        version = self._registry.view.version_of(name.incarnation)
        return encode_process_name(name) if version is None else version

    async def resolve_required_version(self, job: Job) -> None:
        """Replace the name of the process that a request requires by its version if it is known.

        :raises WheelslipError: if it is not known which process began the stream.
        """
        if not is_process_name(job.required_version):
            return
        recorded = self._link.records.find(self._keys(job)[0])
        name = recorded.software_version if recorded is not None else job.required_version
        version = await self._resolve(name)
        if not version:
            raise self._unknown_version(job, "its worker may have restarted")
        job.required_version = version

    async def _resolve(self, version: str) -> str:
        """Return the software version of a process if it is known, or its name if it answers.

        :param version: a software version, which is returned, or the name of a process.
        :return: empty if neither is the case.
        """
        version = self._current_version(version)
        name = decode_process_name(version)
        if name is None:
            return version
        worker = self._registry.view.by_id(worker_id_of(name.incarnation))
        if worker is None:
            return ""
        born = await self._checks.ask(worker.info, LAST_CHECK_SECONDS)
        if not born or incarnation_of(worker.info.worker_id, born) != name.incarnation:
            return ""
        self._registry.record_process(worker.info.id, born)
        return self._current_version(encode_process_name(ProcessName(name.incarnation)))

    def _current_version(self, version: str) -> str:
        """Return the software version of a verified process if its entry has been seen by now."""
        name = decode_process_name(version)
        if name is None or not name.verified:
            return version
        known = self._registry.view.version_of(name.incarnation)
        return version if known is None else known

    def accept_unverified(self, job: Job, service: str) -> bool:
        """Let a request use workers that were avoided, if there are any.

        :return: whether there are, so that another worker may be assigned.
        """
        if job.accepts_unverified:
            return False
        workers = self._registry.workers_of(service) if job.route.resumable else []
        has_restarted = not job.required_version and any(each.restarted_as for each in workers)
        job.accepts_unverified = bool(job.unverified) or has_restarted
        job.unverified.clear()
        return job.accepts_unverified

    def forget(self, incarnation: Incarnation) -> None:
        """Delete what is recorded of a removed worker."""
        self._checks.forget(incarnation)

    def close(self) -> None:
        """Stop all verification in the background."""
        self._unverified.close()

    @property
    def unverified(self) -> int:
        """Number of streams of which it is not known yet which process began them."""
        return len(self._unverified)

    def excluded_workers(self, job: Job, service: str) -> frozenset[Incarnation]:
        """Return the workers at which a request may not run now, because of their version.

        They have another version than the stream, or one that is not registered yet, or one whose
        streams have to be saved while the store is not available. Workers that have restarted are
        avoided while others are available.
        """
        allowed = self._allowed_versions(job)
        if allowed is None:
            return frozenset()
        return frozenset(
            worker.info.id
            for worker in self._registry.workers_of(service)
            if not _is_allowed(job, allowed, worker_version(worker))
        )

    def awaits_store(self, job: Job, service: str) -> bool:
        """Return whether no worker accepts a new stream before the store is available again."""
        if job.required_version or self._store_is_available():
            return False
        workers = {worker.info.id for worker in self._registry.workers_of(service)}
        return bool(workers) and workers <= self.excluded_workers(job, service)

    def may_begin_at(self, job: Job, info: WorkerInfo) -> bool:
        """Return whether a request may be sent to a worker of this version now."""
        allowed = self._allowed_versions(job)
        worker = self._registry.workers.get(info.id)
        return (
            allowed is None or worker is None or _is_allowed(job, allowed, worker_version(worker))
        )

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
        continued = job.required_version
        job.required_version = version = job.begun_version
        if not job.route.resumable or not version:
            return
        keys, origin = self._keys(job), StreamOrigin(worker.service, version)
        seconds = self._record_seconds(job)
        self._link.record(keys, origin, seconds)
        if is_unverified(version):
            now = self._clock()
            self._unverified.add(UnverifiedStream(worker, tuple(keys), now, now + seconds))
        services = _services(job)
        registered = self._link.register.registered(services)
        if registered == RegisteredVersions(frozenset({version}), version):
            return
        self._link.back_up(keys, origin, seconds)
        saving = self._link.save_soon(keys, origin)
        if continued or _continues_stream(job) or version == registered.base:
            return
        if version in registered.versions and not self._saves_before_event(registered, services):
            await self._wait_briefly(saving)
            return
        await asyncio.wait([saving], timeout=SAVE_SECONDS)
        outcome = saving.result() if saving.done() else SaveOutcome.UNKNOWN
        if is_process_name(version) and outcome is SaveOutcome.STORE_AWAY:
            # Nodes ask each other for streams that could not be saved during an outage.
            return
        if outcome is not SaveOutcome.SAVED:
            raise WheelslipError(
                ErrorKind.ENGINE_LOST, "the software version of the stream cannot be saved"
            )

    def _record_verified(self, stream: UnverifiedStream) -> None:
        """Record the version of a stream of which the process that began it is known now."""
        origin = StreamOrigin(stream.worker.service, stream.worker.software_version)
        seconds = stream.recorded_until - self._clock()
        self._link.record(stream.keys, origin, seconds)
        self._link.back_up(stream.keys, origin, seconds)
        self._link.save_soon(stream.keys, origin)

    async def _wait_briefly(self, saving: asyncio.Task[SaveOutcome]) -> None:
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


def _is_allowed(job: Job, allowed: frozenset[str], version: str) -> bool:
    """Return whether a request may run at a version.

    :param allowed: the versions at which it may run.
    :param version: of a worker, or the name of its process.
    """
    if is_process_name(version) and not job.required_version:
        return job.accepts_unverified
    return version in allowed


def _services(job: Job) -> list[str]:
    return [part.service for part in job.route.split]


def _continues_stream(job: Job) -> bool:
    metadata = job.request.metadata
    is_continued = metadata.last_event_id is not None or bool(metadata.resumed_id)
    return job.route.kind is RouteKind.STREAM and is_continued
