/** How to disable each mechanism behind a guarantee, and the test that must then fail. */

/** A replacement of text in a file. */
export interface Edit {
  /** Text that occurs exactly once in the file. */
  readonly find: string;
  readonly replace: string;
}

/** A mutation that disables one mechanism. */
export interface Mutation {
  readonly name: string;
  /** Guarantee that depends on the mechanism. */
  readonly guarantee: string;
  readonly file: string;
  readonly edits: readonly Edit[];
  /** Test file that must fail under the mutation. */
  readonly testFile: string;
}

const EXPLAIN_TEST = "test/explain_test.ts";
const FAULTS_TEST = "test/faults_test.ts";
const BASELINES_TEST = "test/baselines_test.ts";
const DAEMON_TEST = "test/daemon_test.ts";
const CHOICE_TEST = "test/choice_test.ts";
const CORE_TEST = "test/core_test.ts";
const GOODPUT_TEST = "test/goodput_test.ts";
const OVERLOAD_TEST = "test/overload_test.ts";
const FLEET_LOAD_TEST = "test/fleet_load_test.ts";
const READING_TEST = "test/reading_test.ts";
const NOTICES_TEST = "test/notices_test.ts";
const NOTICE_SCHEDULE_TEST = "test/notice_schedule_test.ts";
const RESTART_TEST = "test/restart_test.ts";
const ROUTING_TEST = "test/routing_test.ts";
const EXTRA_ATTEMPTS_TEST = "test/extra_attempts_test.ts";
const INGRESS_TEST = "test/ingress_test.ts";
const DEGRADED_CONFIG_TEST = "test/degraded_config_test.ts";
const EVACUATION_TEST = "test/evacuation_test.ts";
const COLD_STARTS_TEST = "test/cold_starts_test.ts";
const CALLED_SERVICES_TEST = "test/called_services_test.ts";
const GIVEN_UP_RUNS_TEST = "test/given_up_runs_test.ts";
const REQUEST_BODY_TEST = "test/request_body_test.ts";
const ANSWER_WATCH_TEST = "test/answer_watch_test.ts";
const FRAMES_TEST = "test/frames_test.ts";
const REFUSAL_COPIES_TEST = "test/refusal_copies_test.ts";
const WAKES_TEST = "test/wakes_test.ts";
const MEMORY_BUDGET_TEST = "test/memory_budget_test.ts";
const LARGE_RESPONSES_TEST = "test/large_responses_test.ts";
const GUARD_TASK_TEST = "test/guard_task_test.ts";
const UNNAMED_SERVICES_TEST = "test/unnamed_services_test.ts";
const UPSTREAM_STARTS_TEST = "test/upstream_starts_test.ts";
const SUSPECT_EXCHANGE_TEST = "test/suspect_exchange_test.ts";
const CRASH_SUSPECTS_TEST = "test/crash_suspects_test.ts";
const WORST_LOAD_TEST = "test/worst_load_test.ts";
const PEER_STATE_TEST = "test/peer_state_test.ts";
const HTTP_LINK_TEST = "test/http_link_test.ts";
const WAITING_TEST = "test/waiting_test.ts";
const CALLER_CONNECTIONS_TEST = "test/caller_connections_test.ts";
const HANDLER_FAILURE_TEST = "test/handler_failure_test.ts";
const STOP_PLAN_TEST = "test/stop_plan_test.ts";
const GRACEFUL_STOP_TEST = "test/graceful_stop_test.ts";
const WATCH_TIMES_TEST = "test/watch_times_test.ts";
const UPSTREAM_CLIENT_TEST = "test/upstream_client_test.ts";

