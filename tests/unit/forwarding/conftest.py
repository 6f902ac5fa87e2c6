"""Fixtures: a manual clock and a registry view that uses it."""

import pytest

from wheelslip.forwarding_settings import BoundsSection
from wheelslip.platform.registry import PlatformRegistry
from wheelslip.registry.registry import Registry


class Clock:
    """A steady clock in seconds that tests advance."""

    def __init__(self):
        self.now = 100.0

    def __call__(self) -> float:
        return self.now


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def registry(clock):
    return Registry(PlatformRegistry(), BoundsSection, clock)
