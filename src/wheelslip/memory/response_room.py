"""Room for responses that are buffered completely before they are forwarded.

Incomplete responses that together fill the account of the node would wait for each other. So a response
is read on only once there is room for all of it.
"""

import asyncio
from collections import deque
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

SMALL_BYTES = 128 * 1024
"""Size up to which responses need no room of their own; as much is read ahead at any time."""


class _Waiter:
    """A response that waits for room."""

    def __init__(self, count: int):
        self.count = count
        self.granted: asyncio.Future[None] = asyncio.get_running_loop().create_future()


class ResponseRoom:
    """Room for the buffered responses of a node, given in the order of the requests for it.

    :param limit: returns the bytes that all of them may have.
    :ivar reserved: bytes of the responses that are read now.
    """

    def __init__(self, limit: Callable[[], int]):
        self._limit = limit
        self.reserved = 0
        self._waiters: deque[_Waiter] = deque()

    @property
    def waiting(self) -> int:
        """Number of responses that wait for room."""
        return len(self._waiters)

    @asynccontextmanager
    async def reserve(self, count: int) -> AsyncIterator[None]:
        """Wait until there is room for a response, which is held until the end of the block.

        :param count: size of the response; one above the limit is read alone.
        """
        if count <= SMALL_BYTES:
            yield
            return
        await self._acquire(count)
        try:
            yield
        finally:
            self._release(count)

    async def _acquire(self, count: int) -> None:
        waiter = _Waiter(count)
        self._waiters.append(waiter)
        self._grant()
        try:
            await waiter.granted
        except asyncio.CancelledError:
            if waiter.granted.done() and not waiter.granted.cancelled():
                self._release(count)
            else:
                self._waiters.remove(waiter)
                self._grant()
            raise

    def _release(self, count: int) -> None:
        self.reserved -= count
        self._grant()

    def _grant(self) -> None:
        while self._waiters and self._fits(self._waiters[0].count):
            waiter = self._waiters.popleft()
            self.reserved += waiter.count
            waiter.granted.set_result(None)

    def _fits(self, count: int) -> bool:
        return not self.reserved or self.reserved + count <= self._limit()
