"""The memory account never exceeds its size, and closes slow callers before active ones."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from wheelslip.memory.account import (
    LARGE_BODY_BYTES,
    LIGHT_HOLDER_BYTES,
    RECEIVE_SECONDS,
    MemoryAccount,
    MemoryHolder,
    MemoryUse,
    account_bytes,
    choose_closures,
)

UNTAKEN = MemoryUse.UNTAKEN_RESPONSE
BODY = MemoryUse.REQUEST_BODY
MEGABYTE = 1_000_000
NOW = 100.0


def holder_of(account, count, use=UNTAKEN, taken_at=NOW, resumable=False):
    holder = MemoryHolder()
    holder.taken_at = taken_at
    holder.resumable = resumable
    assert account.add(holder, use, count)
    return holder


@pytest.fixture
def account():
    return MemoryAccount(32 * MEGABYTE)


def test_account_of_deployed_machines_leaves_room_for_the_process():
    assert account_bytes(128) == 32 * MEGABYTE
    assert account_bytes(552) == 244 * MEGABYTE
    # Below the memory of the process itself a small account still serves small requests.
    assert account_bytes(64) == 8 * MEGABYTE


def test_addition_that_does_not_fit_changes_nothing(account):
    holder = holder_of(account, 32 * MEGABYTE - 1)
    assert not account.add(holder, BODY, 2)
    assert (account.held, holder.held, account.by_use[BODY]) == (32 * MEGABYTE - 1,) * 2 + (0,)


def test_bodies_leave_half_of_the_account_to_responses(account):
    holder_of(account, 16 * MEGABYTE - 10, BODY)
    assert account.body_fits(10, 10) and not account.body_fits(11, 11)


def test_large_bodies_leave_a_reserve_for_small_ones(account):
    holder_of(account, 13 * MEGABYTE, BODY)
    assert not account.body_fits(LARGE_BODY_BYTES + 1, LARGE_BODY_BYTES + 1)
    assert account.body_fits(LARGE_BODY_BYTES, LARGE_BODY_BYTES)
    # The first bytes of a large body count as large, so it is not rejected after most was sent.
    assert not account.body_fits(1, LARGE_BODY_BYTES + 1)


def test_reserve_is_read_for_light_holders_only(account):
    heavy = holder_of(account, LIGHT_HOLDER_BYTES + 1)
    light = holder_of(account, LIGHT_HOLDER_BYTES)
    holder_of(account, 25 * MEGABYTE)
    assert account.may_read(light, 100_000) and not account.may_read(heavy, 100_000)
    # A body does not make a holder heavy: its response has not begun.
    waiting = holder_of(account, MEGABYTE, BODY)
    assert account.may_read(waiting, 100_000)


def test_nothing_is_read_ahead_beyond_the_share_of_one_caller(account):
    holder = holder_of(account, 2 * MEGABYTE)
    assert account.may_read(holder, 1000)
    account.add(holder, UNTAKEN, 1)
    assert not account.may_read(holder, 1000)


def closures(holders, needed, min_slow_seconds=1.0, **options):
    chosen = choose_closures(holders, needed, NOW, min_slow_seconds, **options)
    return [holders.index(holder) for holder in chosen]


def test_slowest_callers_that_hold_most_are_closed_first(account):
    holders = [
        holder_of(account, 2000, taken_at=NOW - 2),
        holder_of(account, 1000, taken_at=NOW - 10),
        holder_of(account, 9000, taken_at=NOW - 0.5),
    ]
    assert closures(holders, 500) == [1]
    assert closures(holders, 1500) == [1, 0]


def test_resumable_streams_are_closed_before_others(account):
    holders = [
        holder_of(account, 5000, taken_at=NOW - 20),
        holder_of(account, 1000, taken_at=NOW - 2, resumable=True),
    ]
    assert closures(holders, 1000) == [1]
    assert closures(holders, 1001) == [1, 0]


def test_nothing_is_closed_if_it_would_not_suffice(account):
    holders = [holder_of(account, 1000, taken_at=NOW - 20), holder_of(account, 9000)]
    assert closures(holders, 1001) == []


def test_active_callers_are_closed_last_and_only_on_demand(account):
    holders = [
        holder_of(account, 9000),
        holder_of(account, 1000, taken_at=NOW - 2),
        holder_of(account, 5000, MemoryUse.BUFFERED_RESPONSE),
    ]
    assert closures(holders, 1001, include_active=True) == [1, 0]
    assert closures(holders, 10_001, include_active=True) == [1, 0, 2]


def test_callers_that_send_slowly_are_closed_for_other_bodies(account):
    sending = holder_of(account, 3000, BODY)
    sending.receiving_since = NOW - RECEIVE_SECONDS - 2
    waiting = holder_of(account, 3000, BODY)
    reading = holder_of(account, 9000, taken_at=NOW - 50)
    chosen = closures([sending, waiting, reading], 1000, freed=lambda held: held.by_use[BODY])
    assert chosen == [0]


_COUNTS = st.integers(0, 4000)
_HOLDERS = st.integers(0, 3)
_USES = st.sampled_from(MemoryUse)
_OPERATIONS = st.lists(
    st.one_of(
        st.tuples(st.just("add"), _HOLDERS, _USES, _COUNTS),
        st.tuples(st.just("remove"), _HOLDERS, _USES, _COUNTS),
        st.tuples(st.just("move"), _HOLDERS, _USES, _USES, _COUNTS),
        st.tuples(st.just("clear"), _HOLDERS),
        st.tuples(st.just("close"), _COUNTS, st.booleans()),
    ),
    max_size=60,
)


def apply(account, holders, operation):
    name, *arguments = operation
    if name == "close":
        needed, include_active = arguments
        for holder in choose_closures(holders, needed, NOW, 0.0, include_active):
            account.clear(holder)
        return
    number, *arguments = arguments
    getattr(account, name)(holders[number], *arguments)


@settings(derandomize=True, database=None, deadline=None, max_examples=300)
@given(_OPERATIONS)
def test_account_never_exceeds_its_size_and_is_never_negative(operations):
    account = MemoryAccount(10_000)
    holders = [MemoryHolder() for _ in range(4)]
    for operation in operations:
        apply(account, holders, operation)
        assert 0 <= account.held <= account.size
        assert account.held == sum(holder.held for holder in holders) == sum(account.by_use)
        for use in MemoryUse:
            assert account.by_use[use] == sum(holder.by_use[use] for holder in holders)
        for holder in holders:
            assert holder.held == sum(holder.by_use) and min(holder.by_use) >= 0


@settings(derandomize=True, database=None, deadline=None, max_examples=300)
@given(
    st.lists(st.tuples(_COUNTS, st.floats(0, 10), st.booleans()), max_size=8),
    st.integers(1, 10_000),
    st.booleans(),
)
def test_chosen_closures_suffice_and_none_is_unneeded(callers, needed, include_active):
    account = MemoryAccount(100_000)
    holders = [
        holder_of(account, count, taken_at=NOW - seconds, resumable=resumable)
        for count, seconds, resumable in callers
    ]
    chosen = choose_closures(holders, needed, NOW, 1.0, include_active)
    freed = [holder.held for holder in chosen]
    if chosen:
        assert sum(freed) >= needed > sum(freed[:-1])
    else:
        candidates = [h for h in holders if include_active or NOW - h.taken_at >= 1.0]
        assert sum(holder.held for holder in candidates) < needed
