"""Numbered log events, written as JSON lines.

``docs/EVENTS.md`` describes the events for operators; ``tests/unit/test_catalogues.py`` checks
that it lists the same numbers and names.
"""

import enum
import logging
import os
import sys
from collections.abc import Callable

from pythonjsonlogger.json import JsonFormatter

_LOGGER = logging.getLogger("wheelslip")


class LogEvent(enum.IntEnum):
    """Every event that a node logs. Numbers are never reused."""

    NODE_STARTED = 100
    NODE_READY = 101
    NODE_STOP_REQUESTED = 102
    NODE_STOPPED = 103
    NODE_STOP_CUT = 104
    TASK_FAILED = 105
    SETTINGS_RELOADED = 106
    SETTINGS_REFUSED = 107
    PROCESS_STALLED = 108
    REQUEST_FINISHED = 200
    REQUEST_REFUSED = 201
    REQUEST_FAULT = 202
    CALLER_GONE = 203
    ATTEMPT_FAILED = 204
    ATTEMPT_RESUMED = 205
    STREAM_CONTINUED = 206
    PROMPT_COMPUTED = 207
    CONTENT_REFUSED = 208
    CONTENT_CLEARED = 209
    STREAM_TAKEN_UP = 210
    PROMPT_PART_REFUSED = 211
    STREAMS_NOT_SAVED = 212
    VERSIONS_REGISTERED = 213
    VERSIONS_NOT_REGISTERED = 214
    CONNECTION_CLOSED_FOR_MEMORY = 220
    ENGINE_UP = 300
    ENGINE_DOWN = 301
    ENGINE_REPLACED = 302
    ENGINE_LEAVING = 303
    ENGINE_VERSION_CHANGED = 304
    ENGINE_DOUBTFUL = 305
    ENGINE_ENDED_UNDER = 306
    ENGINE_SAID_LEAVING = 307
    ENGINE_REST_BEGAN = 308
    ENGINE_REST_ENDED = 309
    MACHINE_LIST_UNAVAILABLE = 310
    ENGINE_LIMIT_NAMED = 311
    ENGINE_LIMIT_ENDED = 312
    ENGINE_LIMIT_UNREADABLE = 313
    ENGINE_SPEED_CHANGED = 314
    ENGINE_PATH_LOST = 315
    ENGINE_PATH_REGAINED = 316
    ENGINE_SUSPECTED = 317
    NODE_ISOLATED_FROM_WORKERS = 318
    NODE_REJOINED_WORKERS = 319
    TUNNEL_OPENED = 320
    TUNNEL_SERVED = 321
    ENGINE_BRITTLE = 322
    ENGINE_RESTARTED = 323
    ENGINE_NOT_VERIFIED = 324
    KEY_VALUE_UNAVAILABLE = 400
    KEY_VALUE_ANSWER_LOST = 402
    KEY_VALUE_REGAINED = 403
    REGISTRY_ENTRY_REFUSED = 404
    KEY_VALUE_ERA = 416
    REGISTRY_RESTORED = 417
    RELAY_FOLLOWED = 405
    RELAY_LOST = 406
    DISPATCHER_FOLLOWED = 407
    DISPATCHER_LOST = 408
    GRANT_UNCOUNTED = 409
    CLAIM_TAKEN_OVER = 410
    CLAIM_COMPLETION_DEFERRED = 411
    REQUEST_QUEUED = 412
    QUEUE_REJECTED = 413
    QUEUE_DISPLACED = 414
    CONFIGURATION_IN_FORCE = 500
    CONFIGURATION_ACCEPTED = 501
    CONFIGURATION_REFUSED = 502
    POLICY_FAILED = 510
    MEMBER_ALIVE = 600
    MEMBER_SUSPECTED = 601
    MEMBER_DEAD = 602
    MEMBER_LEFT = 603
    PEER_MESSAGE_REFUSED = 610
    ORDER_GIVEN = 700
    ORDER_REFUSED = 701
    LEASE_LOST = 702
    LEASE_GAINED = 703
    LEASE_CALL_FAILED = 704


