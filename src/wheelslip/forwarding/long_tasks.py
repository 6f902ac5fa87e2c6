"""Background tasks that run as long as their node and are restarted on failure."""

import asyncio
from collections.abc import Callable, Coroutine

from wheelslip.events import LogEvent, log_event

RESTART_SECONDS = 0.2
"""Pause before a failed task is restarted."""


class BackgroundTasks:
    """The background tasks of one node; references prevent their garbage collection."""

    def __init__(self):
        self._tasks: list[asyncio.Task] = []

    def start(self, name: str, work: Callable[[], Coroutine]) -> None:
        """Start a task that is restarted whenever it raises an exception."""
        task = asyncio.get_running_loop().create_task(self._run_with_restarts(name, work))
        self._tasks.append(task)

    def cancel(self) -> None:
        """Cancel all tasks."""
        for task in self._tasks:
            task.cancel()

    async def _run_with_restarts(self, name: str, work: Callable[[], Coroutine]) -> None:
        while True:
            try:
                await work()
                return
            except Exception as error:
                log_event(LogEvent.TASK_FAILED, task=name, reason=repr(error))
                await asyncio.sleep(RESTART_SECONDS)
