"""Fixtures that start clusters of real processes for the probe tests."""

import pytest

from standins.cluster import Cluster, EngineSpec, NodeSpec

API_KEY = "thibodeau-key"
ZONES = ("worcester", "providence", "portland")


@pytest.fixture
def make_cluster(tmp_path):
    """Return a function that starts a cluster with the Thibodeau example configuration."""
    started = []

    def _make(engines=2, nodes=2, engine_options=None, limits=None, **options):
        cluster = Cluster(
            tmp_path / f"cluster-{len(started)}",
            [
                EngineSpec(f"engine-{n + 1}", ZONES[n % 3], options=engine_options or {})
                for n in range(engines)
            ],
            [NodeSpec(f"node-{n + 1}", ZONES[n % 3], limits or {}) for n in range(nodes)],
            **options,
        )
        started.append(cluster)
        cluster.start()
        cluster.wait_configuration("node-1")
        cluster.apply("node-1", "examples/thibodeau")
        # Other nodes refuse requests until the configuration has reached them.
        cluster.wait_revision_of("node-1")
        cluster.wait_engines(engines)
        cluster.wait_members(nodes)
        return cluster

    yield _make
    for cluster in started:
        cluster.stop()