_WARNING_EVENTS = frozenset(
    {
        LogEvent.NODE_STOP_CUT,
        LogEvent.PROCESS_STALLED,
        LogEvent.TASK_FAILED,
        LogEvent.REQUEST_FAULT,
        LogEvent.CONTENT_REFUSED,
        LogEvent.PROMPT_PART_REFUSED,
        LogEvent.CONNECTION_CLOSED_FOR_MEMORY,
        LogEvent.ENGINE_ENDED_UNDER,
        LogEvent.ENGINE_DOWN,
        LogEvent.NODE_ISOLATED_FROM_WORKERS,
        LogEvent.MACHINE_LIST_UNAVAILABLE,
        LogEvent.KEY_VALUE_UNAVAILABLE,
        LogEvent.KEY_VALUE_ANSWER_LOST,
        LogEvent.POLICY_FAILED,
        LogEvent.MEMBER_DEAD,
        LogEvent.PEER_MESSAGE_REFUSED,
        LogEvent.LEASE_LOST,
        LogEvent.SETTINGS_REFUSED,
        LogEvent.REGISTRY_ENTRY_REFUSED,
        LogEvent.LEASE_CALL_FAILED,
        LogEvent.RELAY_LOST,
    }
)


class NonBlockingHandler(logging.Handler):
    """Writes lines to a descriptor without blocking, and drops those that it cannot accept.

    :ivar dropped: lines dropped since the last one written.
    """

    def __init__(self, descriptor: int):
        super().__init__()
        self._descriptor = descriptor
        self._unwritten = b""
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write one line, after the unwritten end of an earlier one."""
        if self.dropped:
            record.dropped_lines = self.dropped
        line = (self.format(record) + "\n").encode()
        try:
            if self._unwritten:
                self._unwritten = self._unwritten[os.write(self._descriptor, self._unwritten) :]
            if self._unwritten:
                self.dropped += 1
                return
            self._unwritten = line[os.write(self._descriptor, line) :]
            self.dropped = 0
        except OSError:
            self.dropped += 1


def configure_logging(node_name: str, zone: str, handler: logging.Handler | None = None) -> None:
    """Log JSON lines that contain the node's name and zone.

    :param handler: receives the lines; ``None`` to write to standard error.
    """
    handler = handler or logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        JsonFormatter(
            "%(asctime)s %(levelname)s %(message)s",
            static_fields={"node": node_name, "node_zone": zone},
        )
    )
    _LOGGER.handlers = [handler]
    _LOGGER.setLevel(logging.INFO)
    _LOGGER.propagate = False


class LogBudget:
    """Token bucket that limits the rate of log lines about single requests.

    :param lines_per_second: rate, and the number of lines that may be logged at once.
    """

    def __init__(self, lines_per_second: float, clock: Callable[[], float]):
        self._rate = lines_per_second
        self._clock = clock
        self._tokens = lines_per_second
        self._updated_at = clock()
        self._suppressed = 0

    def log(self, event: "LogEvent", **fields: object) -> None:
        """Write a line, or count it as suppressed in the next one if the budget is exhausted."""
        now = self._clock()
        self._tokens = min(self._rate, self._tokens + (now - self._updated_at) * self._rate)
        self._updated_at = now
        if self._tokens < 1.0:
            self._suppressed += 1
            return
        self._tokens -= 1.0
        if self._suppressed:
            fields["suppressed"] = self._suppressed
            self._suppressed = 0
        log_event(event, **fields)


def log_event(event: LogEvent, **fields: object) -> None:
    """Log one event with its number and fields."""
    level = logging.WARNING if event in _WARNING_EVENTS else logging.INFO
    _LOGGER.log(level, event.name.lower(), extra={"event": int(event), **fields})
