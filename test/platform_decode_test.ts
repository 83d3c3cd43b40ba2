/**
 * Formats of the platform: settings, store entries, headers of callers and
 * upstreams.
 */

import fc from "fast-check";
import { expect, test } from "vitest";
import { decodeArguments } from "../platform/arguments.ts";
import { platformCallers } from "../platform/callers.ts";
import { decodeSettings } from "../platform/settings.ts";
import { decodeRouting, decodeUpstream } from "../platform/store_entries.ts";
import { createPlatformUpstreams } from "../platform/upstreams.ts";
import { Diagnostics } from "../src/core/diagnostics.ts";
import { ListedUpstreamState } from "../src/core/routing_types.ts";
import {
  Execution,
  type LoadReport,
  Repeatability,
  type RequestHead,
} from "../src/core/types.ts";
import {
  decodeHead,
  decodeNotice,
  encodeHead,
  encodeNotice,
} from "../src/link/wire.ts";
import { EventEmitter } from "node:events";
import { ROUTE_COLUMNS } from "./platform/mesh.ts";
import { ResponseClass } from "../src/upstream/upstream_protocol.ts";

const platformUpstreams = createPlatformUpstreams();

const SETTINGS = `
self: { ip: 10.1.0.8, zone: kadikoy, app: "10.1.0.8:8301", service: shop, node: n1 }
network:
  listen: { inbound: "10.1.0.8:8300", outbound: "10.1.0.8:8304", ready: "10.1.0.8:8302" }
  seeds: []
platform: { heartbeatS: 1.5, platform: { address: "10.200.1.7:8309", form: read } }
terms:
  bounds: { stableS: 3, drainS: 2.5, configS: 2, graceS: 6, retryBudgetRatio: 0.2, budgetWindowS: 10, budgetSlack: 64, new: 1 }
`;

test.each([
  [{}, { isLeaving: false, isComplete: true }],
  [{ "server-limit": "12.6" }, {
    isLeaving: false,
    isComplete: true,
    limitPerS: 12.6,
  }],
  [{ "server-limit": "0", "server-leaving": "1" }, {
    isLeaving: true,
    isComplete: true,
    limitPerS: 0,
  }],
  [{ "x-vanillarock-server-limit": "3" }, {
    isLeaving: false,
    isComplete: true,
    limitPerS: 3,
  }],
  [{ "server-limit": "many" }, { isLeaving: false, isComplete: false }],
  [{ "server-limit": "-2" }, { isLeaving: false, isComplete: false }],
])("what a response states about its upstream: %o", (headers, expected) => {
  expect(platformUpstreams.readNotice(headers)).toEqual(expected);
});

/** Ways to write a number. */
const NOTATIONS: ((value: number) => string)[] = [
  String,
  (value) => value.toExponential(),
  (value) => value.toExponential().toUpperCase(),
  (value) => value.toFixed(20),
  (value) => value.toPrecision(30),
  (value) => `+${value}`,
  (value) => `000${value.toFixed(20)}000`,
];

test("a decimal number has its value however it is written, also between daemons", () => {
  const values = fc.oneof(
    fc.double({ min: 1e-6, max: 999_999_999, noNaN: true }),
    fc.integer({ min: 0, max: 100_000 }),
  );
  fc.assert(fc.property(
    values,
    fc.constantFrom(...NOTATIONS),
    (value, write) => {
      const text = write(value);
      const { limitPerS } = platformUpstreams.readNotice({
        "server-limit": text,
      });
      expect(limitPerS).toBeCloseTo(value, 10);
      const cold = { "x-vanillarock-cold-ms": text };
      expect(platformUpstreams.readColdMs(cold)).toBe(limitPerS);
      const load = { "x-vanillarock-server-load": `0,0,1,${text}` };
      expect(platformUpstreams.readLoad(load)!.slowdown * 100)
        .toBeCloseTo(limitPerS!, 5);
      const caller = { "x-vanillarock-timeout-ms": text };
      expect(platformCallers.read(caller).timeoutMs ?? 0).toBe(limitPerS);
      const notice = { instance: "i", isLeaving: false, limitPerS: limitPerS! };
      expect(decodeNotice(encodeNotice({ ...REPORT, notice })!).unwrap().notice)
        .toEqual(notice);
      const head = { ...HEAD, limitPerS: limitPerS! };
      expect(decodeHead(encodeHead(head)).unwrap()).toEqual(head);
    },
  ));
});

