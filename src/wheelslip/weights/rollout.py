"""Reconcile step of the rollout of weights versions to the engines of a pool, a pure function.

An engine is held (accepts no new requests), finishes its requests, loads the weights and serves
again. Each step depends only on the reported states of the engines, so another node can continue a
rollout after a crash at any point.
"""

import enum
from collections.abc import Mapping
from dataclasses import dataclass


class EnginePhase(enum.StrEnum):
    """Phase that an engine reports."""

    SERVING = "serving"
    HELD = "held"
    LOADING = "loading"
    LEAVING = "leaving"


class OrderKind(enum.StrEnum):
    """Kinds of orders to engines."""

    HOLD = "hold"
    LOAD_WEIGHTS = "load_weights"
    SERVE = "serve"


@dataclass(frozen=True)
class EngineSnapshot:
    """State of an engine as it reported it.

    :ivar running: requests in the engine, including queued ones.
    """

    name: str
    model: str
    weights_version: str
    phase: EnginePhase
    running: int


@dataclass(frozen=True)
class Order:
    """An order to an engine.

    :ivar weights_version: version to load; empty for other kinds.
    """

    engine: str
    kind: OrderKind
    weights_version: str = ""


def next_orders(
    engines: list[EngineSnapshot], desired_versions: Mapping[str, str], max_concurrent_loads: int
) -> list[Order]:
    """Return the next orders of a rollout of the desired versions to a pool.

    :param desired_versions: weights version by model.
    :param max_concurrent_loads: maximum number of engines that are held or loading.
    """
    orders = []
    out_of_service = sum(
        snapshot.phase in (EnginePhase.HELD, EnginePhase.LOADING) for snapshot in engines
    )
    for engine in sorted(engines, key=lambda snapshot: snapshot.name):
        version = desired_versions.get(engine.model)
        if version is None:
            continue
        if engine.phase is EnginePhase.HELD:
            orders += _order_for_held(engine, version)
            continue
        is_outdated = engine.phase is EnginePhase.SERVING and engine.weights_version != version
        has_slot = out_of_service < max_concurrent_loads
        if is_outdated and has_slot and _may_be_held(engine, engines, orders):
            out_of_service += 1
            orders.append(Order(engine.name, OrderKind.HOLD))
    return orders


def _order_for_held(engine: EngineSnapshot, version: str) -> list[Order]:
    if engine.weights_version == version:
        return [Order(engine.name, OrderKind.SERVE)]
    if engine.running == 0:
        # An idle engine loads without interrupting streams or mixing versions in its cache.
        return [Order(engine.name, OrderKind.LOAD_WEIGHTS, version)]
    return []


def _may_be_held(
    engine: EngineSnapshot, engines: list[EngineSnapshot], orders: list[Order]
) -> bool:
    """Return whether another engine of the model stays in service, or there is no other one."""
    of_model = [other for other in engines if other.model == engine.model]
    held_names = {order.engine for order in orders if order.kind is OrderKind.HOLD}
    serving = [
        other
        for other in of_model
        if other.phase is EnginePhase.SERVING and other.name not in held_names | {engine.name}
    ]
    return bool(serving) or len(of_model) == 1
