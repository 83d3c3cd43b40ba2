/** Runs YAML scenarios against the real core and returns their traces. */

import { z } from "zod";
import { ListedState } from "../core/config_types.ts";
import { Repeatability } from "../core/types.ts";
import { decodeYaml, formatProblem } from "../settings/decode.ts";
import { checkRun } from "./check_run.ts";
import { OWN_POLICY } from "./policies.ts";
import type { LabOutcome } from "./types.ts";
import { createWorld, type World } from "./world.ts";

const DRAIN_GRACE_MS = 1_000;
const DEFAULT_TIMEOUT_MS = 1_000;

const callSchema = z.strictObject({
  id: z.string(),
  gateway: z.string(),
  service: z.string(),
  account: z.string().default("karaca"),
  repeatability: z.enum(Repeatability).default(Repeatability.Idempotent),
  timeoutMs: z.number().default(DEFAULT_TIMEOUT_MS),
  /** Name of a key issued by an earlier `takeKey` step. */
  key: z.string().optional(),
  /** Operation that the call requests; by default the part of its id before "~". */
  operation: z.string().optional(),
  replayable: z.boolean().default(true),
});

const hosts = z.array(z.string());

/** A step: the time `at`, in ms, and one field for the action. */
const stepSchema = z.strictObject({
  at: z.number().min(0),
  call: callSchema.optional(),
  takeKey: z.strictObject({ name: z.string(), home: z.string() }).optional(),
  kill: z.string().optional(),
  vanish: z.string().optional(),
  restart: z.string().optional(),
  pause: z.string().optional(),
  resume: z.string().optional(),
  drain: z.string().optional(),
  cut: z.strictObject({ left: hosts, right: hosts }).optional(),
  heal: z.literal(true).optional(),
  silence: z.strictObject({ from: z.string(), to: z.string() }).optional(),
  slow: z.strictObject({ host: z.string(), factor: z.number() }).optional(),
  crossNext: z.literal(true).optional(),
  publish: z.strictObject({ key: z.string(), value: z.string() }).optional(),
  /** Host that reads the configuration from a replica that may be stale. */
  read: z.string().optional(),
  /** Host that reads the configuration from a current replica. */
  readCurrent: z.string().optional(),
  stale: z.boolean().optional(),
  outage: z.boolean().optional(),
  list: z.record(z.string(), z.enum(ListedState)).optional(),
});

/** Schema of a scenario file. */
export const scenarioSchema = z.strictObject({
  about: z.string(),
  seed: z.int().default(1),
  untilMs: z.number(),
  spreads: z.boolean().default(false),
  keysKept: z.int().default(1_000),
  hosts: z.array(z.strictObject({
    host: z.string(),
    service: z.string(),
    failureDomain: z.string(),
    slots: z.int().default(2),
    serviceMs: z.number().default(20),
  })),
  steps: z.array(stepSchema),
});

type Scenario = z.output<typeof scenarioSchema>;
type Step = Scenario["steps"][number];

interface ScenarioRun {
  readonly world: World;
  readonly keys: Map<string, string>;
  readonly outcomes: LabOutcome[];
  callsMade: number;
  record(line: string): void;
}

type StepHandlers = {
  [K in Exclude<keyof Step, "at">]-?: (
    run: ScenarioRun,
    value: NonNullable<Step[K]>,
  ) => void;
};

const HANDLERS: StepHandlers = {
  call: makeCall,
  takeKey: ({ world, keys }, { name, home }) => {
    const key = world.issueKeys(home, "karaca", { count: 1 })[0];
    if (key !== undefined) keys.set(name, key);
  },
  kill: ({ world }, host) => world.kill(host),
  vanish: ({ world }, host) => world.vanish(host),
  restart: ({ world }, host) => world.restart(host),
  pause: ({ world }, host) => world.pause(host),
  resume: ({ world }, host) => world.resume(host),
  drain: ({ world }, host) => world.drain(host),
  cut: ({ world }, { left, right }) => world.network.cut(left, right),
  heal: ({ world }) => world.network.heal(),
  silence: ({ world }, { from, to }) => world.network.silence(from, to),
  slow: ({ world }, { host, factor }) => {
    world.getModel(host).behaviour.slowFactor = factor;
  },
  crossNext: ({ world }) => void (world.network.faults.swapsNextPair = true),
  publish: ({ world }, { key, value }) =>
    void world.platform.publish(key, value),
  read: (run, host) => readPlatform(run, host),
  readCurrent: ({ world }, host) =>
    world.getNode(host).applyDocuments(world.platform.readCurrent()),
  stale: ({ world }, isStale) => world.platform.setStale(isStale),
  outage: ({ world }, isOut) => world.platform.setOutage(isOut),
  list: ({ world }, states) => world.publishList(states),
};

