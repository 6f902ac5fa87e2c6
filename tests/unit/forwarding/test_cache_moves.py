"""When moves of kept cache are expected to end."""

from wheelslip.routing.cache_moves import LONGEST_WAIT_SECONDS, MoveEnd, MoveSchedule

STORE = MoveEnd("store", "z1", 1000.0)
NEAR = MoveEnd("near", "z1", 4000.0)
FAR = MoveEnd("far", "z2", 4000.0)


def test_the_slower_end_decides_and_another_zone_takes_twice_as_long():
    moves = MoveSchedule()
    assert moves.seconds(STORE, NEAR, 500.0, 10.0) == 0.5
    assert moves.seconds(STORE, FAR, 500.0, 10.0) == 1.0


def test_moves_of_one_end_wait_for_each_other_and_others_do_not():
    moves = MoveSchedule()
    moves.add(STORE, NEAR, 500.0, 10.0)
    assert moves.seconds(STORE, FAR, 500.0, 10.0) == 1.5
    assert moves.seconds(NEAR, FAR, 2000.0, 10.0) == 1.5
    assert moves.seconds(FAR, MoveEnd("other", "z2", 4000.0), 2000.0, 10.0) == 0.5
    assert moves.seconds(STORE, FAR, 500.0, 11.0) == 1.0


def test_a_move_that_would_wait_too_long_is_not_planned():
    moves = MoveSchedule()
    moves.add(STORE, NEAR, 1000.0 * LONGEST_WAIT_SECONDS + 1.0, 10.0)
    assert moves.seconds(STORE, FAR, 1.0, 10.0) is None
    busy_until = moves.busy_until("store")
    moves.add(STORE, FAR, 1.0, 10.0)
    assert moves.busy_until("store") == busy_until