/** All mutations. */
export const MUTATIONS: readonly Mutation[] = [
  {
    name: "incarnation_check",
    guarantee: "at most once",
    file: "src/core/key_table.ts",
    edits: [{
      find: "if (key.incarnation !== options.incarnation) {",
      replace: "if (key.incarnation === '') {",
    }],
    testFile: FAULTS_TEST,
  },
  {
    name: "horizon",
    guarantee: "at most once",
    file: "src/core/key_table.ts",
    edits: [{
      find: "horizon = Math.max(horizon, record.sequence);",
      replace: "",
    }],
    testFile: FAULTS_TEST,
  },
  {
    name: "doubt_ends_protected",
    guarantee: "at most once",
    file: "src/core/retry_rules.ts",
    edits: [{
      find:
        'if (isAtMostOnce(arrival) && attempts.some(isInDoubt)) return "last";',
      replace: "",
    }],
    testFile: FAULTS_TEST,
  },
  {
    name: "doubt_after_silence",
    guarantee: "a request reported as NotRun never runs",
    file: "src/core/attempts.ts",
    edits: [{
      find:
        "const endsInDoubt = how.mayHaveRun && attempt.phase === AttemptPhase.Sent;",
      replace: "const endsInDoubt = false;",
    }],
    testFile: FAULTS_TEST,
  },
  {
    name: "seal_on_settle",
    guarantee: "a request reported as NotRun never runs",
    file: "src/core/guard.ts",
    edits: [{
      find:
        'if (holder.state === EntryState.Granted) freeUnusedSlot(holder);\n    return [refuse(holder, "key_sealed")];',
      replace: "return [];",
    }],
    testFile: CORE_TEST,
  },
  {
    name: "seal_on_refusal",
    guarantee: "a request reported as NotRun never runs",
    file: "src/core/key_table.ts",
    edits: [{
      find: "if (records.has(key.sequence)) return KeyStanding.Recorded;",
      replace:
        "const known = records.get(key.sequence);\n    if (known !== undefined && known.state !== KeyState.Sealed) return KeyStanding.Recorded;",
    }, {
      find: "!records.has(key.sequence) && key.sequence > horizon,",
      replace: "true,",
    }],
    testFile: CORE_TEST,
  },
  {
    name: "home_decides_for_a_key",
    guarantee: "a request reported as NotRun never runs",
    file: "src/core/attempts.ts",
    edits: [{
      find:
        "return isVerdictOfHome ? lastVerdict.execution : Execution.MayHaveRun;",
      replace:
        "return isVerdictOfHome ? lastVerdict.execution : Execution.NotRun;",
    }],
    testFile: FAULTS_TEST,
  },
  {
    name: "expired_grant",
    guarantee: "a request reported as NotRun never runs",
    file: "src/core/guard.ts",
    edits: [{
      find: "if (entry === undefined || entry.state === EntryState.Finished) {",
      replace: "if (entry === undefined) {",
    }, {
      find:
        "if (entry.state !== EntryState.Granted || entry.grant !== grantText) {",
      replace: "if (entry.grant !== grantText) {",
    }, {
      find: "if (host.now() >= entry.grantExpires!) {",
      replace: "if (entry.grantExpires === undefined) {",
    }],
    testFile: FAULTS_TEST,
  },
  {
    name: "refusal_names_its_grant",
    guarantee: "a request reported as NotRun never runs",
    file: "src/core/gateway.ts",
    edits: [{
      find: "if (attempt.grant !== undefined && attempt.grant !== msg.grant) {",
      replace: "if (attempt.grant === '') {",
    }],
    testFile: CORE_TEST,
  },
  {
    name: "home_of_a_key",
    guarantee: "a request reported as NotRun never runs",
    file: "src/core/key_table.ts",
    edits: [{
      find: "if (key.home !== options.home) return KeyStanding.OtherHome;",
      replace: "if (key.home !== options.home) return KeyStanding.Malformed;",
    }],
    testFile: CORE_TEST,
  },
  {
    name: "one_run_a_key",
    guarantee: "at most once",
    file: "src/core/guard.ts",
    edits: [{
      find:
        "if (verdict !== undefined) return [applyKeyVerdict(entry, verdict)];",
      replace: "if (verdict !== undefined) return enqueue(entry);",
    }],
    testFile: FAULTS_TEST,
  },
  {
    name: "answer_names_its_ticket",
    guarantee: "a response reaches only its own caller",
    file: "src/core/gateway.ts",
    edits: [{
      find:
        "if (!isOwnTicket(msg.ticket, own)) return handleForeign(request, attempt);",
      replace: "",
    }],
    testFile: BASELINES_TEST,
  },
  {
    name: "upstream_names_its_request",
    guarantee: "a response reaches only its own caller",
    file: "src/upstream/upstream_protocol.ts",
    edits: [{
      find: "if (echoedId !== undefined && echoedId !== sentId) {",
      replace: "if (echoedId === '') {",
    }],
    testFile: DAEMON_TEST,
  },
  {
    name: "short_answer_breaks_off",
    guarantee: "a response arrives complete or is aborted",
    file: "src/daemon/caller_server.ts",
    edits: [{
      find: "streamBody(response.body, outgoing, (error) => {",
      replace:
        "response.body.once('error', () => outgoing.end());\n    response.body.pipe(outgoing);\n    const ignore = (_: unknown) => {};\n    ignore((error: unknown) => {",
    }],
    testFile: DAEMON_TEST,
  },
  {
    name: "drain_refuses",
    guarantee: "a leaving upstream gets no new work",
    file: "src/core/guard.ts",
    edits: [{
      find: "if (draining && !mayEndBefore(entry, stopsAt)) {",
      replace: "if (draining && entry.deadline < -Infinity) {",
    }],
    testFile: FAULTS_TEST,
  },
  {
    name: "leaving_by_the_list",
    guarantee: "a leaving upstream gets no new work",
    file: "src/core/membership.ts",
    edits: [{
      find: "if (place?.service !== service || isLeaving(entry)) continue;",
      replace: "if (place?.service !== service) continue;",
    }],
    testFile: CORE_TEST,
  },
  {
    name: "revisions_rise",
    guarantee: "an accepted configuration never reverts",
    file: "src/core/config_state.ts",
    edits: [{
      find: "if (known !== undefined && document.revision < known.revision) {",
      replace: "if (document.revision < 0) {",
    }],
    testFile: BASELINES_TEST,
  },
  {
    name: "validation",
    guarantee: "an accepted configuration never reverts",
    file: "src/client_account/decode.ts",
    edits: [{
      find: "return decoded.ok ? ok(decoded.val) : err(decoded.val);",
      replace:
        "return decoded.ok ? ok(decoded.val) : decoded.val.length > 99 ? err(decoded.val) : ok({} as AccountDocument);",
    }],
    testFile: BASELINES_TEST,
  },
  {
    name: "peers_before_serving",
    guarantee: "an accepted configuration never reverts",
    file: "src/daemon/gossip_daemon.ts",
    edits: [{
      find: "await waitForPeers();",
      replace: "",
    }],
    testFile: "test/recovery_test.ts",
  },
  {
    name: "spread_on_the_data_path",
    guarantee: "an accepted configuration reaches every daemon",
    file: "src/core/gossip.ts",
    edits: [{
      find: "if (digest === config.getDigest()) return [];",
      replace: "if (digest !== '') return [];",
    }],
    testFile: CORE_TEST,
  },
  {
    name: "stop_waits_for_requests",
    guarantee: "a planned stop aborts no request",
    file: "src/daemon/gossip_daemon.ts",
    edits: [{
      find: "await withTimeout(finishOpenRequests(), settings.stopTimeoutMs);",
      replace: "",
    }],
    testFile: "test/recovery_test.ts",
  },
  {
    name: "measuring_budget",
    guarantee: "probe load stays within its budget",
    file: "src/daemon/probe_task.ts",
    edits: [{
      find: "if (!tryAcquireBudget()) return;",
      replace: "tryAcquireBudget();",
    }],
    testFile: "test/budget_test.ts",
  },
  {
    name: "refuses_replaced_instance",
    guarantee: "goodput under overload",
    file: "src/core/guard.ts",
    edits: [{
      find:
        'if (tryGetCurrent(head) !== undefined) {\n      return [refuse(entry, "instance_replaced")];\n    }',
      replace: "",
    }],
    testFile: OVERLOAD_TEST,
  },
  {
    name: "uses_stated_incarnation",
    guarantee: "goodput after a power loss",
    file: "src/core/known_instances.ts",
    edits: [{
      find: "known.set(host, { listed, current });",
      replace: "",
    }],
    testFile: RESTART_TEST,
  },
  {
    name: "states_incarnations_of_its_service",
    guarantee: "an address never serves another service's requests",
    file: "src/core/guard.ts",
    edits: [{
      find: "if (instance === undefined || service !== options.service)",
      replace: "if (instance === undefined)",
    }],
    testFile: RESTART_TEST,
  },
  {
    name: "spreads_the_return_of_callers",
    guarantee: "goodput after a power loss",
    file: "src/core/retry_after.ts",
    edits: [{
      find: "longestMs * (1 - host.random() / 2)",
      replace: "longestMs",
    }],
    testFile: RESTART_TEST,
  },
  {
    name: "queues_where_an_incarnation_is_known",
    guarantee: "goodput after a power loss",
    file: "src/core/placement.ts",
    edits: [{
      find: "if (!pool.some((c) => stated.has(c.host))) return pool;",
      replace: "return pool;",
    }, {
      find: "      getHosts(refused).size >=",
      replace: "      triedHosts.size >=",
    }],
    testFile: RESTART_TEST,
  },
  {
    name: "list_decides_on_departures",
    guarantee: "an upstream that has left gets no new work",
    file: "src/core/known_instances.ts",
    edits: [{
      find: "mayUse: (instance) => !options.wasListed(instance),",
      replace: "mayUse: () => true,",
    }, {
      find: "!options.wasListed(it.current);",
      replace: "true;",
    }],
    testFile: RESTART_TEST,
  },
  {
    name: "believes_in_replacement",
    guarantee: "goodput under overload",
    file: "src/core/replaced_instances.ts",
    edits: [{
      find: "until.set(key, host.now() + EXCLUSION_MS);",
      replace: "",
    }],
    testFile: OVERLOAD_TEST,
  },
  {
    name: "patience_by_objective",
    guarantee: "goodput under overload",
    file: "src/core/admission.ts",
    edits: [{
      find: "if (endsLate || waitMs > getQueueWaitLimit(request)) {",
      replace: "if (endsLate && getQueueWaitLimit(request) > 0) {",
    }],
    testFile: OVERLOAD_TEST,
  },
  {
    name: "objective_from_the_first_try",
    guarantee: "goodput under overload",
    file: "src/daemon/ingress_admission.ts",
    edits: [{
      find: "objectiveMs: route.objectiveMs - spentMs - waitedBeforeMs,",
      replace: "objectiveMs: route.objectiveMs - spentMs,",
    }],
    testFile: GOODPUT_TEST,
  },
  {
    name: "returns_are_told_from_first_tries",
    guarantee: "goodput under overload",
    file: "src/core/caller_times.ts",
    edits: [{
      find: "if (statedMs >= shortestMs - MIN_WAIT_MS) return 0;",
      replace: "if (statedMs >= 0 * shortestMs - MIN_WAIT_MS) return 0;",
    }],
    testFile: GOODPUT_TEST,
  },
  {
    name: "late_work_leaves_slots_free",
    guarantee: "goodput under overload",
    file: "src/core/guard_estimates.ts",
    edits: [{
      find:
        "return Math.min(usable - 1, Math.ceil(usable * LATE_WORK_RESERVE));",
      replace: "return Math.min(0, usable * LATE_WORK_RESERVE);",
    }],
    testFile: GOODPUT_TEST,
  },
  {
    name: "late_callers_are_refused_at_once",
    guarantee: "goodput under overload",
    file: "src/core/admission.ts",
    edits: [{
      find: "if (isReturned === true) return slackMs;",
      replace: "if (isReturned === undefined) return slackMs;",
    }],
    testFile: GOODPUT_TEST,
  },
  {
    name: "short_work_beside_long",
    guarantee: "goodput under overload",
    file: "src/core/guard_estimates.ts",
    edits: [{
      find: "if (isShort(head)) return getMaxSlots();",
      replace: "if (isShort(head)) return getUsableSlots();",
    }],
    testFile: OVERLOAD_TEST,
  },
  {
    name: "bounds_asking",
    guarantee: "goodput under overload",
    file: "src/core/placement.ts",
    edits: [{
      find:
        "return tookMs > (arrival.objectiveMs ?? Infinity) * NON_QUEUEING_SHARE;",
      replace: "return tookMs > Infinity * NON_QUEUEING_SHARE;",
    }],
    testFile: OVERLOAD_TEST,
  },
  {
    name: "waits_for_slots_near_free",
    guarantee: "goodput under overload",
    file: "src/core/attempt_cost.ts",
    edits: [{
      find: "return Math.max(0, Math.floor(Math.min(costMs, limitMs)));",
      replace: "return 0;",
    }],
    testFile: "test/attempt_cost_test.ts",
  },
  {
    name: "reads_before_deadlines",
    guarantee: "goodput under overload",
    file: "src/daemon/waker.ts",
    edits: [{
      find: "if (lateMs < LATE_TIMER_MS) return tick();",
      replace: "if (lateMs < LATE_TIMER_MS * 100) return tick();",
    }],
    testFile: "test/waker_test.ts",
  },
  {
    name: "free_slots_while_held",
    guarantee: "goodput under overload",
    file: "src/core/admission.ts",
    edits: [{
      find: "const departures = state.ahead + 1 - freeSlots;",
      replace: "const departures = state.ahead + 1 - 0 * freeSlots;",
    }],
    testFile: OVERLOAD_TEST,
  },
  {
    name: "queue_by_urgency",
    guarantee: "goodput under overload",
    file: "src/core/urgency_queue.ts",
    edits: [{
      find:
        "return a.rank === b.rank ? a.startBy <= b.startBy : a.rank < b.rank;",
      replace: "return a !== b;",
    }],
    testFile: OVERLOAD_TEST,
  },
  {
    name: "slow_beside_the_cold_speed",
    guarantee: "goodput under overload",
    file: "src/core/slow_periods.ts",
    edits: [{
      find: "return slowdown >= SLOW_FACTOR * getBase();",
      replace: "return slowdown >= SLOW_FACTOR;",
    }],
    testFile: OVERLOAD_TEST,
  },
  {
    name: "learns_the_length_of_slow_periods",
    guarantee: "goodput under overload",
    file: "src/core/slow_periods.ts",
    edits: [{
      find: "learnedPeriods += 1;",
      replace: "return;",
    }],
    testFile: OVERLOAD_TEST,
  },
  {
    name: "uses_the_slots_that_do_not_slow",
    guarantee: "goodput under overload",
    file: "src/core/slot_limit.ts",
    edits: [{
      find: "while (limit < slots && isGood(limit + 1)) limit += 1;",
      replace: "while (limit < 0 && isGood(limit + 1)) limit += 1;",
    }],
    testFile: FLEET_LOAD_TEST,
  },
  {
    name: "slow_periods_rule_no_slot_out",
    guarantee: "goodput under overload",
    file: "src/core/slot_limit.ts",
    edits: [{
      find: "const counted = Math.min(ratio, MAX_RATIO);",
      replace: "const counted = Math.max(ratio, 0 * MAX_RATIO);",
    }],
    testFile: FLEET_LOAD_TEST,
  },
  {
    name: "gives_up_slots_that_slow",
    guarantee: "goodput under overload",
    file: "src/core/slot_limit.ts",
    edits: [{
      find: "if (level.meanRatio - error >= SLOW_RATIO) level.isSlow = true;",
      replace: "level.isSlow = error > SLOW_RATIO;",
    }],
    testFile: FLEET_LOAD_TEST,
  },
  {
    name: "reports_failures_of_the_upstream",
    guarantee: "goodput under overload",
    file: "src/core/guard.ts",
    edits: [{
      find: "failures.record(isGood);",
      replace: "failures.record(true);",
    }],
    testFile: FLEET_LOAD_TEST,
  },
  {
    name: "avoids_failing_hosts_nearby",
    guarantee: "goodput under overload",
    file: "src/core/placement.ts",
    edits: [{
      find: "getShare(c) <= limit",
      replace: "getShare(c) <= Infinity",
    }],
    testFile: FLEET_LOAD_TEST,
  },
  {
    name: "draining_hosts_as_last_choice",
    guarantee: "every planned stop is graceful",
    file: "src/core/guard.ts",
    edits: [{
      find: "return head.isLastChoice === true && deadline <= endsAt;",
      replace: "return head.isLastChoice === true && deadline <= -Infinity;",
    }],
    testFile: OVERLOAD_TEST,
  },
  {
    name: "repeated_runs_cost_more",
    guarantee: "the shared retry budget",
    file: "src/core/retry_policy.ts",
    edits: [{
      find: "const REPEATED_RUN_COST = 3;",
      replace: "const REPEATED_RUN_COST = 1;",
    }],
    testFile: OVERLOAD_TEST,
  },
  {
    name: "refuses_slow_starts",
    guarantee: "goodput under overload",
    file: "src/core/admission.ts",
    edits: [{
      find: "return slowdown >= SLOW_FACTOR && expectedMs > objectiveMs;",
      replace: "return slowdown >= Infinity && expectedMs > objectiveMs;",
    }],
    testFile: FLEET_LOAD_TEST,
  },
  {
    name: "spares_silent_hosts",
    guarantee: "goodput under overload",
    file: "src/core/unresponsive_hosts.ts",
    edits: [{
      find: "return eligible;",
      replace: "return candidates;",
    }],
    testFile: OVERLOAD_TEST,
  },
  {
    name: "sources_nearer_to_the_store",
    guarantee: "daemons share reads of the store",
    file: "src/core/reading_plan.ts",
    edits: [{
      find: 'const roots = pickFirst(listed, "reads", SOURCE_COUNT);',
      replace:
        "const roots = pickFirst(listed, `reads ${self.host}`, SOURCE_COUNT);",
    }],
    testFile: READING_TEST,
  },
  {
    name: "limit_of_the_upstream",
    guarantee: "an upstream gets no more than its limit",
    file: "src/core/guard.ts",
    edits: [{
      find: "    rate.acquire();\n",
      replace: "",
    }],
    testFile: FLEET_LOAD_TEST,
  },
  {
    name: "limit_after_a_restart",
    guarantee: "an upstream gets no more than its limit",
    file: "src/core/guard.ts",
    edits: [{
      find: "    notices.adoptLimit(limitPerS, { instance, bornAt });\n",
      replace: "",
    }],
    testFile: NOTICES_TEST,
  },
  {
    name: "limit_outlives_its_guard",
    guarantee: "an upstream gets no more than its limit",
    file: "src/core/known_notices.ts",
    edits: [{
      find: "} else if (known?.reportedBy === incarnation) {",
      replace: "} else if (known !== undefined) {",
    }],
    testFile: NOTICES_TEST,
  },
  {
    name: "leaving_is_final",
    guarantee: "a leaving upstream gets no new work",
    file: "src/core/known_notices.ts",
    edits: [{
      find: "return tryGetLeavingSince(candidate) !== undefined;",
      replace: "return tryGetLeavingSince(candidate) === 0.5;",
    }],
    testFile: NOTICES_TEST,
  },
  {
    name: "leaving_at_the_guard",
    guarantee: "a leaving upstream gets no new work",
    file: "src/core/guard.ts",
    edits: [{
      find: "tryGetStatedLeavingSince: notices.tryGetLeavingSince,",
      replace: "tryGetStatedLeavingSince: () => undefined,",
    }],
    testFile: NOTICES_TEST,
  },
  {
    name: "older_copy_of_the_list",
    guarantee: "a leaving upstream gets no new work",
    file: "src/core/departures.ts",
    edits: [{
      find:
        "for (const departure of departures.values()) departure.mayBeLost = true;",
      replace: "",
    }],
    testFile: ROUTING_TEST,
  },
  {
    name: "leaving_at_both_ends",
    guarantee: "a leaving upstream gets no new work",
    file: "src/core/upstream_notices.ts",
    edits: [{
      find: "if (notice.isLeaving) leavingSince ??= host.now();",
      replace: "",
    }],
    testFile: NOTICE_SCHEDULE_TEST,
  },
  {
    name: "extra_work_within_the_share",
    guarantee: "extra work stays within the share",
    file: "src/core/extra_work.ts",
    edits: [{
      find: "if (usedMs + ms > allowedMs) return false;",
      replace: "if (usedMs + ms > Infinity) return false;",
    }],
    testFile: EXTRA_ATTEMPTS_TEST,
  },
  {
    name: "extra_work_saved_up_is_bounded",
    guarantee: "extra work stays within the share",
    file: "src/core/extra_work.ts",
    edits: [{
      find: "const current = Math.floor(host.now() / (WINDOW_MS / STEPS));",
      replace: "const current = host.now() * 0;",
    }],
    testFile: EXTRA_ATTEMPTS_TEST,
  },
  {
    name: "open_extra_attempts_count",
    guarantee: "extra work stays within the share",
    file: "src/core/extra_work.ts",
    edits: [{
      find: "account.extraWork.getSum() + account.reservedMs;",
      replace: "account.extraWork.getSum();",
    }],
    testFile: EXTRA_ATTEMPTS_TEST,
  },
  {
    name: "queue_time_is_no_work",
    guarantee: "extra work stays within the share",
    file: "src/core/extra_work.ts",
    edits: [{
      find: "const workMs = mayHaveQueued ? Math.min(ms, account.meanMs) : ms;",
      replace: "const workMs = ms;",
    }],
    testFile: EXTRA_ATTEMPTS_TEST,
  },
  {
    name: "ends_extra_attempts_without_work_left",
    guarantee: "extra work stays within the share",
    file: "src/core/extra_attempts.ts",
    edits: [{
      find: "if (!extra.reservation.tryExtend(moreMs)) return extra.attempt;",
      replace: "extra.reservation.tryExtend(moreMs);",
    }],
    testFile: EXTRA_ATTEMPTS_TEST,
  },
  {
    name: "chases_the_slowest",
    guarantee: "extra attempts go to the slowest responses",
    file: "src/core/extra_moment.ts",
    edits: [{
      find: "if (spent * neededMs * tail.share <= paidMs) paid ??= moment;",
      replace: "paid ??= moment;",
    }],
    testFile: EXTRA_ATTEMPTS_TEST,
  },
  {
    name: "chases_stalls_early",
    guarantee: "extra attempts go to the slowest responses",
    file: "src/core/extra_moment.ts",
    edits: [{
      find: "return isWorthwhile ? paid : best;",
      replace: "return isWorthwhile ? paid : undefined;",
    }],
    testFile: EXTRA_ATTEMPTS_TEST,
  },
  {
    name: "learns_from_repetitions",
    guarantee: "extra attempts are worth their work",
    file: "src/core/extra_moment.ts",
    edits: [{
      find: 'newTimes.record(tookMs, responded === "extra");',
      replace: "",
    }],
    testFile: EXTRA_ATTEMPTS_TEST,
  },
  {
    name: "learns_how_slow_periods_end",
    guarantee: "extra attempts are worth their work",
    file: "src/core/extra_moment.ts",
    edits: [{
      find: 'slowTimes.record(tookMs / predictedMs, responded === "first");',
      replace: "",
    }],
    testFile: EXTRA_ATTEMPTS_TEST,
  },
  {
    name: "slow_host_as_cause",
    guarantee: "extra attempts go to the slowest responses",
    file: "src/core/extra_attempts.ts",
    edits: [{
      find: "if (getSlowdown(id) <= 1) return;",
      replace: "if (getSlowdown(id) <= 1e9) return;",
    }],
    testFile: EXTRA_ATTEMPTS_TEST,
  },
  {
    name: "no_extra_attempt_while_short_of_capacity",
    guarantee: "no extra work for an overloaded service",
    file: "src/core/extra_attempts.ts",
    edits: [{
      find:
        'if (isShortOfCapacity(request)) return decline("short_of_capacity");',
      replace: "",
    }],
    testFile: EXTRA_ATTEMPTS_TEST,
  },
  {
    name: "no_extra_attempt_across_a_silent_link",
    guarantee: "no extra attempt shares the suspected cause",
    file: "src/core/extra_attempts.ts",
    edits: [{
      find: "!(isLinkSuspected && candidate.failureDomain === domain);",
      replace: "true;",
    }],
    testFile: EXTRA_ATTEMPTS_TEST,
  },
  {
    name: "no_extra_attempt_without_time",
    guarantee: "no extra attempt without time for it",
    file: "src/core/extra_attempts.ts",
    edits: [{
      find: "if (request.deadline - host.now() < moment.getExpectedMs()) {",
      replace: "if (request.deadline < host.now()) {",
    }],
    testFile: EXTRA_ATTEMPTS_TEST,
  },
  {
    name: "no_extra_attempt_at_most_once",
    guarantee: "at most once",
    file: "src/core/extra_attempts.ts",
    edits: [{
      find: "return !isAtMostOnce(arrival) && arrival.replayable &&",
      replace: "return arrival.replayable &&",
    }],
    testFile: EXTRA_ATTEMPTS_TEST,
  },
  {
    name: "own_pauses_move_the_moments",
    guarantee: "a pause of the daemon is no slow response",
    file: "src/core/extra_attempts.ts",
    edits: [{
      find: "if (lateMs <= LATE_TIMER_MS) return;",
      replace: "if (lateMs <= 1e9) return;",
    }],
    testFile: EXTRA_ATTEMPTS_TEST,
  },
  {
    name: "refused_extra_attempts_decide_nothing",
    guarantee: "a refusal of an extra attempt changes nothing",
    file: "src/core/attempts.ts",
    edits: [{
      find:
        "return attempts.findLast((a) => !a.isExtra || hasReachedUpstream(a));",
      replace: "return attempts.at(-1);",
    }],
    testFile: EXTRA_ATTEMPTS_TEST,
  },
  {
    name: "refused_extra_attempts_cost_nothing",
    guarantee: "a refusal of an extra attempt costs nothing",
    file: "src/core/extra_attempts.ts",
    edits: [{ find: "extra.charge?.refund();", replace: "" }],
    testFile: EXTRA_ATTEMPTS_TEST,
  },
  {
    name: "failed_extra_attempt_ends_alone",
    guarantee: "a failure of an extra attempt doesn't end the first one",
    file: "src/core/gateway.ts",
    edits: [{
      find: "if (attempt.isExtra) return isOpen(extra.first);",
      replace: "if (attempt.isExtra) return false;",
    }],
    testFile: EXTRA_ATTEMPTS_TEST,
  },
  {
    name: "extra_attempts_never_queue",
    guarantee: "an extra attempt never queues",
    file: "src/core/gateway.ts",
    edits: [{
      find: "mayQueue: false,\n      maxWaitMs: 0,",
      replace: "mayQueue: true,\n      maxWaitMs: 0,",
    }],
    testFile: EXTRA_ATTEMPTS_TEST,
  },
  {
    name: "unknown_kind_runs_once",
    guarantee: "at most once",
    file: "platform/store_entries.ts",
    edits: [{
      find: ": repeatability ?? Repeatability.AtMostOnce,",
      replace: ": repeatability ?? Repeatability.Idempotent,",
    }],
    testFile: DEGRADED_CONFIG_TEST,
  },
  {
    name: "unreadable_route_hides_others",
    guarantee: "requests of an unreadable route are not run",
    file: "src/core/route_table.ts",
    edits: [{
      find: "of [...config.unreadable, ...config.routes]) {",
      replace: "of config.routes) {",
    }],
    testFile: ROUTING_TEST,
  },
  {
    name: "unreadable_route_is_refused",
    guarantee: "requests of an unreadable route are not run",
    file: "src/daemon/ingress_admission.ts",
    edits: [{
      find: 'refusal: "route_unreadable"',
      replace: 'refusal: "unknown_route"',
    }],
    testFile: INGRESS_TEST,
  },
  {
    name: "bytes_within_the_budget",
    guarantee: "bounded memory",
    file: "src/core/memory_budget.ts",
    edits: [{
      find: "return used + bytes <= limitBytes;",
      replace: "return used <= limitBytes;",
    }],
    testFile: MEMORY_BUDGET_TEST,
  },
  {
    name: "room_with_hysteresis",
    guarantee: "bounded memory",
    file: "src/core/memory_budget.ts",
    edits: [{
      find: "if (used <= limitBytes * ROOM_SHARE) setExhausted(false);",
      replace: "setExhausted(false);",
    }],
    testFile: MEMORY_BUDGET_TEST,
  },
  {
    name: "large_responses_stay_near",
    guarantee: "little traffic between failure domains",
    file: "src/core/placement.ts",
    edits: [{
      find: "      responseSizes.isLarge(route);",
      replace: "      responseSizes.isLarge(undefined);",
    }],
    testFile: MEMORY_BUDGET_TEST,
  },
  {
    name: "small_responses_go_anywhere",
    guarantee: "goodput under overload",
    file: "src/core/response_sizes.ts",
    edits: [{
      find: "(means.get(route) ?? 0) >= LARGE_RESPONSE_BYTES;",
      replace: "(means.get(route) ?? 0) >= 0;",
    }],
    testFile: MEMORY_BUDGET_TEST,
  },
  {
    name: "informational_responses_end",
    guarantee: "bounded memory",
    file: "src/upstream/upstream_client.ts",
    edits: [{
      find: "if (informationalCount <= MAX_INFORMATIONAL_RESPONSES) return;",
      replace: "return;",
    }],
    testFile: LARGE_RESPONSES_TEST,
  },
  {
    name: "framing_is_bounded",
    guarantee: "bounded memory",
    file: "src/upstream/chunked_body.ts",
    edits: [{
      find: "if (framing > Math.max(MAX_FRAMING_BYTES, bodyBytes)) {",
      replace: "if (framing > Infinity) {",
    }],
    testFile: LARGE_RESPONSES_TEST,
  },
  {
    name: "unframed_bodies_are_bounded",
    guarantee: "no response that was cut looks complete",
    file: "src/upstream/response_reader.ts",
    edits: [{
      find: "if (isTooLarge && isUnframed(response.headers)) {",
      replace: "if (isTooLarge && response.status === 0) {",
    }],
    testFile: LARGE_RESPONSES_TEST,
  },
  {
    name: "buffered_bodies_state_their_length",
    guarantee: "no response that was cut looks complete",
    file: "src/upstream/response_reader.ts",
    edits: [{
      find: '"content-length": String(buffered.size()),',
      replace: "",
    }],
    testFile: LARGE_RESPONSES_TEST,
  },
  {
    name: "silent_connections_are_closed",
    guarantee: "each exchange ends",
    file: "src/link/frame_pool.ts",
    edits: [{
      find: "if (connection.silentTicks < maxTicks) return;",
      replace: "if (connection.silentTicks < Infinity) return;",
    }],
    testFile: FRAMES_TEST,
  },
  {
    name: "slow_readers_are_not_silent",
    guarantee: "an answer whose caller reads it is not cut",
    file: "src/link/frame_pool.ts",
    edits: [{
      find: "const isWaiting = !hasRead && !connection.isPaused;",
      replace: "const isWaiting = !hasRead;",
    }],
    testFile: FRAMES_TEST,
  },
  {
    name: "silent_answers_are_cut",
    guarantee: "each exchange ends",
    file: "src/daemon/answer_watch.ts",
    edits: [{
      find:
        "if (now < deadline || silentMs < MAX_SILENCE_MS) return schedule();",
      replace: "if (silentMs < Infinity) return schedule();",
    }],
    testFile: ANSWER_WATCH_TEST,
  },
  {
    name: "a_waiting_caller_is_no_silence",
    guarantee: "an answer whose caller reads it is not cut",
    file: "src/daemon/answer_watch.ts",
    edits: [{
      find: "if (hasPaused || body.readableFlowing !== true) heardAt = now;",
      replace: "if (hasPaused) heardAt = now;",
    }],
    testFile: ANSWER_WATCH_TEST,
  },
  {
    name: "given_up_runs_have_their_time",
    guarantee: "harmless requests are not refused for an end",
    file: "src/core/lingering_runs.ts",
    edits: [{
      find:
        "if (host.now() > until || runs.size >= MAX_RUNS) runs.delete(ticket);",
      replace: "if (runs.size >= MAX_RUNS) runs.delete(ticket);",
    }],
    testFile: GIVEN_UP_RUNS_TEST,
  },
  {
    name: "given_up_runs_belong_to_an_incarnation",
    guarantee: "harmless requests are not refused for an end",
    file: "src/core/lingering_runs.ts",
    edits: [{
      find:
        "if (except === undefined || instance !== except) others.push(ticket);",
      replace: "others.push(ticket);",
    }],
    testFile: GIVEN_UP_RUNS_TEST,
  },
  {
    name: "runs_without_a_receiver_are_counted",
    guarantee: "a request that ends upstreams is refused",
    file: "src/core/guard.ts",
    edits: [{
      find: "if (entry.isCancelled && msg.execution !== NotRun) {",
      replace: "if (entry.isCancelled && msg.execution === NotRun) {",
    }],
    testFile: GIVEN_UP_RUNS_TEST,
  },
  {
    name: "refused_streams_are_cut",
    guarantee: "a request that ends upstreams is refused",
    file: "src/daemon/request_body.ts",
    edits: [{
      find: "if (mayEnd?.() === false) {",
      replace: "if (mayEnd === null) {",
    }],
    testFile: REQUEST_BODY_TEST,
  },
  {
    name: "streamed_bodies_are_bounded",
    guarantee: "no body beyond the configured limit",
    file: "src/daemon/request_body.ts",
    edits: [{
      find: "if (size > maxBytes) {",
      replace: "if (size > Infinity) {",
    }],
    testFile: REQUEST_BODY_TEST,
  },
  {
    name: "chunked_bodies_are_bounded",
    guarantee: "bounded memory",
    file: "src/upstream/response_body.ts",
    edits: [{
      find: "if (size > maxBytes) {",
      replace: "if (size > Infinity) {",
    }],
    testFile: LARGE_RESPONSES_TEST,
  },
  {
    name: "back_pressure_to_the_upstream",
    guarantee: "bounded memory",
    file: "src/upstream/response_body.ts",
    edits: [{
      find: "if (!body.push(chunk) || body.isPaused()) pause();",
      replace: "body.push(chunk);",
    }],
    testFile: LARGE_RESPONSES_TEST,
  },
  {
    name: "buffers_are_returned",
    guarantee: "bounded memory",
    file: "src/link/byte_buffer.ts",
    edits: [{
      find: "    budget.release(acquired);\n    acquired = 0;",
      replace: "    acquired = 0;",
    }],
    testFile: LARGE_RESPONSES_TEST,
  },
  {
    name: "unread_responses_are_no_failures",
    guarantee: "a slow caller doesn't make a host look failed",
    file: "src/upstream/response_body.ts",
    edits: [{
      find: "waitedMs >= MIN_UNREAD_MS",
      replace: "waitedMs >= Infinity",
    }],
    testFile: LARGE_RESPONSES_TEST,
  },
  {
    name: "receivers_that_leave_are_no_failures",
    guarantee: "a slow caller doesn't make a host look failed",
    file: "src/daemon/guard_task.ts",
    edits: [{
      find: "return { diagnostic: Diagnostics.caller_gone, message };",
      replace: "return { diagnostic: Diagnostics.upstream_lost, message };",
    }],
    testFile: LARGE_RESPONSES_TEST,
  },
  {
    name: "cancels_during_readings_are_kept",
    guarantee: "no work for departed callers",
    file: "src/daemon/guard_task.ts",
    edits: [{
      find: "state.isAborted = true;",
      replace: "state.isAborted = false;",
    }],
    testFile: GUARD_TASK_TEST,
  },
  {
    name: "overdue_requests_are_not_started",
    guarantee: "no work for departed callers",
    file: "src/core/guard.ts",
    edits: [{
      find: "host.now() < entry.latestStart\n",
      replace: "host.now() < Infinity\n",
    }],
    testFile: GUARD_TASK_TEST,
  },
  {
    name: "sockets_are_read_before_a_start",
    guarantee: "no work for departed callers",
    file: "src/daemon/guard_task.ts",
    edits: [{
      find: "if (isCancelled || isOverdue) return endUnsent",
      replace: "if (isOverdue) return endUnsent",
    }],
    testFile: GUARD_TASK_TEST,
  },
  {
    name: "fatal_requests_are_refused",
    guarantee: "fatal requests end few upstreams",
    file: "src/core/crash_suspects.ts",
    edits: [{
      find: "const MAX_ENDS = 3;",
      replace: "const MAX_ENDS = Infinity;",
    }],
    testFile: CRASH_SUSPECTS_TEST,
  },
  {
    name: "a_success_clears_a_suspect",
    guarantee: "fatal requests end few upstreams",
    file: "src/core/crash_suspects.ts",
    edits: [{
      find: "if (cleared.length === 0) return;",
      replace: "return;",
    }],
    testFile: CRASH_SUSPECTS_TEST,
  },
  {
    name: "an_end_after_a_success_is_not_counted",
    guarantee: "fatal requests end few upstreams",
    file: "src/core/crash_suspects.ts",
    edits: [{
      find: "if (signature === undefined || hasSucceeded(signature)) return;",
      replace: "if (signature === undefined) return;",
    }],
    testFile: CRASH_SUSPECTS_TEST,
  },
  {
    name: "a_success_clears_own_callers_only",
    guarantee: "fatal requests end few upstreams",
    file: "src/core/crash_suspects.ts",
    edits: [{
      find: "end.endsWith(`@${options.origin}`) && ",
      replace: "true && ",
    }],
    testFile: CRASH_SUSPECTS_TEST,
  },
  {
    name: "one_end_counts_once",
    guarantee: "fatal requests end few upstreams",
    file: "src/core/crash_suspects.ts",
    edits: [{
      find: 'counted.map((end) => end.slice(0, end.indexOf("@")))',
      replace: "counted",
    }],
    testFile: CRASH_SUSPECTS_TEST,
  },
  {
    name: "a_fatal_request_is_refused_again",
    guarantee: "fatal requests end few upstreams",
    file: "src/core/crash_suspects.ts",
    edits: [{
      find: "const RETENTION_MS = 3 * QUARANTINE_MS;",
      replace: "const RETENTION_MS = QUARANTINE_MS;",
    }],
    testFile: CRASH_SUSPECTS_TEST,
  },
  {
    name: "ready_failure_responses_are_delivered",
    guarantee: "fatal requests end few upstreams",
    file: "src/core/gateway.ts",
    edits: [{
      find: "const mayRetry = planQuarantine(request) === undefined;",
      replace: "const mayRetry = true;",
    }],
    testFile: CRASH_SUSPECTS_TEST,
  },
  {
    name: "ends_of_upstreams_reach_the_gateway",
    guarantee: "fatal requests end few upstreams",
    file: "src/core/gateway.ts",
    edits: [{
      find:
        "if (end !== undefined) options.suspects?.recordEnd(request.arrival, end);",
      replace: "",
    }],
    testFile: CRASH_SUSPECTS_TEST,
  },
  {
    name: "unnamed_services_hide_nothing",
    guarantee: "odd entries name no upstream",
    file: "src/core/upstream_list.ts",
    edits: [{
      find: "if (!isUsable(entry)) continue;\n      const other",
      replace: "const other",
    }],
    testFile: UNNAMED_SERVICES_TEST,
  },
  {
    name: "unnamed_services_are_in_no_view",
    guarantee: "odd entries name no upstream",
    file: "src/core/upstream_list.ts",
    edits: [{
      find: "return options.isNamed?.(upstream.service) ?? true;",
      replace: "return upstream.service !== '';",
    }],
    testFile: UNNAMED_SERVICES_TEST,
  },
  {
    name: "services_named_later_are_used",
    guarantee: "odd entries name no upstream",
    file: "src/core/upstream_list.ts",
    edits: [{
      find: "for (const id of byHost.keys()) updateStart(id);",
      replace: "",
    }],
    testFile: UNNAMED_SERVICES_TEST,
  },
  {
    name: "statements_belong_to_one_start",
    guarantee: "a new start is used",
    file: "src/core/upstream_notices.ts",
    edits: [{
      find: "      begin(current);\n",
      replace: "      start = current;\n",
    }],
    testFile: UPSTREAM_STARTS_TEST,
  },
  {
    name: "late_responses_are_of_an_earlier_start",
    guarantee: "a new start is used",
    file: "src/core/upstream_notices.ts",
    edits: [{ find: "if (source.sentAt < validFrom) return;", replace: "" }],
    testFile: UPSTREAM_STARTS_TEST,
  },
  {
    name: "gateways_file_statements_by_start",
    guarantee: "a new start is used",
    file: "src/core/upstream_start.ts",
    edits: [{
      find: "bornAt === undefined ? instance : `${instance} ${bornAt}`",
      replace: "bornAt === undefined ? instance : `${instance}`",
    }],
    testFile: UPSTREAM_STARTS_TEST,
  },
  {
    name: "collectors_tell_all_hosts",
    guarantee: "fatal requests end few upstreams",
    file: "src/core/held_suspects.ts",
    edits: [{
      find:
        "if (it.collects && suspects.isQuarantined(signature)) it.isForAll = true;",
      replace: "",
    }],
    testFile: CRASH_SUSPECTS_TEST,
  },
  {
    name: "hosts_that_can_t_be_told_are_told_again",
    guarantee: "fatal requests end few upstreams",
    file: "src/daemon/suspect_exchange.ts",
    edits: [{
      find: "later(waitMs, () => void send(host, outbox));",
      replace: "",
    }],
    testFile: CRASH_SUSPECTS_TEST,
  },
  {
    name: "collectors_can_be_reached",
    guarantee: "fatal requests end few upstreams",
    file: "src/core/held_suspects.ts",
    edits: [{
      find: "return host === self || options.canReach(host);",
      replace: "return host !== undefined;",
    }],
    testFile: SUSPECT_EXCHANGE_TEST,
  },
  {
    name: "later_collectors_are_told",
    guarantee: "fatal requests end few upstreams",
    file: "src/daemon/suspect_exchange.ts",
    edits: [{ find: "      held.recordHostsChanged();\n", replace: "" }],
    testFile: SUSPECT_EXCHANGE_TEST,
  },
  {
    name: "hosts_listed_anew_are_told",
    guarantee: "fatal requests end few upstreams",
    file: "src/daemon/suspect_exchange.ts",
    edits: [{
      find: "forgetHost: held.forgetHost,",
      replace: "forgetHost: () => {},",
    }],
    testFile: SUSPECT_EXCHANGE_TEST,
  },
  {
    name: "starting_daemons_ask_until_replies_come",
    guarantee: "fatal requests end few upstreams",
    file: "src/daemon/suspect_exchange.ts",
    edits: [{
      find: "later(waitMs, () => void askNext(next, replied + received));",
      replace: "",
    }],
    testFile: SUSPECT_EXCHANGE_TEST,
  },
  {
    name: "ends_are_told_apart",
    guarantee: "fatal requests end few upstreams",
    file: "src/daemon/upstream_ends.ts",
    edits: [{
      find: "if (sentAt > endedAt + SETTLE_MS) count += 1;",
      replace: "if (count === 0) count += 1;",
    }],
    testFile: CRASH_SUSPECTS_TEST,
  },
  {
    name: "lost_responses_are_no_ends",
    guarantee: "fatal requests end few upstreams",
    file: "src/daemon/upstream_ends.ts",
    edits: [{
      find: "return await checking ? undefined : recordEnd(sentAt);",
      replace: "await checking;\n    return recordEnd(sentAt);",
    }],
    testFile: CRASH_SUSPECTS_TEST,
  },
  {
    name: "a_stop_answers_what_is_open",
    guarantee: "a planned stop cuts off no request",
    file: "src/core/gateway.ts",
    edits: [{
      find: "if (!request.isDelivering) requests.push(request);",
      replace: "",
    }],
    testFile: CORE_TEST,
  },
  {
    name: "refusals_close_their_connection",
    guarantee: "a refusal counts once",
    file: "src/upstream/upstream_client.ts",
    edits: [{
      find: 'body.on("error", ignoreError);\n  body.destroy();',
      replace: 'body.on("error", ignoreError);\n  body.resume();',
    }],
    testFile: REFUSAL_COPIES_TEST,
  },
  {
    name: "refusals_are_read_to_a_bound",
    guarantee: "bounded memory",
    file: "src/upstream/upstream_client.ts",
    edits: [{
      find: 'body.on("error", ignoreError);\n  body.destroy();',
      replace: 'body.on("error", ignoreError);\n  body.resume();',
    }],
    testFile: LARGE_RESPONSES_TEST,
  },
  {
    name: "refusals_name_their_request",
    guarantee: "a refusal counts only for its request",
    file: "platform/upstreams.ts",
    edits: [{
      find: "if (echoedId !== sentId) return ResponseClass.Mismatched;",
      replace: "",
    }],
    testFile: REFUSAL_COPIES_TEST,
  },
  {
    name: "unneeded_wakes_are_dropped",
    guarantee: "a daemon is not busy with what has ended",
    file: "src/core/wake_queue.ts",
    edits: [{
      find:
        "if (first === undefined || isNeeded(first.item, first.at)) return first;",
      replace: "if (isNeeded !== undefined) return first;",
    }],
    testFile: WAKES_TEST,
  },
  {
    name: "tickets_are_forgotten_together",
    guarantee: "a daemon is not busy with what has ended",
    file: "src/core/guard.ts",
    edits: [{
      find: "Math.ceil(forgetAt / FORGET_STEP_MS) * FORGET_STEP_MS",
      replace: "forgetAt + 0 * FORGET_STEP_MS",
    }],
    testFile: WAKES_TEST,
  },
  {
    name: "found_values_are_pruned",
    guarantee: "no entry of the store ends a daemon",
    file: "src/settings/decode.ts",
    edits: [{
      find: "JSON.stringify(prune(value, MAX_VALUE_DEPTH))",
      replace: "JSON.stringify(value)",
    }],
    testFile: "test/platform_decode_test.ts",
  },
  {
    name: "frames_without_a_request_close",
    guarantee: "each reply belongs to one attempt",
    file: "src/link/frame_pool.ts",
    edits: [{
      find: "if (!isExpected) return void socket!.destroy();",
      replace: "if (!isExpected) return;",
    }],
    testFile: FRAMES_TEST,
  },
  {
    name: "cut_parts_are_no_end",
    guarantee: "no response that was cut looks complete",
    file: "src/link/frame_link.ts",
    edits: [{
      find: "parts.body.destroy(new Error(message));",
      replace: "parts.end();",
    }],
    testFile: FRAMES_TEST,
  },
  {
    name: "health_checks_are_bounded",
    guarantee: "bounded memory",
    file: "src/daemon/upstream_watch.ts",
    edits: [{
      find: "if (bodyBytes > MAX_HEALTH_BODY_BYTES) cut();",
      replace: "",
    }, {
      find: "if (readBytes > MAX_HEALTH_BYTES) cutReading?.();",
      replace: "if (readBytes < 0) cutReading?.();",
    }],
    testFile: LARGE_RESPONSES_TEST,
  },
  {
    name: "cut_is_passed_on_as_reset",
    guarantee: "no response that was cut looks complete",
    file: "src/daemon/caller_connections.ts",
    edits: [{
      find: "if (delimitedByClose?.writableFinished === false) {",
      replace: "if (delimitedByClose === null) {",
    }],
    testFile: INGRESS_TEST,
  },
  {
    name: "unreadable_prefix_from_the_active_version",
    guarantee: "requests of an unreadable route are not run",
    file: "src/core/degraded_config.ts",
    edits: [{
      find: "const prefix = row.fields.prefix ?? known?.prefix;",
      replace: "const prefix = row.fields.prefix;",
    }],
    testFile: DEGRADED_CONFIG_TEST,
  },
  {
    name: "route_without_known_service",
    guarantee: "requests of an unreadable route are not run",
    file: "src/core/degraded_config.ts",
    edits: [{
      find:
        "return known.some(({ weight }) => weight > 0) ? known : undefined;",
      replace: "return known;",
    }],
    testFile: DEGRADED_CONFIG_TEST,
  },
  {
    name: "row_keeps_its_readable_cells",
    guarantee: "requests of an unreadable route are not run",
    file: "platform/store_tables.ts",
    edits: [{
      find: "checked.success ? checked.data : readCells(record, schema);",
      replace: "checked.success ? checked.data : {};",
    }],
    testFile: DEGRADED_CONFIG_TEST,
  },
  {
    name: "assumed_place_of_another_row",
    guarantee: "a fault in one row affects no other row",
    file: "src/core/degraded_config.ts",
    edits: [{
      find: "return statesPlace(failed.row) || !stated.has(place);",
      replace: "return true;",
    }],
    testFile: DEGRADED_CONFIG_TEST,
  },
  {
    name: "earlier_row_of_the_same_place",
    guarantee: "a fault in one row affects no other row",
    file: "src/core/degraded_config.ts",
    edits: [{
      find: "if (firstRoute < failed.routesBefore) return false;",
      replace: "",
    }],
    testFile: DEGRADED_CONFIG_TEST,
  },
  {
    name: "versions_rise",
    guarantee: "an accepted configuration never reverts",
    file: "src/core/degraded_config.ts",
    edits: [{
      find: "if (isVersionKnown && version <= active.version) {",
      replace: "if (version < 0) {",
    }],
    testFile: DEGRADED_CONFIG_TEST,
  },
  {
    name: "unreadable_version_changes_nothing",
    guarantee: "an accepted configuration never reverts",
    file: "src/core/degraded_config.ts",
    edits: [{
      find: "if (version === undefined) return reject(published);",
      replace: "",
    }],
    testFile: DEGRADED_CONFIG_TEST,
  },
  {
    name: "services_keep_active_values",
    guarantee: "what a version can't express stays in force",
    file: "src/core/degraded_config.ts",
    edits: [{
      find: "const path = healthPath ?? active?.healthPaths.get(name);",
      replace: "const path = healthPath;",
    }],
    testFile: DEGRADED_CONFIG_TEST,
  },
  {
    name: "limits_keep_active_values",
    guarantee: "what a version can't express stays in force",
    file: "src/core/degraded_config.ts",
    edits: [{
      find: "{ ...DEFAULT_LIMITS, ...active?.limits, ...published.limits }",
      replace: "{ ...DEFAULT_LIMITS, ...published.limits }",
    }],
    testFile: DEGRADED_CONFIG_TEST,
  },
  {
    name: "columns_keep_active_values",
    guarantee: "what a version can't express stays in force",
    file: "src/core/degraded_config.ts",
    edits: [{
      find: "{ ...DEFAULT_FIELDS, ...known, ...fields };",
      replace: "{ ...DEFAULT_FIELDS, ...fields };",
    }],
    testFile: DEGRADED_CONFIG_TEST,
  },
  {
    name: "problems_once",
    guarantee: "each problem is reported once",
    file: "src/core/degraded_config.ts",
    edits: [{
      find: "problems: isReported ? [] : problems,",
      replace: "problems,",
    }],
    testFile: DEGRADED_CONFIG_TEST,
  },
  {
    name: "unreadable_entry_names_no_upstream",
    guarantee: "an unreadable entry names no upstream",
    file: "src/core/upstream_list.ts",
    edits: [{
      find:
        "const mayReturn = removal === UpstreamRemoval.Missing && isWithinGrace() &&",
      replace: "const mayReturn = isWithinGrace() &&",
    }],
    testFile: ROUTING_TEST,
  },
  {
    name: "candidates_in_evacuated_domains",
    guarantee: "an evacuated failure domain gets no request",
    file: "src/core/evacuations.ts",
    edits: [{
      find: "endsAt.has(it)\n      ? isInEffect(it)\n      : host.now()",
      replace: "host.now()",
    }],
    testFile: EVACUATION_TEST,
  },
  {
    name: "evacuation_stated_by_a_guard",
    guarantee: "an evacuated failure domain gets no request",
    file: "src/core/evacuations.ts",
    edits: [{
      find: "host.now() < (statedUntil.get(it) ?? -Infinity)",
      replace: "false",
    }],
    testFile: EVACUATION_TEST,
  },
  {
    name: "evacuation_after_a_rollback",
    guarantee: "an evacuated failure domain gets no request",
    file: "src/core/evacuations.ts",
    edits: [{
      find: "if (host.now() >= graceEndsAt) end(it);",
      replace: "if (graceEndsAt !== 0) end(it);",
    }],
    testFile: EVACUATION_TEST,
  },
  {
    name: "evacuation_while_the_store_is_away",
    guarantee: "an evacuated failure domain gets no request",
    file: "src/core/evacuations.ts",
    edits: [{
      find: "(isLost || host.now() < at)",
      replace: "host.now() < at",
    }],
    testFile: EVACUATION_TEST,
  },
  {
    name: "evacuation_refuses_new_requests",
    guarantee: "an evacuated failure domain gets no request",
    file: "src/core/guard.ts",
    edits: [{
      find: "if (barred !== undefined) return [refuse(entry, barred)];",
      replace: "",
    }],
    testFile: EVACUATION_TEST,
  },
  {
    name: "evacuation_refuses_what_waits",
    guarantee: "an evacuated failure domain gets no request",
    file: "src/core/guard.ts",
    edits: [{
      find: "actions.push(...refuseBarred(), ...fillSlots());",
      replace: "actions.push(...fillSlots());",
    }],
    testFile: EVACUATION_TEST,
  },
  {
    name: "evacuation_revokes_grants",
    guarantee: "an evacuated failure domain gets no request",
    file: "src/core/start_rules.ts",
    edits: [{
      find: "if (closedReason !== undefined) return closedReason;",
      replace: "",
    }],
    testFile: EVACUATION_TEST,
  },
  {
    name: "evacuation_spares_health_checks",
    guarantee: "an evacuated failure domain gets no request",
    file: "src/core/guard.ts",
    edits: [{
      find: "return tryGetClosedReason() === undefined &&",
      replace: "return",
    }],
    testFile: EVACUATION_TEST,
  },
  {
    name: "evacuation_is_not_load_related",
    guarantee: "an evacuated failure domain gets no request",
    file: "src/core/refused_attempts.ts",
    edits: [{
      find:
        "  Diagnostics.domain_evacuated,\n  Diagnostics.not_ready,\n  Diagnostics.queue_full,",
      replace: "  Diagnostics.queue_full,",
    }],
    testFile: EVACUATION_TEST,
  },
  {
    name: "used_up_body_after_a_revoked_grant",
    guarantee: "no request runs without its whole body",
    file: "src/core/attempt_plan.ts",
    edits: [{
      find: "return hasBody && host.now()",
      replace: "return host.now()",
    }],
    testFile: EVACUATION_TEST,
  },
  {
    name: "cold_rate",
    guarantee: "a cold upstream gets no more than it can take",
    file: "src/core/cold_starts.ts",
    edits: [{
      find: "const REFILL_SHARE = 0.7;",
      replace: "const REFILL_SHARE = 1.2;",
    }],
    testFile: COLD_STARTS_TEST,
  },
  {
    name: "cold_burst",
    guarantee: "a cold upstream gets no more than it can take",
    file: "src/core/cold_starts.ts",
    edits: [{
      find: "maxPerSecond * BOUND_SHARE - perS)",
      replace: "maxPerSecond)",
    }],
    testFile: COLD_STARTS_TEST,
  },
  {
    name: "cold_again_while_cold",
    guarantee: "a cold upstream gets no more than it can take",
    file: "src/core/cold_starts.ts",
    edits: [{
      find: "isCautious ? NO_EXCESS : options.bounds",
      replace: "options.bounds",
    }],
    testFile: COLD_STARTS_TEST,
  },
  {
    name: "cold_until_read",
    guarantee: "a cold upstream gets no more than it can take",
    file: "src/core/cold_starts.ts",
    edits: [{
      find:
        "return now - warmAt <= MAX_READING_AGE_MS\n      ? ColdState.Warm\n      : ColdState.Unknown;",
      replace: "return ColdState.Warm;",
    }],
    testFile: COLD_STARTS_TEST,
  },
  {
    name: "cold_by_health",
    guarantee: "a cold upstream gets no more than it can take",
    file: "src/core/cold_starts.ts",
    edits: [{
      find:
        "warmAt = coldMs > 0 ? -Infinity : readAt;\n    coldUntil = coldMs > 0 ? readAt + coldMs : -Infinity;",
      replace: "warmAt = readAt;",
    }],
    testFile: COLD_STARTS_TEST,
  },
  {
    name: "cold_by_the_list",
    guarantee: "a cold upstream gets no more than it can take",
    file: "src/core/cold_starts.ts",
    edits: [{
      find: "coldUntil = Math.max(coldUntil, host.now() + coldMs);",
      replace: "",
    }],
    testFile: COLD_STARTS_TEST,
  },
  {
    name: "cold_after_a_restart",
    guarantee: "a cold upstream gets no more than it can take",
    file: "src/core/cold_starts.ts",
    edits: [{
      find: "validFrom = host.now();\n    warmAt = -Infinity;",
      replace: "",
    }],
    testFile: COLD_STARTS_TEST,
  },
  {
    name: "cold_bound_at_the_guard",
    guarantee: "a cold upstream gets no more than it can take",
    file: "src/core/guard.ts",
    edits: [{
      find: "rate.setLimit(RateLimit.Cold, bound);",
      replace: "",
    }],
    testFile: COLD_STARTS_TEST,
  },
  {
    name: "cold_bucket_starts_empty",
    guarantee: "a cold upstream gets no more than it can take",
    file: "src/core/request_rate.ts",
    edits: [{
      find: "allowed = isNew ? -preceding : Math.min(allowed, next.burst);",
      replace: "allowed = isNew ? next.burst : Math.min(allowed, next.burst);",
    }],
    testFile: COLD_STARTS_TEST,
  },
  {
    name: "cold_counts_preceding_starts",
    guarantee: "a cold upstream gets no more than it can take",
    file: "src/core/request_rate.ts",
    edits: [{
      find: "recentStarts?.count(PRECEDING_MS) ?? 0",
      replace: "0",
    }],
    testFile: COLD_STARTS_TEST,
  },
  {
    name: "cold_burst_only_if_alone",
    guarantee: "a cold upstream gets no more than it can take",
    file: "src/core/request_rate.ts",
    edits: [{
      find: "return host.now() - aloneSince >= BOUND_SPAN_MS;",
      replace: "return true;",
    }],
    testFile: COLD_STARTS_TEST,
  },
  {
    name: "cold_burst_less_recent_starts",
    guarantee: "a cold upstream gets no more than it can take",
    file: "src/core/request_rate.ts",
    edits: [{
      find: "burst - recentStarts.count(BOUND_SPAN_MS)",
      replace: "burst",
    }],
    testFile: COLD_STARTS_TEST,
  },
  {
    name: "cold_burst_after_a_quiet_second",
    guarantee: "callers that come back together are served at once",
    file: "src/core/request_rate.ts",
    edits: [{
      find: "recentStarts?.isComplete() === true",
      replace: "recentStarts === null",
    }],
    testFile: COLD_STARTS_TEST,
  },
  {
    name: "cold_grants_count_when_used",
    guarantee: "a cold upstream gets no more than it can take",
    file: "src/core/guard.ts",
    edits: [{
      find:
        'if (!mayUseGrant(entry)) return [revokeGrant(entry, "over_upstream_limit")];',
      replace: "",
    }],
    testFile: COLD_STARTS_TEST,
  },
  {
    name: "cold_grants_released_late",
    guarantee: "a cold upstream gets no more than it can take",
    file: "src/core/guard.ts",
    edits: [{
      find: "isRecentlyCounted(entry)\n        ?",
      replace: "entry.grant !== undefined\n        ?",
    }],
    testFile: COLD_STARTS_TEST,
  },
  {
    name: "cold_reading_before_a_start",
    guarantee: "a cold upstream gets no more than it can take",
    file: "src/core/guard.ts",
    edits: [{
      find:
        "return options.coldStarts?.getState() === ColdState.Cold\n      ? [RateLimit.Stated, RateLimit.Cold]\n      : [RateLimit.Stated];",
      replace: "return [RateLimit.Stated, RateLimit.Cold];",
    }],
    testFile: COLD_STARTS_TEST,
  },
  {
    name: "cold_work_at_half_speed",
    guarantee: "goodput under overload",
    file: "src/core/guard_estimates.ts",
    edits: [{
      find: "? COLD_SLOWDOWN\n      : 1;",
      replace: "? 1\n      : 1;",
    }],
    testFile: COLD_STARTS_TEST,
  },
  {
    name: "cold_needs_health_checks",
    guarantee: "a cold upstream gets no more than it can take",
    file: "src/daemon/upstream_watch.ts",
    edits: [{
      find: "if (isFresh && !options.isReadingDue()) return;",
      replace: "if (isFresh) return;",
    }],
    testFile: COLD_STARTS_TEST,
  },
  {
    name: "cold_readings_while_requests_wait",
    guarantee: "a cold upstream gets no more than it can take",
    file: "src/daemon/upstream_watch.ts",
    edits: [{
      find: "if (!options.hasWaiting()) return;\n    waitTimer",
      replace: "if (options.hasWaiting()) return;\n    waitTimer",
    }],
    testFile: COLD_STARTS_TEST,
  },
  {
    name: "waiting_responses_are_freed",
    guarantee: "bounded memory",
    file: "src/daemon/ingress_server.ts",
    edits: [{
      find: "req.body?.release();\n    req.response?.destroy();\n  }",
      replace: "req.body?.release();\n  }",
    }],
    testFile: INGRESS_TEST,
  },
  {
    name: "request_bodies_within_the_budget",
    guarantee: "bounded memory",
    file: "src/daemon/request_body.ts",
    edits: [{
      find: "if (length > maxKeptBytes || !buffered.reserve(length)) {",
      replace: "buffered.reserve(length);\n  if (length > maxKeptBytes) {",
    }, {
      find: "const isKept = buffered.size() + piece.length <= maxKeptBytes &&",
      replace:
        "const isKept = buffered.size() + piece.length <= maxKeptBytes ||",
    }],
    testFile: INGRESS_TEST,
  },
  {
    name: "cold_hosts_report_their_next_start",
    guarantee: "goodput under overload",
    file: "src/core/guard.ts",
    edits: [{
      find: "rate.tryGetTurnMs(getKnownLimits())",
      replace: "rate.tryGetTurnMs([RateLimit.Stated])",
    }],
    testFile: COLD_STARTS_TEST,
  },
  {
    name: "guards_timeouts_end_requests",
    guarantee: "accurate results",
    file: "src/core/retry_rules.ts",
    edits: [{
      find: 'if (isTimeout(request.lastVerdict)) return "deadline_passed";',
      replace: "",
    }],
    testFile: CORE_TEST,
  },
  {
    name: "asks_while_there_is_time",
    guarantee: "goodput under overload",
    file: "src/core/attempt_cost.ts",
    edits: [{
      find: "return tookMs + getExpectedMs(service) + workMs <= objectiveMs;",
      replace: "return tookMs < 0 && workMs < objectiveMs;",
    }],
    testFile: FLEET_LOAD_TEST,
  },
  {
    name: "holds_requests_whose_calls_are_refused",
    guarantee: "slots go to requests that can end",
    file: "src/core/guard.ts",
    edits: [{
      find: "return options.calledServices?.mayStart(route) ?? true;",
      replace: "return route !== '';",
    }],
    testFile: CALLED_SERVICES_TEST,
  },
  {
    name: "starts_clocked_by_good_ends",
    guarantee: "starts follow what called services take",
    file: "src/core/called_services.ts",
    edits: [{
      find: "allow(route, STARTS_PER_GOOD_END);",
      replace: "allow(route, 0);",
    }],
    testFile: CALLED_SERVICES_TEST,
  },
  {
    name: "explanations_draw_no_numbers",
    guarantee: "an explanation changes nothing",
    file: "src/core/preview_random.ts",
    edits: [{
      find: "ahead.push(host.random())",
      replace: "return host.random()",
    }],
    testFile: EXPLAIN_TEST,
  },
  {
    name: "explanations_advance_no_counter",
    guarantee: "an explanation changes nothing",
    file: "src/core/attempt_plan.ts",
    edits: [{
      find: ": basis.chooser.preview({ ...preview, loads }),",
      replace: ": basis.chooser,",
    }],
    testFile: EXPLAIN_TEST,
  },
  {
    name: "explanations_leave_out_what_is_forgotten",
    guarantee: "an explanation is what is decided next",
    file: "src/core/upstream_list.ts",
    edits: [{
      find:
        "if ((newest && getStartKey(newest)) !== starts.get(id)) trace.forget(id);",
      replace: "",
    }],
    testFile: EXPLAIN_TEST,
  },
  {
    name: "tries_slower_hosts_again",
    guarantee: "goodput under overload",
    file: "src/core/choice.ts",
    edits: [{
      find: "return isClearlySlower && !isTrialDue ? own : typical.serviceMs;",
      replace: "return isClearlySlower ? own : typical.serviceMs;",
    }],
    testFile: CHOICE_TEST,
  },
  {
    name: "gateways_share_trials",
    guarantee: "goodput under overload",
    file: "src/core/choice.ts",
    edits: [{
      find: "loads.getAge(entry) >= typical.trialAgeMs;",
      replace: "loads.getAge(entry) >= 0;",
    }],
    testFile: CHOICE_TEST,
  },
  {
    name: "no_reading_without_a_start",
    guarantee: "bounded health checks",
    file: "src/core/guard.ts",
    edits: [{
      find: "rate.getWaitMs(0, getKnownLimits()) === 0 &&",
      replace: "",
    }],
    testFile: COLD_STARTS_TEST,
  },
  {
    name: "asks_no_draining_host_in_doubt",
    guarantee: "at most once",
    file: "src/core/attempt_plan.ts",
    edits: [{
      find:
        "if (getLastAttempt(request)?.neverReachedUpstream !== true) return false;",
      replace: "",
    }],
    testFile: CORE_TEST,
  },
  {
    name: "serves_late_calls",
    guarantee: "goodput under overload",
    file: "src/core/guard.ts",
    edits: [{
      find: "host.now() + estimates.getUsefulWaitMs(head),",
      replace: "startBy,",
    }],
    testFile: OVERLOAD_TEST,
  },
  {
    name: "states_the_end_of_slow_periods",
    guarantee: "goodput under overload",
    file: "src/core/guard.ts",
    edits: [{
      find: "return delayMs === 0 ? turnMs : Math.max(turnMs ?? 0, delayMs);",
      replace: "return delayMs < 0 ? delayMs : turnMs;",
    }],
    testFile: WORST_LOAD_TEST,
  },
  {
    name: "waits_count_with_slow_periods",
    guarantee: "goodput under overload",
    file: "src/core/choice.ts",
    edits: [{
      find: "      waitMs + getSlowMs(entry),\n      loads.getTurnMs(entry),",
      replace: "      waitMs + getSlowMs(entry),\n      0,",
    }],
    testFile: WORST_LOAD_TEST,
  },
  {
    name: "asks_another_queue",
    guarantee: "goodput under overload",
    file: "src/core/placement.ts",
    edits: [{
      find: "if (asked.size >= MAX_REFUSED_QUEUES) return false;",
      replace: "if (asked.size > 0) return false;",
    }],
    testFile: WORST_LOAD_TEST,
  },
  {
    name: "asks_no_queue_without_time",
    guarantee: "what can't be served is refused at once",
    file: "src/core/placement.ts",
    edits: [{
      find: "chooser.getExpectedMs(c) <= leftMs\n    );",
      replace: "leftMs < Infinity\n    );",
    }],
    testFile: WORST_LOAD_TEST,
  },
  {
    name: "remembers_queues",
    guarantee: "goodput under overload",
    file: "src/core/placement.ts",
    edits: [{
      find: "if (report.queued > 0 && !isSlow) return Exclusion.Queueing;",
      replace: "",
    }],
    testFile: WORST_LOAD_TEST,
  },
  {
    name: "starts_at_cold_upstreams",
    guarantee: "goodput after a loss of power",
    file: "src/core/admission.ts",
    edits: [{
      find: "slowdown <= COLD_SLOWDOWN ? meanWorkMs : workMs;",
      replace: "slowdown <= 0 ? meanWorkMs : workMs;",
    }],
    testFile: WORST_LOAD_TEST,
  },
  {
    name: "takes_no_older_state",
    guarantee: "an accepted change never reverts",
    file: "src/daemon/store_task.ts",
    edits: [{
      find: "(state.era === position.era && revision > position.revision);",
      replace: "state.era === position.era;",
    }],
    testFile: PEER_STATE_TEST,
  },
  {
    name: "asks_peers_without_the_store",
    guarantee: "accepted changes hold everywhere",
    file: "src/daemon/store_task.ts",
    edits: [{
      find:
        "if (options.peers === undefined || peerTimer !== undefined) return;",
      replace: "return;",
    }],
    testFile: PEER_STATE_TEST,
  },
  {
    name: "connects_in_time",
    guarantee: "goodput after a loss of power",
    file: "src/link/http_link.ts",
    edits: [{
      find: "const CONNECT_TIMEOUT_MS = 150;",
      replace: "const CONNECT_TIMEOUT_MS = 1_000;",
    }],
    testFile: HTTP_LINK_TEST,
  },
  {
    name: "statuses_are_final",
    guarantee: "the whole answer, to its own caller alone",
    file: "src/upstream/upstream_client.ts",
    edits: [{
      find: "if (!isFinalStatus(response.status)) {",
      replace: "if (response.status === undefined) {",
    }],
    testFile: UPSTREAM_CLIENT_TEST,
  },
  {
    name: "streams_are_framed",
    guarantee: "nothing runs that no caller sent",
    file: "src/upstream/upstream_client.ts",
    edits: [{
      find: '? { "transfer-encoding": "chunked" }',
      replace: "? {}",
    }],
    testFile: UPSTREAM_CLIENT_TEST,
  },
  {
    name: "silence_is_bounded",
    guarantee: "accepted changes are in force in time",
    file: "src/core/watch_times.ts",
    edits: [{
      find: "const WATCH_SHARE = 0.68;",
      replace: "const WATCH_SHARE = 1;",
    }],
    testFile: WATCH_TIMES_TEST,
  },
  {
    name: "silence_is_the_connection_s_first",
    guarantee: "accepted changes are in force in time",
    file: "src/daemon/store_task.ts",
    edits: [{
      find: "if (error.isSilent && !isAskedAgain && failures === 0) {",
      replace: "if (error.isSilent === undefined) {",
    }],
    testFile: WATCH_TIMES_TEST,
  },
  {
    name: "idle_connections_are_replaced",
    guarantee: "accepted changes are in force in time",
    file: "platform/store_client.ts",
    edits: [{
      find: "const MAX_IDLE_MS = 1_000;",
      replace: "const MAX_IDLE_MS = 60_000;",
    }],
    testFile: WATCH_TIMES_TEST,
  },
  {
    name: "waiting_requests_are_asked_again",
    guarantee: "a leaving upstream gets no new work after seconds",
    file: "src/core/guard.ts",
    edits: [{
      find: "if (!rules.takeChange()) return [];",
      replace: "return [];",
    }],
    testFile: WAITING_TEST,
  },
  {
    name: "the_list_is_known_at_the_guard",
    guarantee: "a leaving upstream gets no new work after seconds",
    file: "src/core/start_rules.ts",
    edits: [{
      find: ": options.tryGetListedLeavingSince?.(instance);",
      replace: ": undefined;",
    }],
    testFile: WAITING_TEST,
  },
  {
    name: "a_stop_knows_the_work",
    guarantee: "a planned stop cuts off no request",
    file: "src/core/stop_plan.ts",
    edits: [{
      find: ": known.getTail(leftMs / MARGIN).share <= MAX_LATE_SHARE;",
      replace: ": true;",
    }],
    testFile: STOP_PLAN_TEST,
  },
  {
    name: "a_stop_spares_what_runs_once",
    guarantee: "a planned stop cuts off no request",
    file: "src/core/stop_plan.ts",
    edits: [{
      find: "return isAtMostOnce\n      ?",
      replace: "return !isAtMostOnce\n      ?",
    }],
    testFile: STOP_PLAN_TEST,
  },
  {
    name: "a_stop_takes_late_only_what_surely_ends",
    guarantee: "a planned stop cuts off no request",
    file: "src/core/stop_plan.ts",
    edits: [{
      find: "if (!isEarly && !endsSurely(route, leftMs)) return false;",
      replace: "",
    }],
    testFile: STOP_PLAN_TEST,
  },
  {
    name: "a_stop_knows_open_requests",
    guarantee: "a planned stop cuts off no request",
    file: "src/core/stop_plan.ts",
    edits: [{
      find: "getOldestMs(route) <= withinMs &&",
      replace: "",
    }],
    testFile: STOP_PLAN_TEST,
  },
  {
    name: "a_stop_ends_what_is_open",
    guarantee: "a planned stop cuts off no request",
    file: "src/daemon/graceful_stop.ts",
    edits: [{ find: "options.endOpen();", replace: "" }],
    testFile: GRACEFUL_STOP_TEST,
  },
  {
    name: "earlier_starts_are_outdated",
    guarantee: "a leaving upstream gets no new work after seconds",
    file: "src/core/upstream_list.ts",
    edits: [{
      find: "if (isEarlierStart || departures.isOutdated(upstream)) {",
      replace: "if (departures.isOutdated(upstream)) {",
    }],
    testFile: ROUTING_TEST,
  },
  {
    name: "a_paused_connection_goes_on",
    guarantee: "a silent connection keeps no exchange waiting",
    file: "src/link/frame_pool.ts",
    edits: [{ find: "    socket!.resume();\n", replace: "" }],
    testFile: FRAMES_TEST,
  },
  {
    name: "handlers_answer_for_exceptions",
    guarantee: "a fault in one request ends no daemon",
    file: "src/daemon/handler_failure.ts",
    edits: [{
      find:
        "onFailure(error instanceof Error ? error : new Error(String(error)));",
      replace: "if (onFailure !== undefined) throw error;",
    }],
    testFile: HANDLER_FAILURE_TEST,
  },
  {
    name: "the_last_answer_announces_the_end",
    guarantee: "a connection closes behind the last answer",
    file: "src/daemon/caller_connections.ts",
    edits: [{
      find: "if (!isDue || !isLast) return;",
      replace: "if (!isDue) return;",
    }],
    testFile: CALLER_CONNECTIONS_TEST,
  },
  {
    name: "bytes_are_refused_behind_answers",
    guarantee: "a connection closes behind the last answer",
    file: "src/daemon/caller_connections.ts",
    edits: [{
      find: '  server.on("clientError", handleParserError);\n',
      replace: "",
    }],
    testFile: CALLER_CONNECTIONS_TEST,
  },
  {
    name: "requests_of_a_connection_take_turns",
    guarantee: "no caller takes the event loop from others",
    file: "src/daemon/caller_connections.ts",
    edits: [{
      find: "if (rate.getWaitMs() === 0 && mayPassOn(connection)) {",
      replace: "if (mayPassOn(connection)) {",
    }],
    testFile: CALLER_CONNECTIONS_TEST,
  },
  {
    name: "turns_of_the_loop_are_short",
    guarantee: "no caller takes the event loop from others",
    file: "src/daemon/loop_turns.ts",
    edits: [{
      find: "i < STEPS_PER_TURN;",
      replace: "i < Infinity;",
    }],
    testFile: CALLER_CONNECTIONS_TEST,
  },
  {
    name: "parsing_takes_turns",
    guarantee: "no caller takes the event loop from others",
    file: "src/daemon/caller_input.ts",
    edits: [{
      find: "tookMs < TURN_MS && ",
      replace: "",
    }],
    testFile: CALLER_CONNECTIONS_TEST,
  },
  {
    name: "what_a_waiting_connection_sends_is_not_parsed",
    guarantee: "no caller takes the event loop from others",
    file: "src/daemon/caller_input.ts",
    edits: [{
      find: "if (isWaiting || unparsed.length > 0) keep(data);",
      replace: "if (isDropped) keep(data);",
    }],
    testFile: CALLER_CONNECTIONS_TEST,
  },
  {
    name: "a_waiting_connection_is_read",
    guarantee: "a caller that leaves is noticed",
    file: "src/daemon/caller_input.ts",
    edits: [{
      find: "if (measures !== Measures.Yes) pause();",
      replace: "pause();",
    }],
    testFile: CALLER_CONNECTIONS_TEST,
  },
  {
    name: "pieces_of_a_body_are_gathered",
    guarantee: "no caller takes the event loop from others",
    file: "src/daemon/request_body.ts",
    edits: [{
      find: "if (pieces.push(piece) === 1) queueMicrotask(flush);",
      replace: "if (pieces.push(piece) === 1) flush();",
    }],
    testFile: CALLER_CONNECTIONS_TEST,
  },
  {
    name: "frames_are_copied_a_few_times",
    guarantee: "no peer takes the event loop from callers",
    file: "src/link/frames.ts",
    edits: [{
      find: "Math.max(length, 2 * pendingBytes)",
      replace: "length",
    }],
    testFile: FRAMES_TEST,
  },
  {
    name: "parts_have_bytes",
    guarantee: "no peer takes the event loop from callers",
    file: "src/link/frames.ts",
    edits: [{
      find: "      if (bodyBytes === 0) return undefined;\n",
      replace: "",
    }],
    testFile: FRAMES_TEST,
  },
  {
    name: "small_parts_at_a_bounded_rate",
    guarantee: "no peer takes the event loop from callers",
    file: "src/link/frame_link.ts",
    edits: [{
      find: "if (!isWanted || holdTimer !== undefined) from.pause();",
      replace: "if (!isWanted) from.pause();",
    }],
    testFile: FRAMES_TEST,
  },
  {
    name: "one_acceptance_for_an_exchange",
    guarantee: "no peer takes the event loop from callers",
    file: "src/link/frame_link.ts",
    edits: [{
      find: "if (received.kind !== FrameKind.Accepted || isAccepted) {",
      replace: "if (received.kind !== FrameKind.Accepted) {",
    }],
    testFile: FRAMES_TEST,
  },
  {
    name: "unread_bodies_are_not_parsed",
    guarantee: "bounded memory",
    file: "src/daemon/caller_input.ts",
    edits: [{
      find: "if (hasUnread() && !isDropped) return awaitRead();",
      replace: "",
    }],
    testFile: CALLER_CONNECTIONS_TEST,
  },
];
