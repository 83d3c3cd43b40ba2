/**
 * Store daemons as processes, beside entries of another writer that are nested
 * too deeply or have values out of range. Guards against a daemon that ends, or
 * stops following the store, because of one entry.
 */

import { afterAll, beforeAll, expect, test } from "vitest";
import {
  type Deployment,
  type DeploymentHost,
  startDeployment,
} from "./platform/mesh.ts";

/** Time until a change is in force, in ms: `configS` of the settings. */
const IN_FORCE_MS = 2_000;
const POLL_MS = 20;
/** Time until a daemon has read a change, in ms; a later write of the same key would supersede it. */
const READ_MS = 600;
/** Beyond the depth at which JSON.stringify overflows the default stack. */
const DEPTH = 100_000;

let fleet: Deployment;
let version = 1;

beforeAll(async () => {
  fleet = await startDeployment(97, ["shop", "shop", "shop"]);
});
afterAll(() => fleet.close());

const nested = "[".repeat(DEPTH) + "]".repeat(DEPTH);
const nestedObject = '{"a":'.repeat(DEPTH) + "1" + "}".repeat(DEPTH);

/** An upstream's entry whose fields are replaced by JSON texts. */
function createUpstreamText(change: Record<string, string>): string {
  const {
    address = '"127.0.97.200:18301"',
    slots = "10",
    seq = "1",
    coldLeftS = "0",
    service = '"shop"',
    more = "1",
  } = change;
  return `{"address":${address},"more":${more},` +
    `"info":{"service":${service},"version":"v1","zone":"east","slots":${slots}},` +
    `"status":{"state":"ready","seq":${seq},"coldLeftS":${coldLeftS}}}`;
}

const largeNumbers = ["1e13", "1e308", "1e400", "-1", "-1e400"];

test.each([
  ...[nested, nestedObject].flatMap((value) =>
    ["address", "slots", "seq", "coldLeftS", "service", "more"]
      .map((field) => ({ field, value }))
  ),
  ...largeNumbers.flatMap((value) =>
    ["slots", "seq", "coldLeftS"].map((field) => ({ field, value }))
  ),
  ...["0", "-5", "99999", "1e4", ""].map((port) => ({
    field: "address",
    value: `"127.0.97.1:${port}"`,
  })),
].map(({ field, value }) => ({ field, value, shown: value.slice(0, 24) })))(
  "an upstream's entry with an odd $field, $shown, changes nothing",
  async ({ field, value }) => {
    const key = "servers/i-odd";
    fleet.store.putText(key, createUpstreamText({ [field]: value }));
    await expectServiceAndNextVersion();
    fleet.store.remove(key);
  },
);

test.each(["servers/", "servers/i odd", "servers/i-\u00e9\u2603"])(
  "an entry under the odd key %s changes nothing",
  async (key) => {
    fleet.store.putText(key, createUpstreamText({}));
    await expectServiceAndNextVersion();
    fleet.store.remove(key);
  },
);

test.each(
  ["version", "routes", "row", "cell", "services", "limits", "columns"].flatMap(
    (part) =>
      [nested, nestedObject].map((value) => ({
        part,
        value,
        shown: value.slice(0, 5),
      })),
  ),
)(
  "a configuration whose $part is nested deeply, $shown, changes nothing",
  async ({ part, value }) => {
    fleet.store.putText("op/config", createConfigText(part, value));
    await expectServiceAndNextVersion();
  },
);

test("an evacuation whose value is nested deeply is followed like any other", async () => {
  fleet.store.putText("op/evacuate/nowhere", nested);
  await expectServiceAndNextVersion();
  fleet.store.remove("op/evacuate/nowhere");
});

test("a configuration that is no JSON changes nothing", async () => {
  fleet.store.putText("op/config", "[".repeat(DEPTH));
  await expectServiceAndNextVersion();
});

/** A configuration of the next version whose given part is replaced by a JSON text. */
function createConfigText(part: string, value: string): string {
  const pick = (name: string, usual: string) => part === name ? value : usual;
  version += 1;
  const digits = JSON.stringify(version.toString(16).padStart(8, "0"));
  const cell = pick("cell", '"reads"');
  const row = pick(
    "row",
    `[${cell},"shop","/read/","safe",2,1,2,3,"shop",null]`,
  );
  const columns = pick(
    "columns",
    '["name","host","prefix","kind","timeoutS","sloS","priority","attempts","service","split"]',
  );
  const routes = pick("routes", `{"columns":${columns},"rows":[${row}]}`);
  const services = pick(
    "services",
    '{"columns":["name","healthCheck"],"rows":[["shop","/healthz"]]}',
  );
  const limits = pick("limits", "{}");
  return `{"version":${pick("version", digits)},"routes":${routes},` +
    `"services":${services},"limits":${limits}}`;
}

/** The daemons that run serve their callers, and follow the next sound change within its bound. */
async function expectServiceAndNextVersion(): Promise<void> {
  const processes = fleet.hosts.map(({ process }) => process);
  await new Promise((resolve) => setTimeout(resolve, READ_MS));
  version += 1;
  fleet.publish(version, { added: `/added-${version}/` });
  await Promise.all(fleet.hosts.map(waitForVersion));
  const responses = await Promise.all(
    fleet.hosts.map((host, i) =>
      fleet.call(host, {
        id: `v${version}-${i}`,
        path: `/added-${version}/1`,
      })
    ),
  );
  expect(responses.map((r) => r.status)).toEqual([200, 200, 200]);
  expect(processes.map((p) => p.exitCode)).toEqual([null, null, null]);
}

async function waitForVersion({ lines }: DeploymentHost): Promise<void> {
  const endsAt = performance.now() + IN_FORCE_MS;
  const isInForce = () =>
    lines.some((l) =>
      l.includes("event=config_in_force ") && l.includes(` version=${version} `)
    );
  while (!isInForce()) {
    expect(performance.now(), lines.slice(-5).join("\n")).toBeLessThan(endsAt);
    await new Promise((resolve) => setTimeout(resolve, POLL_MS));
  }
}