test.each([
  ["5.", 5],
  [".5", 0.5],
  ["0.000000000000000000000000000000000001", 0],
  ["5e-324", 0],
  ["1e400", 999_999_999],
  ["9".repeat(5_000), 999_999_999],
  [`0.${"0".repeat(5_000)}1`, 0],
  ["-0.0", -0],
])("the decimal number %s is read", (text, limitPerS) => {
  expect(platformUpstreams.readNotice({ "server-limit": text })).toEqual({
    isLeaving: false,
    isComplete: true,
    limitPerS: limitPerS === 0 ? expect.closeTo(0) : limitPerS,
  });
});

test.each([
  "",
  "many",
  "-2",
  "1;5",
  "1 5",
  "0x10",
  "NaN",
  "Infinity",
  "1e",
  "e5",
  ".",
])(
  "%j is no decimal number: it changes nothing, and is reported",
  (text) => {
    const found: string[] = [];
    const upstreams = createPlatformUpstreams((header, value) =>
      found.push(`${header} ${value}`)
    );
    expect(upstreams.readNotice({ "server-limit": text })).toEqual({
      isLeaving: false,
      isComplete: false,
    });
    expect(upstreams.readColdMs({ "x-vanillarock-cold-ms": text }))
      .toBeUndefined();
    const load = `0,0,${text}`;
    expect(upstreams.readLoad({ "x-vanillarock-server-load": load }))
      .toBeUndefined();
    expect(found).toEqual([
      `server-limit ${text}`,
      `x-vanillarock-cold-ms ${text}`,
      `x-vanillarock-server-load ${load}`,
    ]);
    expect(platformCallers.read({ "x-vanillarock-timeout-ms": text }))
      .toEqual({});
  },
);

const REPORT: LoadReport = {
  host: "a",
  incarnation: "a#1",
  sequence: 1,
  slots: 4,
  inFlight: 0,
  queued: 0,
  serviceMs: 10,
  draining: false,
  ageMs: 1,
};
const HEAD: RequestHead = {
  account: "all",
  service: "shop",
  repeatability: Repeatability.Idempotent,
  fingerprint: "",
  timeoutMs: 1,
};

test("values that are nested deeply are shown in part", () => {
  const nested = "[".repeat(100_000) + "]".repeat(100_000);
  const { problems } = decodeRouting(`{"version":${nested},"routes":{}}`)
    .unwrapOr({ problems: [] });
  expect(decodeRouting(`{"version":${nested}}`).err).toBe(true);
  expect(problems.length).toBeLessThan(3);
});

test("settings are decoded, and fields that are not known are ignored", () => {
  const settings = decodeSettings(SETTINGS, "local.yaml").unwrap();
  expect(settings).toMatchObject({
    host: "10.1.0.8",
    failureDomain: "kadikoy",
    upstreamAddress: "10.1.0.8:8301",
    storeAddress: "10.200.1.7:8309",
    bounds: { drainMs: 2_500, inForceMs: 2_000, retrySlack: 64 },
  });
});

test.each([
  ["limits: { memoryMb: 400 }", 400],
  ["limits: { memoryMb: 400, other: 1 }", 400],
  ["limits: { memoryMb: many }", undefined],
  ["limits: { memoryMb: -1 }", undefined],
  ["limits: none", undefined],
  ["other: 1", undefined],
])("memory in the settings with %s", (limits, expected) => {
  const text = SETTINGS.replace("node: n1", `node: n1, ${limits}`);
  const settings = decodeSettings(text, "local.yaml").unwrap();
  expect(settings.memoryMb).toBe(expected);
});

test("each mistake in the settings names its field", () => {
  const text = SETTINGS.replace("10.1.0.8:8301", "nowhere")
    .replace("service: shop", "service: []")
    .replace("graceS: 6", "graceS: soon");
  const decoded = decodeSettings(text, "local.yaml");
  const paths = decoded.err ? decoded.val.map((p) => p.path) : [];
  expect(paths).toEqual(["self.app", "self.service"]);
});

