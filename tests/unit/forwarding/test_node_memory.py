"""Reading from workers is paused without room, and a full account cannot stop all responses."""

import asyncio

from wheelslip.memory.account import READ_BYTES, MemoryUse
from wheelslip.memory.node_memory import (
    DEADLOCK_SECONDS,
    STALLED_SECONDS,
    TICK_SECONDS,
    NodeMemory,
)

SIZE = 16 * READ_BYTES
UNTAKEN = MemoryUse.UNTAKEN_RESPONSE


class FakeCaller:
    def __init__(self, memory: NodeMemory):
        self.untaken = 0
        self.closed = False
        self.holder = memory.open(self)

    def untaken_bytes(self) -> int:
        return self.untaken

    def close_for_memory(self) -> None:
        self.closed = True

    def peer_address(self) -> str:
        return "127.0.0.1:1"

    def write(self, count: int) -> None:
        self.untaken += count
        self.holder.set_untaken(self.untaken, count)


class FakeReader:
    def __init__(self):
        self.paused = False

    def set_memory_pause(self, paused: bool) -> None:
        self.paused = paused


def attached(memory):
    caller, reader = FakeCaller(memory), FakeReader()
    caller.holder.attach(reader)
    return caller, reader


def buffer(caller, reader, count):
    """Receive data of a response that is not complete."""
    while count and not reader.paused:
        part = min(count, READ_BYTES)
        caller.holder.add_unread(reader, part)
        caller.holder.buffer(part)
        count -= part


async def advance(clock, seconds):
    """Advance the clock in steps, and let the timer run in each of them."""
    for _ in range(round(seconds / TICK_SECONDS)):
        clock.now += TICK_SECONDS
        await asyncio.sleep(1.5 * TICK_SECONDS)


def run(scenario, clock):
    async def main():
        await scenario(NodeMemory(lambda: SIZE, clock))

    asyncio.run(main())


def test_incomplete_responses_that_fill_the_account_do_not_wait_for_each_other(clock):
    async def scenario(memory):
        responses = [attached(memory) for _ in range(4)]
        for caller, reader in responses:
            buffer(caller, reader, SIZE)
        assert all(reader.paused for _, reader in responses)
        await advance(clock, DEADLOCK_SECONDS / 2)
        assert not any(caller.closed for caller, _ in responses)
        await advance(clock, DEADLOCK_SECONDS)
        assert sum(caller.closed for caller, _ in responses) == 1
        assert any(not reader.paused for caller, reader in responses if not caller.closed)

    run(scenario, clock)


def test_stalled_caller_is_closed_for_a_response_without_room(clock):
    async def scenario(memory):
        stalled = FakeCaller(memory)
        stalled.write(SIZE - READ_BYTES + 1)
        waiting, reader = attached(memory)
        assert reader.paused
        await advance(clock, STALLED_SECONDS / 2)
        assert not stalled.closed
        await advance(clock, STALLED_SECONDS)
        assert stalled.closed and not waiting.closed and not reader.paused
        assert memory.account.held == 0 and memory.slow_readers_closed == 1

    run(scenario, clock)


def test_caller_that_takes_data_is_not_closed_and_the_pause_ends(clock):
    async def scenario(memory):
        active = FakeCaller(memory)
        active.write(SIZE - READ_BYTES + 100)
        _, reader = attached(memory)
        for _ in range(6):
            assert reader.paused
            active.untaken -= 1
            await advance(clock, STALLED_SECONDS / 2)
        assert 6 * STALLED_SECONDS / 2 < DEADLOCK_SECONDS
        active.untaken -= 100
        await advance(clock, STALLED_SECONDS)
        assert not reader.paused and not active.closed

    run(scenario, clock)


def test_data_of_a_closed_connection_is_not_counted(clock):
    async def scenario(memory):
        caller, reader = attached(memory)
        buffer(caller, reader, 3 * READ_BYTES)
        caller.holder.connection_ended()
        buffer(caller, reader, READ_BYTES)
        caller.write(100)
        assert memory.account.held == 0

    run(scenario, clock)


def test_written_data_that_does_not_fit_closes_its_own_connection(clock):
    async def scenario(memory):
        memory.hold_without_connection(MemoryUse.BUFFERED_RESPONSE, SIZE)
        caller = FakeCaller(memory)
        caller.write(1)
        assert caller.closed and memory.account.held == SIZE

    run(scenario, clock)


def test_reduced_size_pauses_reading_and_closes_no_caller(clock):
    """Data that arrives after the reduction would not fit, which closes connections."""
    size = SIZE

    async def main():
        nonlocal size
        memory = NodeMemory(lambda: size, clock)
        caller, reader = attached(memory)
        caller.write(SIZE // 32)
        memory.hold_without_connection(MemoryUse.REQUEST_BODY, SIZE // 2)
        assert not reader.paused
        size = SIZE // 2
        memory.refresh_size()
        assert reader.paused and not caller.closed
        size = SIZE
        memory.refresh_size()
        await advance(clock, STALLED_SECONDS)
        assert not reader.paused and not caller.closed

    asyncio.run(main())
