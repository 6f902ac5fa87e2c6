"""Mutation checks: disables one mechanism at a time and verifies that a test fails without it.

Each mutation edits a copy of the source and runs one test against it. If any of these tests
does not fail, the exit status is 1.
"""

import os
import pathlib
import shutil
import subprocess
import sys
from dataclasses import dataclass

ROOT = pathlib.Path(__file__).resolve().parent.parent
MUTANTS_DIRECTORY = ROOT / "build" / "mutants"

FORWARDING = 0
"""Used in place of a guarantee number by mutations of a forwarding node."""


@dataclass(frozen=True)
class Edit:
    """One replacement in a source file."""

    file: str
    old: str
    new: str


@dataclass(frozen=True)
class Mutation:
    """Edits that disable one mechanism, and the test that must then fail.

    :ivar guarantee: number of the guarantee that the test checks, or :data:`FORWARDING`.
    :ivar test: pytest node id.
    """

    name: str
    guarantee: int
    edits: tuple[Edit, ...]
    test: str


def _single_edit(name: str, guarantee: int, file: str, old: str, new: str, test: str) -> Mutation:
    return Mutation(name, guarantee, (Edit(file, old, new),), f"tests/probe/{test}")


MUTATIONS = (
    _single_edit(
        "engine incarnation header not sent",
        1,
        "engines/client.py",
        '"X-Engine-Incarnation": engine.incarnation,',
        "",
        "test_cached_state.py::test_restarted_engine_refuses_its_old_incarnation_and_is_discovered",
    ),
    _single_edit(
        "weights version missing from the cache salt",
        1,
        "routing/caches/prefix.py",
        "(tenant, model, weights_version)",
        "(tenant, model)",
        "test_cached_state.py::test_weights_changed_before_arrival_do_not_use_the_old_cache",
    ),
    _single_edit(
        "tenant missing from the cache salt",
        1,
        "routing/caches/prefix.py",
        "(tenant, model, weights_version)",
        "(model, weights_version)",
        "test_cached_state.py::test_tenants_with_identical_prompts_do_not_share_cached_state",
    ),
    _single_edit(
        "stream not resumed after a lost connection",
        2,
        "callers/attempt.py",
        "stream = self._resume(str(error))\n\n    def _resume",
        "raise AttemptLost(str(error)) from error\n\n    def _resume",
        "test_streams.py::test_response_is_complete_after_connection_cut_at_any_byte",
    ),
    _single_edit(
        "continuation omits the delivered tokens",
        2,
        "callers/call.py",
        "if not delivered.tokens:\n            return document",
        "if document:\n            return document",
        "test_streams.py::test_stream_continues_at_another_engine_after_kill",
    ),
    _single_edit(
        "failed stream ends without an error event",
        2,
        "callers/answer.py",
        'yield b"id: %d\\nevent: error\\ndata: %s\\n\\n" % (event_id + 1, body)',
        "del body",
        "test_streams.py::test_stream_ends_in_error_event_after_only_engine_is_killed",
    ),
    Mutation(
        "configuration not pulled from peers at startup",
        3,
        (
            Edit("operators/task.py", "for seed in self._seeds\n", "for seed in ()\n"),
            Edit(
                "operators/task.py",
                "if message.revision > self.held_revision:\n                self._pull",
                "if self.held_revision < 0:\n                self._pull",
            ),
        ),
        "tests/probe/test_restart.py::test_all_nodes_of_a_zone_restart_while_the_service_is_unreachable",
    ),
    _single_edit(
        "request id of a response not checked",
        4,
        "engines/client.py",
        "if echoed != attempt_id:",
        "if echoed is None:",
        "test_own_answer.py::test_responses_swapped_between_connections_are_not_delivered",
    ),
    _single_edit(
        "run state taken from the last attempt only",
        5,
        "callers/relay.py",
        "self._may_have_run |= not not_run",
        "self._may_have_run = not not_run and self._delivered.tokens > 0",
        "test_not_run.py::test_not_run_is_accurate_under_changing_faults",
    ),
    _single_edit(
        "claim of another attempt accepted as own",
        6,
        "keyvalue/claims.py",
        "stored.record.attempt_id == record.attempt_id",
        "stored is not None",
        "test_at_most_once.py::test_concurrent_requests_with_same_key_run_once",
    ),
    _single_edit(
        "no tombstone requested before a takeover",
        6,
        "callers/attempt.py",
        "state = self._client.tombstone(target.engine, target.attempt_id)",
        "state = AttemptState.NEVER_SEEN",
        "test_at_most_once.py::test_attempt_arriving_after_takeover_is_refused",
    ),
    _single_edit(
        "claimed request of a dead engine run again",
        6,
        "callers/attempt.py",
        'raise AttemptLost(f"{reason}; engine was replaced", engine_dead=True) from error\n'
        "        if error.status == GONE",
        'raise AttemptNotRun(f"{reason}; engine was replaced") from error\n'
        "        if error.status == GONE",
        "test_at_most_once.py::test_killed_engine_of_claim_is_reported_and_not_retried",
    ),
    _single_edit(
        "machine list ignored",
        7,
        "engines/directory.py",
        "drained or machine is None or machine.state is MachineState.LEAVING",
        "drained",
        "test_leaving.py::test_leaving_engine_gets_no_new_requests[leave_by_machine_list]",
    ),
    _single_edit(
        "operator drain ignored",
        7,
        "engines/directory.py",
        "drained or machine is None",
        "machine is None",
        "test_leaving.py::test_leaving_engine_gets_no_new_requests[leave_by_operator_drain]",
    ),
    _single_edit(
        "stop does not wait for running requests",
        8,
        "stopping.py",
        "lambda: self._running == 0, max(0.0, deadline - time.monotonic())",
        "lambda: True, 0.0",
        "test_planned_stop.py::test_requests_in_progress_finish_during_a_planned_stop",
    ),
    _single_edit(
        "configuration head written without comparison",
        9,
        "operators/store.py",
        "Transaction({HEAD_KEY: expected}, _operations",
        "Transaction({}, _operations",
        "test_configuration.py::test_concurrent_changes_have_one_winner_and_the_others_conflict",
    ),
    _single_edit(
        "configuration not pulled from peers",
        9,
        "operators/task.py",
        "if message.revision > self.held_revision:\n                self._pull",
        "if self.held_revision < 0:\n                self._pull",
        "test_configuration.py::test_partitioned_zone_receives_changes_from_peers_after_healing",
    ),
)


