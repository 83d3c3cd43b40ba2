/** The mechanisms of the promises, how each is taken out, and what proves it. */

/** One change of a file. */
export interface Edit {
  /** Text that stands once in the file. */
  readonly find: string;
  readonly replace: string;
}

/** One mechanism taken out. */
export interface Mutation {
  readonly name: string;
  /** The promise that depends on the mechanism. */
  readonly promise: string;
  readonly file: string;
  readonly edits: readonly Edit[];
  /** Test file that has to fail. */
  readonly proof: string;
}

const FAULTS = "test/faults_test.ts";
const SESSIONS = "test/baselines_test.ts";
const SOCKETS = "test/daemon_test.ts";
const UNITS = "test/core_test.ts";
const OVERLOAD = "test/overload_test.ts";
const READING = "test/reading_test.ts";

/** All mutations. */
export const MUTATIONS: readonly Mutation[] = [
  {
    name: "incarnation_check",
    promise: "at most once",
    file: "src/core/key_book.ts",
    edits: [{
      find: "if (key.incarnation !== options.incarnation) {",
      replace: "if (key.incarnation === '') {",
    }],
    proof: FAULTS,
  },
  {
    name: "horizon",
    promise: "at most once",
    file: "src/core/key_book.ts",
    edits: [{
      find: "horizon = Math.max(horizon, record.sequence);",
      replace: "",
    }],
    proof: FAULTS,
  },
  {
    name: "doubt_ends_protected",
    promise: "at most once",
    file: "src/core/retry_rules.ts",
    edits: [{
      find:
        'if (isProtected(arrival) && attempts.some(isInDoubt)) return "last";',
      replace: "",
    }],
    proof: FAULTS,
  },
  {
    name: "doubt_after_silence",
    promise: "NotRun ran nowhere",
    file: "src/core/attempts.ts",
    edits: [{
      find:
        "const endsInDoubt = how.mayHaveRun && attempt.phase === AttemptPhase.Sent;",
      replace: "const endsInDoubt = false;",
    }],
    proof: FAULTS,
  },
  {
    name: "seal_on_settle",
    promise: "NotRun ran nowhere",
    file: "src/core/guard.ts",
    edits: [{
      find:
        'if (holder.state === EntryState.Granted) freeSlot();\n    return [refuse(holder, "key_sealed")];',
      replace: "return [];",
    }],
    proof: UNITS,
  },
  {
    name: "seal_on_refusal",
    promise: "NotRun ran nowhere",
    file: "src/core/key_book.ts",
    edits: [{
      find: "if (records.has(key.sequence)) return KeyStanding.Recorded;",
      replace:
        "const known = records.get(key.sequence);\n    if (known !== undefined && known.state !== KeyState.Sealed) return KeyStanding.Recorded;",
    }, {
      find: "!records.has(key.sequence) && key.sequence > horizon,",
      replace: "true,",
    }],
    proof: UNITS,
  },
  {
    name: "home_decides_for_a_key",
    promise: "NotRun ran nowhere",
    file: "src/core/attempts.ts",
    edits: [{
      find:
        "return isVerdictOfHome ? lastVerdict.execution : Execution.MayHaveRun;",
      replace:
        "return isVerdictOfHome ? lastVerdict.execution : Execution.NotRun;",
    }],
    proof: FAULTS,
  },
  {
    name: "expired_grant",
    promise: "NotRun ran nowhere",
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
    proof: FAULTS,
  },
  {
    name: "refusal_names_its_grant",
    promise: "NotRun ran nowhere",
    file: "src/core/gateway.ts",
    edits: [{
      find: "if (attempt.grant !== undefined && attempt.grant !== msg.grant) {",
      replace: "if (attempt.grant === '') {",
    }],
    proof: UNITS,
  },
  {
    name: "home_of_a_key",
    promise: "NotRun ran nowhere",
    file: "src/core/key_book.ts",
    edits: [{
      find: "if (key.home !== options.home) return KeyStanding.OtherHome;",
      replace: "if (key.home !== options.home) return KeyStanding.Malformed;",
    }],
    proof: UNITS,
  },
  {
    name: "one_run_a_key",
    promise: "at most once",
    file: "src/core/guard.ts",
    edits: [{
      find:
        "if (verdict !== undefined) return [applyKeyVerdict(entry, verdict)];",
      replace: "if (verdict !== undefined) return enqueue(entry);",
    }],
    proof: FAULTS,
  },
  {
    name: "answer_names_its_ticket",
    promise: "an answer reaches its own caller",
    file: "src/core/gateway.ts",
    edits: [{
      find:
        "if (!isOwnTicket(msg.ticket, own)) return handleForeign(request, attempt);",
      replace: "",
    }],
    proof: SESSIONS,
  },
  {
    name: "upstream_names_its_request",
    promise: "an answer reaches its own caller",
    file: "src/upstream/upstream_protocol.ts",
    edits: [{
      find: "if (echoedId !== undefined && echoedId !== sentId) {",
      replace: "if (echoedId === '') {",
    }],
    proof: SOCKETS,
  },
  {
    name: "short_answer_breaks_off",
    promise: "the whole answer",
    file: "src/daemon/caller_server.ts",
    edits: [{
      find: "streamAnswer(answer.body, outgoing, (error) => {",
      replace:
        "answer.body.once('error', () => outgoing.end());\n    answer.body.pipe(outgoing);\n    const ignore = (_: unknown) => {};\n    ignore((error: unknown) => {",
    }],
    proof: SOCKETS,
  },
  {
    name: "drain_refuses",
    promise: "a leaving upstream gets no new work",
    file: "src/core/guard.ts",
    edits: [{
      find: 'if (draining) return [refuse(entry, "draining")];',
      replace: "",
    }],
    proof: FAULTS,
  },
  {
    name: "leaving_by_the_list",
    promise: "a leaving upstream gets no new work",
    file: "src/core/membership.ts",
    edits: [{
      find: "if (place?.service !== service || isLeaving(entry)) continue;",
      replace: "if (place?.service !== service) continue;",
    }],
    proof: UNITS,
  },
  {
    name: "revisions_rise",
    promise: "an accepted configuration never reverts",
    file: "src/core/config_state.ts",
    edits: [{
      find: "if (known !== undefined && document.revision < known.revision) {",
      replace: "if (document.revision < 0) {",
    }],
    proof: SESSIONS,
  },
  {
    name: "validation",
    promise: "an accepted configuration never reverts",
    file: "src/client_account/decode.ts",
    edits: [{
      find: "return decoded.ok ? ok(decoded.val) : err(decoded.val);",
      replace:
        "return decoded.ok ? ok(decoded.val) : decoded.val.length > 99 ? err(decoded.val) : ok({} as AccountDocument);",
    }],
    proof: SESSIONS,
  },
  {
    name: "peers_before_serving",
    promise: "an accepted configuration never reverts",
    file: "src/daemon/gossip_daemon.ts",
    edits: [{
      find: "await waitForPeers();",
      replace: "",
    }],
    proof: "test/recovery_test.ts",
  },
  {
    name: "spread_on_the_data_path",
    promise: "in force everywhere",
    file: "src/core/spread.ts",
    edits: [{
      find: "if (digest === config.getDigest()) return [];",
      replace: "if (digest !== '') return [];",
    }],
    proof: UNITS,
  },
  {
    name: "stop_waits_for_requests",
    promise: "a planned stop cuts off no request",
    file: "src/daemon/gossip_daemon.ts",
    edits: [{
      find: "await withTimeout(finishOpenRequests(), settings.stopTimeoutMs);",
      replace: "",
    }],
    proof: "test/recovery_test.ts",
  },
  {
    name: "measuring_budget",
    promise: "the load of measuring stays within the budget",
    file: "src/daemon/probe_task.ts",
    edits: [{
      find: "if (!tryAcquireBudget()) return;",
      replace: "tryAcquireBudget();",
    }],
    proof: "test/budget_test.ts",
  },
  {
    name: "refuses_replaced_instance",
    promise: "work at its worst load",
    file: "src/core/guard.ts",
    edits: [{
      find:
        'if (isReplaced(head)) return [refuse(entry, "instance_replaced")];',
      replace: "",
    }],
    proof: OVERLOAD,
  },
  {
    name: "believes_in_replacement",
    promise: "work at its worst load",
    file: "src/core/replaced_instances.ts",
    edits: [{
      find: "until.set(instance, host.now() + EXCLUSION_MS);",
      replace: "",
    }],
    proof: OVERLOAD,
  },
  {
    name: "patience_by_objective",
    promise: "work at its worst load",
    file: "src/core/admission.ts",
    edits: [{
      find: "if (endsLate || waitMs > getQueueWaitLimit(request)) {",
      replace: "if (endsLate && getQueueWaitLimit(request) > 0) {",
    }],
    proof: OVERLOAD,
  },
  {
    name: "short_work_beside_long",
    promise: "work at its worst load",
    file: "src/core/guard_estimates.ts",
    edits: [{
      find: "return isShort(head) ? getMaxSlots() : getUsableSlots();",
      replace: "return isShort(head) ? getUsableSlots() : getUsableSlots();",
    }],
    proof: OVERLOAD,
  },
  {
    name: "bounds_asking",
    promise: "work at its worst load",
    file: "src/core/placement.ts",
    edits: [{
      find:
        "return tookMs > (arrival.objectiveMs ?? Infinity) * NON_QUEUEING_SHARE;",
      replace: "return tookMs > Infinity * NON_QUEUEING_SHARE;",
    }],
    proof: OVERLOAD,
  },
  {
    name: "reads_before_deadlines",
    promise: "work at its worst load",
    file: "src/daemon/waker.ts",
    edits: [{
      find: "if (clock.now() - timerAt < LATE_TIMER_MS) return tick();",
      replace:
        "if (clock.now() - timerAt < LATE_TIMER_MS * 100) return tick();",
    }],
    proof: "test/waker_test.ts",
  },
  {
    name: "free_slots_while_held",
    promise: "work at its worst load",
    file: "src/core/admission.ts",
    edits: [{
      find: "const departures = state.ahead + 1 - freeSlots;",
      replace: "const departures = state.ahead + 1 - 0 * freeSlots;",
    }],
    proof: OVERLOAD,
  },
  {
    name: "queue_by_urgency",
    promise: "work at its worst load",
    file: "src/core/urgency_queue.ts",
    edits: [{
      find:
        "return a.rank === b.rank ? a.startBy <= b.startBy : a.rank < b.rank;",
      replace: "return a !== b;",
    }],
    proof: OVERLOAD,
  },
  {
    name: "slow_beside_the_cold_speed",
    promise: "work at its worst load",
    file: "src/core/slow_spells.ts",
    edits: [{
      find:
        "if (slowdown < SLOW_FACTOR * getBase()) return endPeriod(now, isGap);",
      replace: "if (slowdown < SLOW_FACTOR) return endPeriod(now, isGap);",
    }],
    proof: OVERLOAD,
  },
  {
    name: "spares_silent_hosts",
    promise: "work at its worst load",
    file: "src/core/silent_hosts.ts",
    edits: [{
      find: "return heard.length > 0 ? heard : candidates;",
      replace: "return candidates;",
    }],
    proof: OVERLOAD,
  },
  {
    name: "sources_nearer_to_the_store",
    promise: "shared reading of the store",
    file: "src/core/reading_plan.ts",
    edits: [{
      find: 'const roots = pickFirst(listed, "reads", SOURCE_COUNT);',
      replace:
        "const roots = pickFirst(listed, `reads ${self.host}`, SOURCE_COUNT);",
    }],
    proof: READING,
  },
];