test("a setting that the daemon can do without has its default and is reported", () => {
  const text = SETTINGS.replace("graceS: 6", "graceS: soon")
    .replace("budgetSlack: 64, ", "");
  const { bounds, degraded } = decodeSettings(text, "local.yaml").unwrap();
  expect(bounds).toMatchObject({
    graceMs: 6_000,
    retrySlack: 0,
    drainMs: 2500,
  });
  expect(degraded).toEqual([
    { row: "settings", field: "terms.bounds.graceS", found: '"soon"' },
    { row: "settings", field: "terms.bounds.budgetSlack", found: "nothing" },
  ]);
  const whole = SETTINGS.slice(0, SETTINGS.indexOf("terms:"));
  for (const terms of ["", "terms: 7", "terms: { bounds: [] }"]) {
    const none = decodeSettings(whole + terms, "local.yaml").unwrap();
    expect(none.degraded).toHaveLength(6);
    expect(none.bounds.inForceMs).toBe(2_000);
  }
});

test("addresses that no socket can have are invalid in settings and entries", () => {
  for (const bad of ["910.1.0.8:80", "10.1.0.8:99999", "10.1.0.8:", "a:b:c"]) {
    const entry = JSON.stringify({ ...ENTRY, address: bad });
    expect(decodeUpstream("i-1", entry).err).toBe(true);
    const settings = SETTINGS.replace("10.1.0.8:8301", bad);
    expect(decodeSettings(settings, "local.yaml").err).toBe(true);
  }
});

const ENTRY = {
  address: "10.1.0.8:80",
  born: 1_700_000_000_000,
  info: { service: "shop", version: "v1", zone: "kadikoy", slots: 12 },
  status: { state: "ready", seq: 4, coldLeftS: 0 },
};

test("an entry with missing, mistyped or unknown parts names no upstream", () => {
  const good = decodeUpstream("i-1", JSON.stringify(ENTRY)).unwrap();
  expect(good).toMatchObject({
    instance: "i-1",
    slots: 12,
    state: ListedUpstreamState.Ready,
    bornAt: ENTRY.born,
  });
  const bad = [
    "",
    "{",
    "7",
    "null",
    JSON.stringify({ ...ENTRY, address: 7 }),
    JSON.stringify({ ...ENTRY, address: "host:80" }),
    JSON.stringify({ ...ENTRY, info: undefined }),
    JSON.stringify({ ...ENTRY, born: "yesterday" }),
    JSON.stringify({ ...ENTRY, info: { ...ENTRY.info, slots: 0 } }),
    JSON.stringify({ ...ENTRY, info: { ...ENTRY.info, version: undefined } }),
    JSON.stringify({ ...ENTRY, info: { ...ENTRY.info, version: 1 } }),
    JSON.stringify({ ...ENTRY, status: { ...ENTRY.status, state: "odd" } }),
    JSON.stringify({ ...ENTRY, status: { state: "ready", coldLeftS: 0 } }),
  ];
  for (const text of bad) expect(decodeUpstream("i-1", text).err).toBe(true);
});

const CONFIG = {
  version: "0000000c",
  routes: {
    columns: ROUTE_COLUMNS,
    rows: [
      ["a", "shop", "/a/", "safe", 0.8, 0.3, 2, 2, "one", null],
      ["b", "shop", "/b/", "upload", 1, 0.4, 1, 2, null, [
        { service: "one", weight: 90 },
        { service: "two", weight: 10 },
      ]],
    ],
  },
  services: {
    columns: ["name", "healthCheck"],
    rows: [["one", "/healthz"], ["two", "/ok"]],
  },
  limits: {
    maxHeaderBytes: 16_384,
    maxBodyBytes: 1_000,
    headerTimeoutS: 3,
    idleTimeoutS: 15,
  },
};

test("a configuration is decoded", () => {
  const { version, routes, services, problems } = decodeRouting(
    JSON.stringify(CONFIG),
  ).unwrap();
  expect(version).toBe(12);
  expect(problems).toEqual([]);
  expect(services).toEqual([
    { name: "one", healthPath: "/healthz", isReadable: true },
    { name: "two", healthPath: "/ok", isReadable: true },
  ]);
  expect(routes?.[0]).toMatchObject({
    isReadable: true,
    fields: {
      timeoutMs: 800,
      objectiveMs: 300,
      maxRuns: 2,
      repeatability: Repeatability.Idempotent,
      parts: [{ service: "one", weight: 1 }],
    },
  });
  expect(routes?.[1]?.fields).toMatchObject({
    repeatability: Repeatability.AtMostOnce,
    parts: [{ weight: 90 }, { weight: 10 }],
  });
});

