/**
 * Daemons as processes, one beside an upstream that sends bytes without end: what
 * the callers of other services get meanwhile.
 */

import { request as httpRequest } from "node:http";
import { afterAll, beforeAll, expect, test } from "vitest";
import {
  CALLER_PORT,
  type Deployment,
  type DeploymentHost,
  PLATFORM_NODE_ARGS,
  startDeployment,
} from "./platform/mesh.ts";
import { createEndlessAnswers } from "./support/endless_answers.ts";
import { callBeside, countStatuses } from "./support/endless_load.ts";
import { startEndlessServer } from "./support/endless_server.ts";

/** Memory beyond which the platform kills a daemon, in bytes. */
const MEMORY_LIMIT_BYTES = 250_000_000;
const ENDLESS_MS = 2_000;
/** Requests to the faulty upstream at a time. */
const FAULTY = 12;
/** Share of the processor time of the daemon beside the upstream. */
const MAX_LOAD = 0.5;

let fleet: Deployment;
let broken: DeploymentHost;

beforeAll(async () => {
  fleet = await startDeployment(211, ["shop", "shop", "broken"], {
    nodeArgs: PLATFORM_NODE_ARGS,
  });
  broken = fleet.hosts[2]!;
  fleet.publish(2, {
    rows: [["b", "shop", "/broken/", "safe", 2, 1, 2, 3, "broken", null]],
  });
  await fleet.waitInForce();
  await broken.upstream.close();
});
afterAll(() => fleet.close());

/** What became of a request whose answer has no end: its status, and whether it was cut. */
function callBroken(id: string): Promise<string> {
  return new Promise((resolve) => {
    const req = httpRequest({
      host: fleet.hosts[0]!.ip,
      port: CALLER_PORT,
      path: "/broken/1",
      headers: {
        host: "shop",
        "x-vanillarock-attempt-id": id,
        "x-vanillarock-timeout-ms": "2000",
      },
      agent: false,
    }, (res) => {
      const status = res.statusCode!;
      res.on("error", () => resolve(`${status} cut`));
      res.on("end", () => resolve(String(status)));
      res.resume();
    });
    req.on("error", () => resolve("closed"));
    req.end();
  });
}

const ANSWERS = {
  "nothing": undefined,
  ...createEndlessAnswers(
    "GET /broken/",
    "200 OK\r\nx-vanillarock-attempt-id: {id}\r\n" +
      "x-vanillarock-response-signature: s\r\n",
  ),
  ...Object.fromEntries(
    Object.entries(createEndlessAnswers("GET /healthz", "200 OK\r\n"))
      .map(([name, answer]) => [`${name} to health checks`, answer]),
  ),
};

test.each(Object.keys(ANSWERS))(
  "an upstream that sends %s without end: bounded memory, and other callers are served",
  async (name) => {
    const answer = ANSWERS[name as keyof typeof ANSWERS];
    const [ip, port] = broken.upstream.address.split(":") as [string, string];
    const server = await startEndlessServer({
      ip,
      port: Number(port),
      instance: broken.upstream.instance,
      answers: answer === undefined ? [] : [answer],
    });
    let isOver = false;
    const ends: string[] = [];
    const faulty = Promise.all(Array.from({ length: FAULTY }, async (_, i) => {
      for (let n = 0; !isOver; n++) {
        ends.push(await callBroken(`faulty-${i}-${n}`));
        await new Promise((resolve) => setTimeout(resolve, 20));
      }
    }));
    try {
      const outcomes = await callBeside(fleet, `upstream, ${name}`, ENDLESS_MS);
      isOver = true;
      await faulty;
      console.log(`upstream, ${name}: faulty ${countStatuses(ends)}`);
      for (const { process } of fleet.hosts) {
        expect(process.exitCode).toBeNull();
      }
      // An answer after its deadline (2 s) would not be a 200.
      for (const { statuses, most } of outcomes) {
        expect(most).toBeLessThan(MEMORY_LIMIT_BYTES);
        expect(statuses.filter((status) => status !== 200)).toEqual([]);
      }
      if (name === "chunks of one byte") {
        expect(outcomes[2]!.load).toBeLessThan(MAX_LOAD);
      }
    } finally {
      isOver = true;
      await server.close();
    }
  },
  30_000,
);
