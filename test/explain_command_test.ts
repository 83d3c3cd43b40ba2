/** Explanations as operators get them: of a store daemon, as text and JSON, with exit codes. */

import { createServer, type RequestListener } from "node:http";
import type { AddressInfo } from "node:net";
import { PassThrough } from "node:stream";
import { expect, test } from "vitest";
import { platformCallers } from "../platform/callers.ts";
import { type ExplainArguments, runExplain } from "../src/cli/run_explain.ts";
import type { DiagnosticName } from "../src/core/diagnostics.ts";
import { createMemoryBudget } from "../src/core/memory_budget.ts";
import { withPreview } from "../src/core/preview_random.ts";
import { createRouteTable } from "../src/core/route_table.ts";
import type { PrefixRoute } from "../src/core/routing_types.ts";
import {
  type Candidate,
  GatewayActionKind,
  GatewayMessageKind,
  Repeatability,
} from "../src/core/types.ts";
import {
  computeRetryAfter,
  createIngressArrival,
} from "../src/daemon/ingress_admission.ts";
import {
  type ExplainQuery,
  readExplainQuery,
} from "../src/daemon/request_explanation.ts";
import {
  createStoreOperatorHandler,
  explainIngress,
  type StoreOperatorOptions,
} from "../src/daemon/store_operator_server.ts";
import { createTestGateway } from "../src/lab/test_gateway.ts";
import { createTestHost } from "./support/core_host.ts";

const ROUTE: PrefixRoute = {
  name: "reads",
  hostname: "shop",
  prefix: "/read/",
  repeatability: Repeatability.Idempotent,
  timeoutMs: 1_000,
  objectiveMs: 400,
  priority: 1,
  maxRuns: 2,
  parts: [{ service: "shop", weight: 3 }, { service: "orders", weight: 1 }],
};
const ROUTES = createRouteTable({
  version: 7,
  routes: [ROUTE],
  unreadable: [{ hostname: "shop", prefix: "/read/old/" }],
  problems: [],
  services: new Set(),
  healthPaths: new Map(),
  limits: {
    maxHeaderBytes: 16_384,
    maxBodyBytes: 1_000,
    headerTimeoutMs: 1_000,
    idleTimeoutMs: 1_000,
  },
});
const QUERY: ExplainQuery = {
  hostname: "shop",
  method: "GET",
  path: "/read/1?a=b",
  bodyBytes: 0,
};

test.each<[DiagnosticName, Partial<ExplainQuery>, object, number]>([
  ["unknown_route", { path: "/other/" }, {}, 404],
  ["unknown_route", { hostname: "other" }, {}, 404],
  ["route_unreadable", { path: "/read/old/1" }, {}, 503],
  ["body_too_large", { bodyBytes: 1_001 }, {}, 413],
  ["not_ready", {}, { getRoutes: () => undefined }, 503],
  ["stopping", {}, { getRefusalReason: () => "stopping" }, 503],
])(
  "a request that is refused before a host is chosen: %s, %o",
  (reason, query, change, status) => {
    const explanation = explainIngress(
      { ...QUERY, ...query },
      { ...createDaemon([]).options, ...change },
    );
    expect(explanation).toMatchObject({
      outcome: "refused",
      refusal: { reason, status, execution: "not-run" },
      attempts: [],
    });
    expect(explanation.refusal).not.toHaveProperty("retryAfterMs");
  },
);

test("service, target and time to retry are those of the next request", () => {
  // Guards against draws in another order than that of the request.
  const outcomes = new Set<string>();
  for (const hosts of [[], ["h0", "h1", "h2"]]) {
    const { host, gateway, options } = createDaemon(hosts);
    for (let i = 0; i < 40; i++) {
      const query = { ...QUERY, timeoutMs: 150 };
      const explanation = explainIngress(query, options);
      expect(explainIngress(query, options)).toEqual(explanation);
      const arrival = createIngressArrival(host, ROUTE, {
        id: `r${i}`,
        timeoutMs: 150,
        spentMs: 0,
        replayable: true,
        bodyBytes: 0,
      });
      expect(explanation.service).toBe(arrival.service);
      const kind = GatewayMessageKind.Arrived;
      const [action] = gateway.handle({ kind, arrival });
      if (action?.kind === GatewayActionKind.Finish) {
        const sent = { arrival, tookMs: 0 };
        expect(explanation.refusal?.retryAfterMs)
          .toBe(computeRetryAfter(host, action.verdict, sent));
      } else if (action !== undefined && "to" in action) {
        expect(explanation.attempts[0]?.host).toBe(action.to);
      }
      outcomes.add(`${explanation.outcome} ${explanation.service}`);
    }
  }
  expect([...outcomes].sort()).toEqual([
    "refused orders",
    "refused shop",
    "sent orders",
    "sent shop",
  ]);
});

