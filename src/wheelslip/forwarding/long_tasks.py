"""Tasks that run as long as their node, and begin anew when they fail."""

import asyncio
from collections.abc import Callable, Coroutine

from wheelslip.events import LogEvent, log_event

RESTART_SECONDS = 0.2
"""Pause before a failed task begins anew, so that a fault that stays costs little."""


class LongTasks:
    """The tasks of one node; a reference to each is kept, or it would be collected."""

    def __init__(self):
        self._tasks: list[asyncio.Task] = []

    def start(self, name: str, work: Callable[[], Coroutine]) -> None:
        """Start a task and keep it running."""
        task = asyncio.get_running_loop().create_task(self._keep_running(name, work))
        self._tasks.append(task)

    def cancel(self) -> None:
        """End all tasks."""
        for task in self._tasks:
            task.cancel()

    async def _keep_running(self, name: str, work: Callable[[], Coroutine]) -> None:
        while True:
            try:
                await work()
                return
            except Exception as error:
                log_event(LogEvent.TASK_FAILED, task=name, reason=repr(error))
                await asyncio.sleep(RESTART_SECONDS)