test("only a request that provably has not run is reported as not run", () => {
  const status = (
    execution: Execution,
    name: keyof typeof Diagnostics,
  ) =>
    platformCallers.createVerdictHead({
      execution,
      diagnostic: Diagnostics[name],
      retryAfterMs: 150,
    }, "id-1");
  const { NotRun, MayHaveRun, Ran } = Execution;
  expect(status(NotRun, "deadline_too_short")).toMatchObject({
    status: 503,
    headers: { "retry-after": "0.15", "x-vanillarock-attempt-id": "id-1" },
  });
  expect(status(NotRun, "deadline_passed").status).toBe(503);
  expect(status(MayHaveRun, "deadline_passed").status).toBe(504);
  expect(status(MayHaveRun, "upstream_lost").status).toBe(502);
  expect(status(Ran, "answer_mismatch").status).toBe(502);
  expect(status(MayHaveRun, "upstream_lost").headers["retry-after"])
    .toBeUndefined();
  expect(status(NotRun, "unknown_route").status).toBe(404);
});

test("an answer counts as the upstream's own only with its signature and id", () => {
  const forward = {
    method: "GET",
    path: "/",
    headers: { "x-vanillarock-attempt-id": "id-1" },
    body: null,
    signal: new EventEmitter(),
  };
  const classify = (status: number, headers: Record<string, string>) =>
    platformUpstreams.classify(forward, { status, headers });
  const own = {
    "x-vanillarock-attempt-id": "id-1",
    "x-vanillarock-response-signature": "s",
  };
  expect(classify(200, own)).toBe(ResponseClass.Valid);
  expect(classify(500, own)).toBe(ResponseClass.Valid);
  expect(classify(200, { ...own, "x-vanillarock-attempt-id": "id-2" }))
    .toBe(ResponseClass.Mismatched);
  expect(classify(200, { "x-vanillarock-attempt-id": "id-1" }))
    .toBe(ResponseClass.Malformed);
  expect(classify(200, { ...own, "content-encoding": "gzip" }))
    .toBe(ResponseClass.Malformed);
  const echo = { "x-vanillarock-attempt-id": "id-1" };
  const refusal = { "x-vanillarock-not-executed": "1" };
  expect(classify(421, echo)).toBe(ResponseClass.WrongInstance);
  expect(classify(503, { ...echo, ...refusal }))
    .toBe(ResponseClass.NotExecuted);
  // Without its id a refusal may be that of an earlier request.
  expect(classify(421, {})).toBe(ResponseClass.Mismatched);
  expect(classify(503, refusal)).toBe(ResponseClass.Mismatched);
  expect(classify(503, {})).toBe(ResponseClass.Malformed);
});

test("an upstream's load is read with and without its fourth figure", () => {
  const read = (text: string) =>
    platformUpstreams.readLoad({ "x-vanillarock-server-load": text });
  expect(read("3,1,8")).toEqual({
    running: 3,
    waiting: 1,
    slots: 8,
    slowdown: 1,
  });
  expect(read("3,1,8,500")).toMatchObject({ slowdown: 5 });
  for (const text of ["", "3,1", "3,1,0", "a,b,c", "3,1,8,"]) {
    expect(read(text)).toBeUndefined();
  }
});

test.each([
  { args: [], share: 0 },
  { args: ["--extra-work", "0"], share: 0 },
  { args: ["--extra-work", "0.05"], share: 0.05 },
  { args: ["--extra-work=0.1"], share: 0.1 },
])("the command line states the share of extra work: %o", ({ args, share }) => {
  expect(decodeArguments(args).unwrap()).toEqual({ extraWorkShare: share });
});

test.each([
  ["--extra-work", "0.11"],
  ["--extra-work=-0.1"],
  ["--extra-work", "-0.1"],
  ["--extra-work", "1%"],
  ["--extra-work", ""],
  ["--extra-work", "NaN"],
  ["--extra-work", "0x0"],
  ["--extra-work"],
  ["--extra-works", "0.1"],
  ["0.1"],
])(
  "a command line that states no valid share is reported: %s %s",
  (...args) => {
    const decoded = decodeArguments(args.filter((it) => it !== undefined));
    expect(decoded.err).toBe(true);
  },
);