MUTATIONS += (
    _single_edit(
        "home node not queried",
        4,
        "routing/scheduler.py",
        "if not self._options.use_home_lookup or uncached",
        "if self._options.use_home_lookup or uncached",
        "test_own_answer.py::test_cold_prefix_is_not_computed_by_every_node",
    ),
    _single_edit(
        "request id of a forwarded response not checked",
        FORWARDING,
        "forwarding/attempt.py",
        "if metadata.request_id in (None, self._job.request.metadata.request_id):",
        "if True:",
        "forwarding/test_failures.py::test_response_to_another_request_is_skipped",
    ),
    _single_edit(
        "unsigned successful response accepted",
        FORWARDING,
        "forwarding/attempt.py",
        "if succeeded and not metadata.signed:",
        "if False:",
        "forwarding/test_failures.py::test_unsigned_success_returns_502",
    ),
    _single_edit(
        "attempt that may have run not recorded",
        FORWARDING,
        "forwarding/attempt.py",
        "job.may_have_run += 1",
        "job.may_have_run += 0",
        "forwarding/test_failures.py::test_lost_response_of_non_repeatable_request_runs_once_and_returns_502",
    ),
    _single_edit(
        "non-repeatable request retried",
        FORWARDING,
        "forwarding/retry_policy.py",
        "return job.route.repeatable and job.may_have_run < job.route.max_attempts",
        "return True",
        "forwarding/test_failures.py::test_lost_response_of_non_repeatable_request_runs_once"
        "_and_returns_502",
    ),
    _single_edit(
        "retries without a budget",
        FORWARDING,
        "routing/retry_window.py",
        "return len(self._retries) + more <= ratio * len(self._first_attempts)",
        "return True",
        "forwarding/test_failures.py::test_retries_stop_when_budget_is_exhausted",
    ),
    _single_edit(
        "incomplete stream event not detected",
        FORWARDING,
        "forwarding/event_stream.py",
        "return bool(self._buffer.strip())",
        "return False",
        "../unit/forwarding/test_event_stream.py::test_incomplete_event_is_buffered",
    ),
    _single_edit(
        "caller disconnect ignored",
        FORWARDING,
        "forwarding/caller_connection.py",
        "            self._task.cancel()",
        "            pass",
        "forwarding/test_path.py::test_caller_disconnect_closes_connection_to_silent_worker",
    ),
    _single_edit(
        "API keys accepted from a stale view",
        FORWARDING,
        "forwarding/admission.py",
        "if self._registry.age() > max_age:",
        "if False:",
        "forwarding/test_store.py::test_keys_get_503_after_the_revocation_bound_while_the_store_is_unavailable",
    ),
    _single_edit(
        "unknown routes rejected from a stale view",
        FORWARDING,
        "forwarding/admission.py",
        "if self._registry.age() > MAX_VIEW_AGE_SECONDS:",
        "if False:",
        "forwarding/test_store.py::test_unknown_route_is_answered_with_503_while_the_view_is_stale",
    ),
    _single_edit(
        "older revisions applied",
        FORWARDING,
        "registry/entry_log.py",
        "if revision <= self.revision_of(key):",
        "if False:",
        "../unit/forwarding/test_entry_log.py::test_latest_change_of_each_key_is_returned_in_revision_order",
    ),
    _single_edit(
        "vanished entries removed at once during a store outage",
        FORWARDING,
        "registry/worker_view.py",
        "if doubtful_until is None or not ready:",
        "if True:",
        "forwarding/test_store.py::test_worker_whose_entry_vanishes_in_an_outage_stays_in_use",
    ),
    _single_edit(
        "worker incarnations not distinguished",
        FORWARDING,
        "registry/worker_view.py",
        "elif info.id == current.info.id:",
        "elif True:",
        "forwarding/test_restarted_worker.py::test_no_request_reaches_the_departed_incarnation",
    ),
    _single_edit(
        "unusable worker entry ignored",
        FORWARDING,
        "registry/registry.py",
        "self.view.mark_unusable(worker_id)",
        "pass",
        "forwarding/test_unusable_entries.py::test_worker_with_an_unusable_entry_gets_no_requests",
    ),
    _single_edit(
        "worker incarnations not distinguished, in random histories",
        FORWARDING,
        "registry/worker_view.py",
        "elif info.id == current.info.id:",
        "elif True:",
        "../unit/forwarding/test_view_histories.py::"
        "test_nodes_send_only_what_the_newest_received_entry_allows",
    ),
    _single_edit(
        "late entry of an older incarnation applied at once",
        FORWARDING,
        "registry/worker_view.py",
        "if current is not None and info.born < current.info.born:",
        "if False:",
        "../unit/forwarding/test_view_histories.py::"
        "test_nodes_send_only_what_the_newest_received_entry_allows",
    ),
    _single_edit(
        "unusable worker entry ignored, in random histories",
        FORWARDING,
        "registry/registry.py",
        "self.view.mark_unusable(worker_id)",
        "pass",
        "../unit/forwarding/test_view_histories.py::"
        "test_nodes_send_only_what_the_newest_received_entry_allows",
    ),
    _single_edit(
        "connections to a removed incarnation kept open",
        FORWARDING,
        "registry/worker_view.py",
        "self.on_removed(info)",
        "pass",
        "../unit/forwarding/test_view_histories.py::"
        "test_nodes_send_only_what_the_newest_received_entry_allows",
    ),
    _single_edit(
        "outdated listing removes newer entries",
        FORWARDING,
        "registry/registry.py",
        "if key not in entries and self.entry_log.revision_of(key) <= listing_revision:",
        "if key not in entries:",
        "../unit/forwarding/test_view_histories.py::"
        "test_nodes_send_only_what_the_newest_received_entry_allows",
    ),
    _single_edit(
        "removed keys not recorded",
        FORWARDING,
        "registry/entry_log.py",
        "self._removed[key] = revision",
        "pass",
        "../unit/forwarding/test_view_histories.py::"
        "test_nodes_send_only_what_the_newest_received_entry_allows",
    ),
    _single_edit(
        "discarded removals missing from an incremental update",
        FORWARDING,
        "registry/entry_log.py",
        "if revision < self._complete_from:",
        "if False:",
        "../unit/forwarding/test_view_histories.py::"
        "test_nodes_send_only_what_the_newest_received_entry_allows",
    ),
    _single_edit(
        "discarded removal undone by an older listing",
        FORWARDING,
        "registry/entry_log.py",
        "if self._is_removed(key, revision):",
        "if False:",
        "../unit/forwarding/test_entry_log.py::"
        "test_discarded_removal_is_not_undone_by_an_older_listing",
    ),
    _single_edit(
        "failed poll after a process stall recorded as a store failure",
        FORWARDING,
        "forwarding/registry_sync.py",
        "if stall.seconds() < STALL_SECONDS:",
        "if True:",
        "forwarding/test_stalled_process.py::"
        "test_worker_that_departs_during_process_stall_is_removed_at_once",
    ),
    _single_edit(
        "incremental update served from inside a revision gap",
        FORWARDING,
        "registry/entry_log.py",
        "if begin < revision < end:",
        "if False:",
        "../unit/forwarding/test_removal_before_first_view.py::"
        "test_removal_before_the_first_view_of_a_polled_node_is_applied",
    ),
    _single_edit(
        "failed calls of a single node treated as a store outage",
        FORWARDING,
        "registry/store_health.py",
        "return self.confirmed_at is None or sent_at - self.confirmed_at >= seconds",
        "return True",
        "forwarding/test_turned_away_node.py::test_departed_worker_is_removed_at_once_by_all_nodes",
    ),
    _single_edit(
        "requests not cancelled at the start deadline",
        FORWARDING,
        "forwarding/attempt.py",
        "        if remaining <= 0:",
        "        if False:",
        "forwarding/test_weights.py::test_request_queued_past_the_deadline_is_withdrawn",
    ),
    _single_edit(
        "cache namespace missing from the cache salt",
        FORWARDING,
        "forwarding/admission.py",
        "if tenant is not None and tenant.isolated:",
        "if False:",
        "forwarding/test_path.py::test_cache_salt_separates_isolated_tenants",
    ),
    _single_edit(
        "expected instance header not sent",
        FORWARDING,
        "platform/headers.py",
        "headers.append((EXPECT_INSTANCE, dispatch.worker.worker_id.encode()))",
        "pass",
        "forwarding/test_failures.py::test_other_incarnation_at_same_address_runs_nothing",
    ),
    _single_edit(
        "stop does not wait for running requests",
        FORWARDING,
        "forwarding/shutdown.py",
        "while self._clock() < closes_at or self._unfinished_requests():",
        "while self._clock() < closes_at:",
        "forwarding/test_planned_stop.py::test_running_requests_finish_and_readiness_fails_at_once",
    ),
    _single_edit(
        "orders sent after the lease expired",
        FORWARDING,
        "forwarding/leased_key.py",
        "if self._token and self._clock() < self._valid_until:",
        "if self._token:",
        "../unit/forwarding/test_holder.py::test_token_expires_while_the_holder_is_suspended",
    ),
    _single_edit(
        "new holder sends orders to recently ordered workers",
        FORWARDING,
        "forwarding/rollout.py",
        'return self._clock() >= self._order_allowed_at.get(worker_id, float("-inf"))',
        "return True",
        "forwarding/test_holder_faults.py::test_new_holder_waits_for_workers_ordered_by_the_last_one",
    ),
    _single_edit(
        "crash reports never written",
        FORWARDING,
        "crashes/report_key.py",
        "            await asyncio.sleep(COALESCE_SECONDS)\n",
        "            await asyncio.Event().wait()\n",
        "forwarding/test_crashing_requests.py::test_restarted_nodes_still_refuse_crashing_request",
    ),
    _single_edit(
        "lost response recorded as a crash",
        FORWARDING,
        "crashes/evidence.py",
        "        conn.close()\n        return False",
        "        conn.close()\n        return True",
        "forwarding/test_crashing_requests.py::test_lost_responses_of_live_workers_are_not_crashes",
    ),
    _single_edit(
        "completed run does not clear crashes",
        FORWARDING,
        "crashes/reports.py",
        "        self._ledger.clear(crashes)\n        for crash in crashes:",
        "        for crash in ():",
        "../unit/forwarding/test_crash_reports.py"
        "::test_completed_run_of_free_fingerprint_is_written_after_another_crash",
    ),
    _single_edit(
        "trial lock granted while held by another request",
        FORWARDING,
        "crashes/trials.py",
        "        if not result.succeeded:\n            return None\n        return TrialLock",
        "        return TrialLock",
        "../unit/forwarding/test_content_trials.py::test_trial_lock_is_exclusive_until_released",
    ),
    Mutation(
        "leaving notice of a worker ignored",
        FORWARDING,
        (
            Edit(
                "registry/worker_view.py",
                "        ready = ready and not self._notices.is_leaving(worker.info.id)\n",
                "",
            ),
            Edit(
                "routing/worker_notices.py",
                "        if incarnation in self._leaving:\n            return False\n        backoff =",
                "        backoff =",
            ),
        ),
        "tests/probe/forwarding/test_said_in_answers.py"
        "::test_leaving_notice_stops_requests_of_forwarding_node",
    ),
    _single_edit(
        "backoff ignored in worker choice",
        FORWARDING,
        "forwarding/assignment.py",
        "self._registry.withheld(service)\n            | job.excluded",
        "frozenset(job.excluded)",
        "forwarding/test_said_in_answers.py"
        "::test_backoff_of_only_worker_gives_callers_staggered_retry_times",
    ),
    _single_edit(
        "backoff not checked before a request is sent",
        FORWARDING,
        "forwarding/forwarder.py",
        "self._registry.may_begin(worker.id, assignment.placement.rate_limit_charged)",
        "self._registry.accepts_requests(worker.id)",
        "forwarding/test_said_in_answers.py"
        "::test_waiting_requests_are_not_sent_all_at_once_after_backoff",
    ),
    _single_edit(
        "initial concurrency after a backoff not limited",
        FORWARDING,
        "routing/worker_notices.py",
        "INITIAL_CONCURRENCY = 1\n",
        "INITIAL_CONCURRENCY = 16\n",
        "forwarding/test_said_in_answers.py"
        "::test_waiting_requests_are_not_sent_all_at_once_after_backoff",
    ),
    _single_edit(
        "store not probed during a poll",
        FORWARDING,
        "forwarding/registry_sync.py",
        "while not await self._poll_finished(poll):\n                await self._probe_store()\n",
        "await asyncio.wait({poll})\n",
        "forwarding/test_reader_cut_then_silent.py"
        "::test_removal_is_detected_in_time_when_store_link_and_feed_fail",
    ),
    _single_edit(
        "peer polls without a timeout",
        FORWARDING,
        "forwarding/registry_sync.py",
        "async with asyncio.timeout(PEER_POLLS_TIMEOUT_SECONDS):",
        "async with asyncio.timeout(None):",
        "../unit/forwarding/test_silent_peers.py"
        "::test_unresponsive_peers_do_not_delay_the_next_store_call",
    ),
    _single_edit(
        "unanswered lease renewal not retried",
        FORWARDING,
        "forwarding/leased_key.py",
        "for timeout in (retry_after_seconds, None):",
        "for timeout in (None,):",
        "../unit/forwarding/test_lost_renewal.py::test_lease_survives_one_unanswered_renewal",
    ),
    _single_edit(
        "concurrency after a backoff doubled by each served request",
        FORWARDING,
        "routing/worker_notices.py",
        "backoff.max_in_flight += 1\n",
        "backoff.max_in_flight *= 2\n",
        "../unit/forwarding/test_worker_notices.py"
        "::test_concurrency_after_backoff_doubles_each_round",
    ),
    _single_edit(
        "backoff shortened by a later one with an earlier end",
        FORWARDING,
        "routing/worker_notices.py",
        "if not until > now or (current is not None and until <= current.until):",
        "if not until > now:",
        "../unit/forwarding/test_worker_notices.py::test_latest_end_of_several_backoffs_applies",
    ),
    _single_edit(
        "removed incarnation restored by a late entry",
        FORWARDING,
        "registry/worker_view.py",
        "departed is not None and info.born <= departed",
        "False",
        "../unit/forwarding/test_start_that_left.py"
        "::test_late_entry_does_not_restore_a_removed_incarnation",
    ),
    _single_edit(
        "refusal not delayed for reports of other nodes",
        FORWARDING,
        "crashes/ledger.py",
        "REPORT_WAIT_SECONDS = 1.0\n",
        "REPORT_WAIT_SECONDS = 0.0\n",
        "../unit/forwarding/test_crash_ledger.py::test_refusal_waits_for_reports_of_other_nodes",
    ),
    _single_edit(
        "worker rate limits not reported to other nodes",
        FORWARDING,
        "peers/limit_reports.py",
        "self._socket.send_to(addresses, LIMITS, part)",
        "del part",
        "forwarding/test_worker_limits.py::test_limit_received_by_one_node_reaches_all_nodes",
    ),
    _single_edit(
        "uncharged grant used for a rate-limited worker",
        FORWARDING,
        "peers/dispatch_link.py",
        "if not reply.charged and self._limits.rate(reply.worker) is not None:",
        "if False:",
        "forwarding/test_worker_limits.py::test_uncharged_grant_is_released",
    ),
    _single_edit(
        "rate-limited workers used without authority",
        FORWARDING,
        "routing/limits/worker_allowance.py",
        "if self._authority.share() <= 0.0:\n            return limited\n",
        "if self._authority.share() <= 0.0:\n            return frozenset()\n",
        "../unit/forwarding/test_worker_allowance.py"
        "::test_worker_rate_stays_within_bound_under_any_fault_history",
    ),
    _single_edit(
        "fleet size counted while another relay may grant",
        FORWARDING,
        "routing/limits/limit_authority.py",
        "return has_majority and all(now < self._starting_until.get(key, now) for key in others)",
        "return bool(self._relay_addresses)",
        "../unit/forwarding/test_tenant_limits.py"
        "::test_meter_restarted_behind_cut_does_not_claim_the_whole_limit",
    ),
    _single_edit(
        "incomplete fleet size reported to other nodes",
        FORWARDING,
        "routing/limits/limit_authority.py",
        "self._fleet_size_settled_at = now + VOTE_VALIDITY_SECONDS",
        "self._fleet_size_settled_at = now",
        "../unit/forwarding/test_tenant_limits.py"
        "::test_incomplete_count_after_a_cut_is_not_reported_to_other_nodes",
    ),
    _single_edit(
        "own vote of a node that is cut off from all relays",
        FORWARDING,
        "peers/limit_votes.py",
        "return None if meters else self._address",
        "return self._address",
        "../unit/forwarding/test_worker_allowance.py"
        "::test_nodes_cut_off_from_all_relays_add_nothing_to_a_restarted_meter",
    ),
    _single_edit(
        "reserve of a standby meter available at once",
        FORWARDING,
        "routing/limits/tenant_limits.py",
        "if self._authority.standby_seconds < tolerance.window_seconds:",
        "if False:",
        "../unit/forwarding/test_tenant_limits.py"
        "::test_standby_meter_has_no_reserve_in_its_first_window",
    ),
    _single_edit(
        "vote cast while an earlier one may be valid",
        FORWARDING,
        "peers/limit_votes.py",
        "if now < self._may_vote_at:",
        "if False:",
        "../unit/forwarding/test_tenant_limits.py"
        "::test_restarted_voter_holds_back_its_vote_while_an_earlier_one_may_be_valid",
    ),
    _single_edit(
        "rate limit lifted by a response to an earlier request",
        FORWARDING,
        "routing/limits/named_limits.py",
        "current.rate is None or sent_at <= current.observed_at",
        "current.rate is None",
        "../unit/forwarding/test_named_limits.py"
        "::test_response_to_request_sent_before_limit_does_not_lift_it",
    ),
    _single_edit(
        "local record writes not reported to the node",
        7,
        "peers/task.py",
        "self._apply_effects(membership.publish(message.key, message.value))",
        "membership.publish(message.key, message.value)",
        "../unit/test_engine_records.py::test_local_write_after_a_peer_record_is_reported_with_the_next_version",
    ),
    _single_edit(
        "queued request not withdrawn when its caller leaves",
        FORWARDING,
        "peers/queue_link.py",
        "            self._withdraw(address, query_id)\n            raise\n",
        "            raise\n",
        "../unit/forwarding/test_queue_link.py"
        "::test_grant_that_arrives_with_the_cancellation_is_returned",
    ),
    _single_edit(
        "late grant of a former dispatcher kept",
        FORWARDING,
        "peers/dispatch_link.py",
        "elif reply.worker and not self._reports.has_grant(reply.query_number):",
        "elif False:",
        "../unit/forwarding/test_queue_link.py"
        "::test_silent_dispatcher_is_left_and_its_late_grant_is_returned",
    ),
    _single_edit(
        "queued request not renewed",
        FORWARDING,
        "peers/queue_link.py",
        "            if await self._send_and_wait(waiter):\n                unanswered = 0\n",
        "            if sent_at:\n                unanswered = 0\n",
        "forwarding/test_queue.py::test_lost_grant_is_recovered_without_a_second_run",
    ),
    _single_edit(
        "second refusal of a repeated query ends the wait",
        FORWARDING,
        "peers/dispatch_link.py",
        "            if sends > 1:\n",
        "            if False:\n",
        "../unit/forwarding/test_queue_link.py"
        "::test_late_second_refusal_of_a_repeated_query_does_not_end_the_wait",
    ),
    _single_edit(
        "API key not checked after a wait",
        FORWARDING,
        "forwarding/forwarder.py",
        "            self._admission.confirm(job)\n",
        "            pass\n",
        "forwarding/test_queue.py::test_key_revoked_during_the_wait_is_not_used",
    ),
    _single_edit(
        "occupied workers not passed over by local choice",
        FORWARDING,
        "routing/worker_choice.py",
        "if query.sent_before or not self._limits_load() or not self.may_queue(query.service):",
        "if True:",
        "../unit/forwarding/test_worker_room.py::test_workers_get_no_more_than_their_capacity",
    ),
    Mutation(
        "stream continued at any software version",
        FORWARDING,
        (
            Edit(
                "routing/placement.py",
                'return self.software_version in ("", worker.software_version)',
                "return True",
            ),
            Edit(
                "forwarding/stream_continuation.py",
                "            return frozenset({job.required_version})",
                "            return None",
            ),
        ),
        "tests/probe/forwarding/test_streams_keep_software_version.py"
        "::test_stream_whose_worker_breaks_keeps_version_inside_one_answer",
    ),
    _single_edit(
        "software version not kept from the first event on",
        FORWARDING,
        "forwarding/stream_continuation.py",
        "job.required_version = version = job.begun_version",
        "version = job.begun_version",
        "forwarding/test_streams_keep_software_version.py"
        "::test_stream_whose_worker_breaks_keeps_version_inside_one_answer",
    ),
    _single_edit(
        "a process that is not known taken for that of the entry",
        FORWARDING,
        "forwarding/stream_continuation.py",
        "return encode_process_name(ProcessName(worker.id, verified=False))",
        "return worker.software_version",
        "forwarding/test_restarted_worker_versions.py"
        "::test_streams_of_restarted_worker_are_not_mixed_whatever_it_reports",
    ),
    _single_edit(
        "informational responses without a bound",
        FORWARDING,
        "connections/http_client.py",
        "if informational > MAX_INFORMATIONAL_RESPONSES:",
        "if informational < 0:",
        "forwarding/test_endless_data.py"
        "::test_requests_are_served_while_a_worker_sends_data_without_end",
    ),
    _single_edit(
        "reports without a bound",
        FORWARDING,
        "connections/http_client.py",
        "if len(body) > max_body_bytes:",
        "if len(body) < 0:",
        "forwarding/test_endless_data.py::test_reports_without_end_are_bounded",
    ),
    _single_edit(
        "streams of several versions not saved in the store",
        FORWARDING,
        "streams/version_link.py",
        "outcome = await self._save_locally(keys, origin)",
        "outcome = SaveOutcome.SAVED",
        "forwarding/test_streams_after_all_nodes_end.py"
        "::test_streams_of_versions_that_stay_go_on_after_all_nodes_end",
    ),
    _single_edit(
        "only version of an outdated view taken for that of an unknown stream",
        FORWARDING,
        "streams/version_link.py",
        "if not self.register.is_current_since(asked_at):",
        "if False:",
        "forwarding/test_streams_at_nodes_out_of_step.py"
        "::test_streams_taken_up_at_nodes_cut_off_before_a_version_joined_are_not_mixed",
    ),
    _single_edit(
        "silent relays taken for an outage of the store",
        FORWARDING,
        "streams/version_link.py",
        "return SaveOutcome.STORE_AWAY if away == asked else SaveOutcome.UNKNOWN",
        "return SaveOutcome.STORE_AWAY",
        "forwarding/test_streams_at_nodes_out_of_step.py"
        "::test_streams_begun_at_cut_off_node_at_a_restarted_worker_are_not_mixed",
    ),
    Mutation(
        "depth of documents not bounded",
        FORWARDING,
        (
            Edit("documents.py", "if _is_too_deep(raw):", "if False:"),
            Edit(
                "documents.py",
                "except (msgspec.MsgspecError, RecursionError) as exc:",
                "except msgspec.MsgspecError as exc:",
            ),
        ),
        "tests/probe/forwarding/test_foreign_documents.py"
        "::test_odd_datagrams_and_frames_leave_node_serving",
    ),
    _single_edit(
        "overwritten keys of relays and of the holder not replaced",
        FORWARDING,
        "forwarding/leased_key.py",
        "is_free = self._registry.system_entry(self._key) is None or self._is_overwritten()",
        "is_free = self._registry.system_entry(self._key) is None",
        "forwarding/test_own_keys_with_other_values.py::test_new_weights_are_loaded",
    ),
    _single_edit(
        "version register not read when a stream is unknown",
        FORWARDING,
        "streams/version_link.py",
        "registered = await self.register.read(services)",
        'registered = RegisteredVersions(frozenset(), "")',
        "forwarding/test_streams_after_all_nodes_end.py"
        "::test_streams_of_only_version_go_on_after_all_nodes_end",
    ),
    _single_edit(
        "versions of earlier nodes not kept in the register",
        FORWARDING,
        "streams/version_register.py",
        "versions, base = {*record.versions, *seen.in_view}, record.base",
        'versions, base = set(seen.in_view), next(iter(seen.in_view), "")',
        "forwarding/test_streams_after_all_nodes_end.py"
        "::test_streams_are_refused_if_all_workers_were_replaced_while_no_node_ran",
    ),
    _single_edit(
        "deadly prompt parts not suspected",
        FORWARDING,
        "crashes/part_ledger.py",
        "return moments >= SUSPICION_MOMENTS",
        "return False",
        "forwarding/test_prompt_parts_that_crash_workers.py"
        "::test_several_deadly_parts_stop_reaching_workers",
    ),
    _single_edit(
        "content convicted though several others explain its crashes",
        FORWARDING,
        "crashes/ledger.py",
        "return frozenset().union(*suspected) == own",
        "return False",
        "../unit/forwarding/test_crash_ledger.py"
        "::test_content_lost_beside_two_deadly_ones_is_not_refused",
    ),
    _single_edit(
        "isolated node without requests does not look for its paths",
        FORWARDING,
        "tunnels/direct_paths.py",
        "if not self.isolated or self._clock() < self._probe_at:",
        "if True:",
        "forwarding/test_node_without_worker_paths.py"
        "::test_node_without_requests_notices_that_its_paths_have_returned",
    ),
    _single_edit(
        "prompt part proven by trials of one request",
        FORWARDING,
        "crashes/part_ledger.py",
        "PROOF_REQUESTS = 2",
        "PROOF_REQUESTS = 1",
        "../unit/forwarding/test_part_ledger.py::test_trials_of_one_request_do_not_prove_a_part",
    ),
    _single_edit(
        "fingerprint proven beside parts that crash elsewhere too",
        FORWARDING,
        "crashes/guard.py",
        "ambiguous = self._parts.other_causes(crashes, _all_keys(job))",
        "ambiguous = frozenset()",
        "../unit/forwarding/test_part_ledger.py"
        "::test_request_on_trial_beside_part_that_also_crashes_elsewhere_is_not_refused",
    ),
    _single_edit(
        "unframed stream without events taken for complete",
        FORWARDING,
        "forwarding/attempt.py",
        "if not has_events and _ends_with_connection(response):",
        "if False:",
        "forwarding/test_unframed_streams.py"
        "::test_stream_without_events_is_complete_only_if_its_framing_says_so",
    ),
    _single_edit(
        "brittle workers chosen without the dispatcher",
        FORWARDING,
        "peers/dispatch_link.py",
        "is_required = query.service in self._records.brittle",
        "is_required = False",
        "../unit/forwarding/test_queue_link.py"
        "::test_request_for_brittle_workers_waits_for_a_slow_dispatcher",
    ),
    _single_edit(
        "idle engine refuses a prompt whose prefill is estimated too long",
        FORWARDING,
        "routing/fleet_choice.py",
        "return max(0.0, query.patience_seconds - work_seconds)",
        "return query.patience_seconds - work_seconds",
        "../unit/forwarding/test_dispatcher.py"
        "::test_idle_engine_takes_a_prompt_however_long_it_seems",
    ),
    _single_edit(
        "callers that will not wait for their retry time delay others",
        FORWARDING,
        "routing/overload.py",
        "if retry_at - now <= RETRY_SHARE * seconds_left:",
        "if True:",
        "../unit/forwarding/test_dispatcher.py"
        "::test_callers_that_do_not_wait_for_their_time_delay_no_others",
    ),
    _single_edit(
        "latency target of an earlier build taken for the caller's time",
        FORWARDING,
        "peers/dispatch_messages.py",
        "query = query._replace(patience_seconds=self.deadline_seconds)",
        "pass",
        "../unit/forwarding/test_dispatch_messages.py"
        "::test_objective_of_an_earlier_build_is_not_taken_for_the_time_of_its_caller",
    ),
    _single_edit(
        "nothing waits at a node without a dispatcher",
        FORWARDING,
        "forwarding/assignment.py",
        "if not self._uses_queue():\n                return await self._assign_locally",
        "if True:\n                return await self._assign_locally",
        "forwarding/test_load_limit.py"
        "::test_burst_above_the_capacity_is_served_while_its_callers_wait",
    ),
    _single_edit(
        "node without a dispatcher counts all slots as its own",
        FORWARDING,
        "routing/worker_choice.py",
        "return self.total_capacity(service) * own / total",
        "return self.total_capacity(service)",
        "../unit/forwarding/test_worker_room.py"
        "::test_node_alone_expects_other_nodes_to_keep_their_share",
    ),
    _single_edit(
        "end of a backoff not waited for",
        FORWARDING,
        "forwarding/forwarder.py",
        "if backoff_end <= self._assigner.latest_start(job, service):",
        "if False:",
        "forwarding/test_said_in_answers.py"
        "::test_request_waits_for_end_of_backoff_as_long_as_its_caller_does",
    ),
    _single_edit(
        "late reply to a request to enqueue taken for a refusal",
        FORWARDING,
        "peers/dispatch_link.py",
        "if refusal is None:\n                        return",
        "if False:\n                        return",
        "../unit/forwarding/test_queue_link.py"
        "::test_request_waits_although_a_stalled_dispatcher_did_not_reply_to_it_in_time",
    ),
    _single_edit(
        "workers that are away not waited for",
        FORWARDING,
        "forwarding/forwarder.py",
        "return max(deadline, self._assigner.latest_start(job, service))",
        "return deadline",
        "forwarding/test_streams_keep_software_version.py"
        "::test_streams_wait_while_the_version_of_all_workers_is_registered",
    ),
    _single_edit(
        "waiting requests rejected when all workers are away",
        FORWARDING,
        "routing/queue/dispatch_queues.py",
        "decisions += [\n                    (request.query_id, self._return_to_node(queue, request))",
        "decisions += [\n                    (request.query_id, self._reject(queue, request))",
        "forwarding/test_caller_time.py"
        "::test_waiting_requests_are_served_although_all_workers_go_for_a_while",
    ),
    _single_edit(
        "requests that wait at their node rejected when all workers leave",
        FORWARDING,
        "forwarding/local_queue.py",
        "if self._records.has_worker(service):\n                        self._advance(queue)",
        "if True:\n                        self._advance(queue)",
        "../unit/forwarding/test_local_queue.py"
        "::test_requests_that_wait_at_their_node_are_not_rejected_when_all_workers_leave",
    ),
    _single_edit(
        "requests of a silent dispatcher rejected by the share of their node",
        FORWARDING,
        "forwarding/local_queue.py",
        "if self.awaits_dispatcher:",
        "if False:",
        "../unit/forwarding/test_local_queue.py"
        "::test_requests_of_silent_dispatcher_are_rejected_only_if_all_workers_are_too_few",
    ),
    _single_edit(
        "idle time counts towards the expected wait on the OpenAI path",
        FORWARDING,
        "routing/scheduler.py",
        "        if is_idle:\n            self.busy_since = now",
        "        pass",
        "../unit/test_scheduler.py::test_idle_time_does_not_count_as_time_that_requests_need",
    ),
    _single_edit(
        "newcomers rejected by urgent arrivals that did not last",
        FORWARDING,
        "routing/queue/lasting_arrivals.py",
        "if len(self._counts) <= WINDOWS:\n            return 0.0\n        *complete, _ = self._counts",
        "complete = [self._counts[-1]]",
        "../unit/forwarding/test_queue_under_load.py"
        "::test_burst_of_two_priorities_is_served_if_the_workers_can",
    ),
    _single_edit(
        "waiting requests of the node do not postpone rollouts",
        FORWARDING,
        "forwarding/local_queue.py",
        "self.recent_waits.record(request.query.service)",
        "pass",
        "../unit/forwarding/test_local_queue.py"
        "::test_service_whose_requests_wait_at_their_node_is_short_of_workers",
    ),
    _single_edit(
        "streams waited for until their deadline, not their callers' patience",
        FORWARDING,
        "platform/registry.py",
        "return max(_PATIENCE_MS, objectives_ms, _PATIENCE_PAUSES * route.gap_aim_ms) / 1000",
        "return math.inf",
        "../unit/forwarding/test_caller_time.py"
        "::test_streams_depend_on_their_objective_by_the_patience_of_their_callers",
    ),
)


