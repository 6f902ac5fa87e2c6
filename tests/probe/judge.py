"""Assertions that compare the engines' run logs with the callers' outcomes."""

from collections import Counter

import xxhash

from tests.probe.callers import chat_body
from wheelslip.routing.caches.prefix import render_chat


def prompt_digest(nonce, prefix="Item log. "):
    body = chat_body(nonce, prefix=prefix)
    return xxhash.xxh32_hexdigest(render_chat(body["messages"]).encode())


def accepted_counts(cluster):
    """Return how many runs engines accepted, by digest of the prompt."""
    return Counter(run["base_prompt_digest"] for run in cluster.runs("accepted"))


def assert_cache_is_isolated(cluster):
    """Assert that runs use only cached state of their own tenant and weights version.

    Each run must also be of the incarnation and weights version that its request required.
    """
    runs = cluster.runs("started")
    assert runs
    for run in runs:
        expected_origin = [run["user"], run["weights_version"]]
        assert all(origin == expected_origin for origin in run["cached_from"]), run
        assert run["demanded"] == [run["incarnation"], run["weights_version"]], run


def assert_not_run_is_accurate(cluster, outcomes):
    """Assert that no request reported as ``not_run`` was accepted by an engine.

    :return: the number of such requests.
    """
    counts = accepted_counts(cluster)
    reported = [outcome for outcome in outcomes if outcome.run_state == "not_run"]
    accepted_kinds = [outcome.kind for outcome in reported if counts[prompt_digest(outcome.nonce)]]
    assert accepted_kinds == []
    return len(reported)


def assert_own_and_complete(outcomes):
    """Assert that responses have no foreign tokens, and are complete or end in an error."""
    for outcome in outcomes:
        assert outcome.tokens == outcome.expected[: len(outcome.tokens)], (
            outcome.tokens,
            outcome.expected,
        )
        assert outcome.is_complete or outcome.error is not None, outcome


def assert_at_most_once(cluster, nonces):
    """Assert that no prompt was accepted more than once."""
    counts = accepted_counts(cluster)
    repeated = {
        nonce: counts[prompt_digest(nonce)] for nonce in nonces if counts[prompt_digest(nonce)] > 1
    }
    assert repeated == {}