/**
 * Runs a scenario and returns its trace: messages, decisions, counters and
 * violations. Throws if the scenario file is invalid.
 */
export function runScenario(file: string, text: string): string {
  const decoded = decodeYaml(text, { file, schema: scenarioSchema });
  if (decoded.err) throw new Error(decoded.val.map(formatProblem).join("\n"));
  const scenario = decoded.val;
  const lines = [`# ${scenario.about}`];
  const world = createWorld({
    seed: scenario.seed,
    hosts: scenario.hosts,
    policy: OWN_POLICY,
    latency: { sameDomainMs: 0.1, crossDomainMs: 1.5, callerMs: 8 },
    keyCapacity: scenario.keysKept,
    spreads: scenario.spreads,
    record: (line) => lines.push(line),
  });
  const run: ScenarioRun = {
    world,
    keys: new Map(),
    outcomes: [],
    callsMade: 0,
    record: (line) =>
      lines.push(`${world.loop.now().toFixed(1).padStart(8)} ${line}`),
  };
  for (const step of scenario.steps) {
    world.loop.schedule(step.at, () => runStep(run, step));
  }
  world.loop.runUntil(scenario.untilMs);
  lines.push(...summarise(run));
  return `${lines.join("\n")}\n`;
}

function readPlatform({ world, record }: ScenarioRun, host: string): void {
  const documents = world.platform.read();
  record(`${host} reads the platform: ${documents?.length ?? "no answer"}`);
  if (documents !== undefined) world.getNode(host).applyDocuments(documents);
}

function runStep(run: ScenarioRun, step: Step): void {
  const { at: _, ...rest } = step;
  for (const [name, value] of Object.entries(rest)) {
    if (value === undefined) continue;
    const handler = HANDLERS[name as keyof StepHandlers] as (
      run: ScenarioRun,
      value: unknown,
    ) => void;
    run.record(`step ${name} ${name === "publish" ? "" : toText(value)}`);
    handler(run, value);
  }
}

function toText(value: unknown): string {
  return typeof value === "object" ? JSON.stringify(value) : String(value);
}

function makeCall(run: ScenarioRun, step: NonNullable<Step["call"]>): void {
  const { gateway, key: keyName, operation, ...rest } = step;
  const key = keyName === undefined ? undefined : run.keys.get(keyName);
  run.callsMade += 1;
  run.world.call(gateway, {
    ...rest,
    operation: operation ?? rest.id.split("~")[0]!,
    ...(key !== undefined && { key }),
  }, (outcome) => {
    run.outcomes.push(outcome);
    const { execution, reason, responseCallId, retryAfterMs } = outcome;
    const parts = [`caller of ${rest.id} hears ${execution} ${reason}`];
    if (responseCallId !== undefined) parts.push(`answer of ${responseCallId}`);
    if (retryAfterMs !== undefined) {
      parts.push(`retry after ${retryAfterMs} ms`);
    }
    run.record(parts.join(", "));
  });
}

function summarise(run: ScenarioRun): string[] {
  const { world, outcomes, callsMade } = run;
  const lines = ["# counters"];
  for (const { host } of world.getHosts()) {
    const node = world.getNode(host);
    const sets = {
      gateway: node.gateway.gateway.counters,
      guard: node.guard.guard.counters,
      control: node.gossip.counters,
    };
    for (const [role, counters] of Object.entries(sets)) {
      counters.forEachCounter((name, value) =>
        lines.push(`${host} ${role} ${name} ${value}`)
      );
    }
    const revisions = node.config.getRevisions();
    for (const { key, revision } of revisions) {
      lines.push(`${host} config ${key}@${revision}`);
    }
  }
  const { violations } = checkRun({
    executions: world.executions,
    outcomes,
    callsMade,
    drainGraceMs: DRAIN_GRACE_MS,
  });
  lines.push("# verdict of the journal");
  if (violations.length === 0) lines.push("no promise broken");
  for (const v of violations) lines.push(`BROKEN ${v.guarantee}: ${v.detail}`);
  return lines;
}