def run(mutation: Mutation, number: int) -> bool:
    """Run the test of a mutation against a mutated copy of the source.

    :param number: index of the mutation, used as the name of the copy's directory.
    :return: whether the test failed, as required.
    :raises SystemExit: if the text of an edit does not occur exactly once in its file.
    """
    source_copy = MUTANTS_DIRECTORY / f"{number:02}"
    shutil.rmtree(source_copy, ignore_errors=True)
    shutil.copytree(ROOT / "src", source_copy)
    for edit in mutation.edits:
        path = source_copy / "wheelslip" / edit.file
        text = path.read_text()
        if text.count(edit.old) != 1:
            raise SystemExit(
                f"{mutation.name}: {edit.file} does not contain {edit.old!r} exactly once"
            )
        path.write_text(text.replace(edit.old, edit.new))
    result = subprocess.run(
        [sys.executable, "-m", "pytest", "-o", "pythonpath=", "-x", mutation.test],
        cwd=ROOT,
        env=os.environ | {"PYTHONPATH": f"{source_copy}{os.pathsep}{ROOT}"},
        capture_output=True,
        text=True,
    )
    failed = result.returncode == 1
    reason = next((line for line in result.stdout.splitlines() if line.startswith("E  ")), "")
    verdict = "fails, as it must" if failed else f"DOES NOT FAIL ({result.returncode})"
    print(f"promise {mutation.guarantee}: {mutation.name}: {verdict}: {reason[4:120].strip()}")
    sys.stdout.flush()
    return failed


def main() -> int:
    """Run all mutations, or those at the indices given as arguments; return the exit status."""
    selected = [int(argument) for argument in sys.argv[1:]] or range(len(MUTATIONS))
    results = [run(MUTATIONS[number], number) for number in selected]
    print(f"{sum(results)} of {len(results)} mutations noticed")
    return 0 if all(results) else 1


if __name__ == "__main__":
    sys.exit(main())