test("an explanation names the time left, the objective and whether the body is kept", () => {
  const { options } = createDaemon(["h0"]);
  const explain = (query: Partial<ExplainQuery>) =>
    explainIngress({ ...QUERY, ...query }, options);
  expect(explain({ timeoutMs: 5_000 })).toMatchObject({
    host: "h0",
    versions: { configuration: 7 },
    route: "reads",
    parts: ROUTE.parts,
    repeatability: "idempotent",
    timeoutMs: 1_000,
    objectiveMs: 400,
    isBodyKept: true,
  });
  expect(explain({ timeoutMs: 80 }).timeoutMs).toBe(80);
  expect(explain({ bodyBytes: 500 }).isBodyKept).toBe(true);
  options.memory.tryAcquire(600);
  expect(explain({ bodyBytes: 500 }).isBodyKept).toBe(false);
  expect(options.memory.getUsed()).toBe(600);
});

test.each([
  [{}, "path"],
  [{ path: "read" }, "path"],
  [{ path: "/", method: "get" }, "method"],
  [{ path: "/", bodyBytes: "-1" }, "bodyBytes"],
  [{ path: "/", bodyBytes: "1e9" }, "bodyBytes"],
  [{ path: "/", timeoutMs: "0" }, "timeoutMs"],
])("invalid parameters are named: %o", (params, field) => {
  expect(readExplainQuery(params)).toMatch(new RegExp(`^${field} `));
});

test("the command tells by its exit code whether the request would be sent", async () => {
  const target = { hostname: "shop", path: "/read/1" };
  const sent = createDaemon(["h0"]);
  const text = await explainAt(createHandler(sent.options), target);
  expect(text.code).toBe(0);
  expect(text.out).toContain("h0 would send GET /read/1 to h0");
  expect(text.out).toContain("configuration in force: configuration 7");
  const json = await explainAt(
    createHandler(sent.options),
    { ...target, json: true },
  );
  expect(json.code).toBe(0);
  expect(JSON.parse(json.out)).toMatchObject({
    outcome: "sent",
    attempts: [{ host: "h0", mayQueue: false }, { host: "h0", mayQueue: true }],
    candidates: [{ host: "h0", reportAgeMs: null, freeSlots: null }],
  });
  const refused = createDaemon([]);
  const other = await explainAt(createHandler(refused.options), target);
  expect(other.code).toBe(1);
  expect(other.out).toMatch(
    /would refuse GET \/read\/1: no_upstream \(503, not-run\).*retry after \d+ ms/,
  );
});

test("the command ends with 2 if there is no explanation", async () => {
  const handler = createHandler(createDaemon(["h0"]).options);
  const withoutHostname = await explainAt(handler, { path: "/read/1" });
  expect(withoutHostname).toMatchObject({ code: 2, out: "" });
  expect(withoutHostname.err).toContain("hostname is required");
  const invalid = await explainAt(handler, { path: "read" });
  expect(invalid).toMatchObject({ code: 2, out: "" });
  // A store daemon of the previous version has its metrics at every path.
  const metrics = await explainAt(
    (_, res) => res.end("# HELP vanillarock_ready\n"),
    { path: "/read/1" },
  );
  expect(metrics).toMatchObject({ code: 2, out: "" });
  const previous = await explainAt(
    (_, res) => res.end(JSON.stringify({ reason: "unknown_route" })),
    { path: "/read/1" },
  );
  expect(previous).toMatchObject({ code: 2, out: "" });
  const unreachable = await runCommand("127.0.0.1:1", { path: "/read/1" });
  expect(unreachable).toMatchObject({ code: 2, out: "" });
});

test("every other path of the store daemon's listener keeps its metrics", async () => {
  const handler = createHandler(createDaemon(["h0"]).options);
  const { address, close } = await listen(handler);
  for (const path of ["/metrics", "/", "//", "/explained", "/metrics?a=b"]) {
    const res = await fetch(`http://${address}${path}`);
    expect(await res.text()).toBe("the metrics");
  }
  await close();
});

function createHandler(options: StoreOperatorOptions): RequestListener {
  return createStoreOperatorHandler(options);
}

/** The parts of a store daemon that explanations use. */
function createDaemon(hosts: readonly string[]) {
  const host = withPreview(createTestHost());
  const candidates: Candidate[] = hosts.map((id) => ({
    host: id,
    failureDomain: "east",
  }));
  const gateway = createTestGateway(host, { getCandidates: () => candidates });
  const options: StoreOperatorOptions = {
    host,
    self: "h0",
    gateway,
    dialect: platformCallers,
    memory: createMemoryBudget({ limitBytes: 1_000 }),
    getRoutes: () => ROUTES,
    getRefusalReason: () => undefined,
    formatMetrics: () => "the metrics",
  };
  return { host, gateway, options };
}

type Arguments = Omit<ExplainArguments, "operators">;

async function explainAt(handler: RequestListener, args: Arguments) {
  const { address, close } = await listen(handler);
  const result = await runCommand(address, args);
  await close();
  return result;
}

async function runCommand(operators: string, args: Arguments) {
  const stdout = new PassThrough();
  const stderr = new PassThrough();
  const code = await runExplain({ operators, ...args }, { stdout, stderr });
  const read = (stream: PassThrough) => String(stream.read() ?? "");
  return { code, out: read(stdout), err: read(stderr) };
}

async function listen(handler: RequestListener) {
  const server = createServer(handler);
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  return {
    address: `127.0.0.1:${port}`,
    async close(): Promise<void> {
      server.closeAllConnections();
      await new Promise((resolve) => server.close(resolve));
    },
  };
}
