"""Estimated end of KV cache transfers."""

from wheelslip.routing.caches.cache_moves import (
    MAX_WAIT_SECONDS,
    TransferEndpoint,
    TransferSchedule,
)

STORE = TransferEndpoint("store", "z1", 1000.0)
NEAR = TransferEndpoint("near", "z1", 4000.0)
FAR = TransferEndpoint("far", "z2", 4000.0)


def test_slower_endpoint_determines_duration_and_other_zone_doubles_it():
    transfers = TransferSchedule()
    assert transfers.seconds(STORE, NEAR, 500.0, 10.0) == 0.5
    assert transfers.seconds(STORE, FAR, 500.0, 10.0) == 1.0


def test_transfers_of_one_endpoint_queue_and_others_run_in_parallel():
    transfers = TransferSchedule()
    transfers.add(STORE, NEAR, 500.0, 10.0)
    assert transfers.seconds(STORE, FAR, 500.0, 10.0) == 1.5
    assert transfers.seconds(NEAR, FAR, 2000.0, 10.0) == 1.5
    assert transfers.seconds(FAR, TransferEndpoint("other", "z2", 4000.0), 2000.0, 10.0) == 0.5
    assert transfers.seconds(STORE, FAR, 500.0, 11.0) == 1.0


def test_transfer_that_would_wait_too_long_is_not_scheduled():
    transfers = TransferSchedule()
    transfers.add(STORE, NEAR, 1000.0 * MAX_WAIT_SECONDS + 1.0, 10.0)
    assert transfers.seconds(STORE, FAR, 1.0, 10.0) is None
    busy_until = transfers.busy_until("store")
    transfers.add(STORE, FAR, 1.0, 10.0)
    assert transfers.busy_until("store") == busy_until
