"""Room for buffered responses is given in order, and returned by those that are cancelled."""

import asyncio

from wheelslip.memory.response_room import SMALL_BYTES, ResponseRoom

SIZE = 10 * SMALL_BYTES


async def hold(room: ResponseRoom, count: int, held: list[int], release: asyncio.Event) -> None:
    async with room.reserve(count):
        held.append(count)
        await release.wait()
        held.remove(count)


async def start(room, counts, held, release) -> list[asyncio.Task]:
    tasks = [asyncio.create_task(hold(room, count, held, release)) for count in counts]
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    return tasks


def test_responses_are_read_as_far_as_all_of_them_fit():
    async def play():
        room, held, release = ResponseRoom(lambda: SIZE), [], asyncio.Event()
        counts = [6 * SMALL_BYTES, 5 * SMALL_BYTES, 3 * SMALL_BYTES, SMALL_BYTES]
        tasks = await start(room, counts, held, release)
        # The small one needs no room; the third waits behind the second.
        assert held == [6 * SMALL_BYTES, SMALL_BYTES] and room.waiting == 2
        release.set()
        await asyncio.gather(*tasks)
        assert room.reserved == room.waiting == 0

    asyncio.run(play())


def test_response_above_the_limit_is_read_alone():
    async def play():
        room, held, release = ResponseRoom(lambda: SIZE), [], asyncio.Event()
        tasks = await start(room, [2 * SIZE, 2 * SMALL_BYTES], held, release)
        assert held == [2 * SIZE]
        release.set()
        await asyncio.gather(*tasks)

    asyncio.run(play())


def test_cancelled_responses_return_their_room():
    async def play():
        room, held, release = ResponseRoom(lambda: SIZE), [], asyncio.Event()
        tasks = await start(room, [SIZE, SIZE, SIZE], held, release)
        tasks[1].cancel()
        tasks[0].cancel()
        await asyncio.gather(*tasks[:2], return_exceptions=True)
        await asyncio.sleep(0)
        assert room.reserved == SIZE and room.waiting == 0
        tasks[2].cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        assert room.reserved == 0

    asyncio.run(play())
