"""Log events about the learned speeds of workers."""

from wheelslip.deployment import Incarnation, worker_id_of
from wheelslip.events import LogEvent, log_event


def log_speed_change(worker: Incarnation, service: str, previous: float, rate: float) -> None:
    """Log that the prefill rate of a worker has changed by more than a factor of 2."""
    log_event(
        LogEvent.ENGINE_SPEED_CHANGED,
        engine=worker_id_of(worker),
        incarnation=worker,
        workload=service,
        previous_rate=round(previous),
        rate=round(rate),
    )
