"""Numbered log events, written as JSON lines.

The catalogue for operators is ``docs/EVENTS.md``; ``tests/unit/test_catalogues.py``
holds the two together.
"""

import enum
import logging
import sys

from pythonjsonlogger.json import JsonFormatter

_LOGGER = logging.getLogger("wheelslip")


class LogEvent(enum.IntEnum):
    """Every event a node logs. Numbers are never reused."""

    NODE_STARTED = 100
    NODE_READY = 101
    NODE_STOP_REQUESTED = 102
    NODE_STOPPED = 103
    NODE_STOP_CUT = 104
    TASK_FAILED = 105
    SETTINGS_RELOADED = 106
    SETTINGS_REFUSED = 107
    REQUEST_FINISHED = 200
    REQUEST_REFUSED = 201
    REQUEST_FAULT = 202
    CALLER_GONE = 203
    ATTEMPT_FAILED = 204
    ATTEMPT_RESUMED = 205
    STREAM_CONTINUED = 206
    ENGINE_UP = 300
    ENGINE_DOWN = 301
    ENGINE_REPLACED = 302
    ENGINE_LEAVING = 303
    ENGINE_VERSION_CHANGED = 304
    MACHINE_LIST_UNAVAILABLE = 310
    KEY_VALUE_UNAVAILABLE = 400
    KEY_VALUE_ANSWER_LOST = 402
    KEY_VALUE_REGAINED = 403
    REGISTRY_ENTRY_REFUSED = 404
    CLAIM_TAKEN_OVER = 410
    CLAIM_COMPLETION_DEFERRED = 411
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
        LogEvent.TASK_FAILED,
        LogEvent.REQUEST_FAULT,
        LogEvent.ENGINE_DOWN,
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
    }
)


def configure_logging(node_name: str, zone: str) -> None:
    """Send JSON lines to standard error, each carrying the node's name and zone."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        JsonFormatter(
            "%(asctime)s %(levelname)s %(message)s",
            static_fields={"node": node_name, "zone": zone},
        )
    )
    _LOGGER.handlers = [handler]
    _LOGGER.setLevel(logging.INFO)
    _LOGGER.propagate = False


def log_event(event: LogEvent, **fields: object) -> None:
    """Write one numbered event with its fields."""
    level = logging.WARNING if event in _WARNING_EVENTS else logging.INFO
    _LOGGER.log(level, event.name.lower(), extra={"event": int(event), **fields})
