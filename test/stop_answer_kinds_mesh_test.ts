/**
 * Stops of store daemons as processes, by the kind of answer and by who else
 * stops. Guards against requests that were passed on and lose their answers.
 */

import { afterEach, expect, test } from "vitest";
import { type Deployment, startDeployment } from "./platform/mesh.ts";
import { UpstreamMode } from "./platform/upstream_stand_in.ts";
import { GRACE_MS, stopUnderLoad } from "./support/stop_callers.ts";

const BASE = 224;
const BEFORE_MS = 2_000;
const TIMEOUT_MS = 12_000;
const WORK_MS = 40;
/** One request in so many is slow. */
const SLOW_EVERY = 30;
/** Time between the stops of two hosts, in ms. */
const STOPS_APART_MS = 200;

let fleet: Deployment | undefined;
afterEach(async () => {
  await fleet?.close();
  fleet = undefined;
});

test.each([
  {
    kind: "answers without a length, 3 behind each other",
    services: ["front", "shop", "shop"],
    mode: UpstreamMode.Unframed,
    callers: 10,
    depth: 3,
    slowMs: 2_600,
    bodyBytes: 100,
    stopsToo: [],
  },
  {
    kind: "answers of 0.9 MB without a length, 3 behind each other",
    services: ["front", "shop", "shop"],
    mode: UpstreamMode.Unframed,
    callers: 4,
    depth: 3,
    slowMs: 2_600,
    bodyBytes: 900_000,
    stopsToo: [],
  },
  {
    kind: "answers of 100 KB behind one that outlasts the stop",
    services: ["front", "shop", "shop"],
    mode: UpstreamMode.Serving,
    callers: 10,
    depth: 8,
    slowMs: 2 * GRACE_MS,
    bodyBytes: 100_000,
    stopsToo: [],
  },
  {
    kind: "answers of the only other host, which stops 0.2 s later",
    services: ["shop", "shop"],
    mode: UpstreamMode.Serving,
    callers: 10,
    depth: 2,
    slowMs: 1_500,
    bodyBytes: 100,
    stopsToo: [1],
  },
])(
  "no request loses its answer in a stop: $kind",
  async ({ services, mode, callers, depth, slowMs, bodyBytes, stopsToo }) => {
    fleet = await startDeployment(BASE, services);
    const { hosts } = fleet;
    const seconds = TIMEOUT_MS / 1_000;
    fleet.publish(2, { service: "shop", timeoutS: seconds, sloS: seconds });
    for (const { upstream } of hosts) {
      upstream.mode = mode;
      upstream.slots = 200;
      upstream.createBody = () => "a".repeat(bodyBytes);
      upstream.getWorkMs = (id) =>
        Number(id.slice(2)) % SLOW_EVERY === 0 ? slowMs : WORK_MS;
    }
    const outcome = await stopUnderLoad(fleet, hosts[0]!, {
      callers,
      depth,
      beforeMs: BEFORE_MS,
      createRequest: (count) => ({ id: `a-${count}`, timeoutMs: TIMEOUT_MS }),
      during: () => {
        for (const index of stopsToo) {
          const { process } = hosts[index]!;
          setTimeout(() => process.kill("SIGTERM"), STOPS_APART_MS);
        }
      },
    });
    expect(outcome).toMatchObject({ lost: [], exitCode: 0 });
    const ran = hosts.flatMap(({ upstream }) => upstream.ran).length;
    expect(ran).toBeGreaterThan(callers * depth);
  },
  40_000,
);
