/**
 * Reads go on as usual, and three times the open connections between daemons go
 * silent. New ones work.
 */

import { randomBytes } from "node:crypto";
import { request } from "node:http";
import process from "node:process";
import {
  createRecord,
  ROUTE_COLUMNS,
  runCase,
  sleep,
  startDeployment,
} from "../support-3/deployment.mjs";

const HAS_TROUBLE = process.env.TROUBLE !== "0";
/** The largest answer of the small sites. */
const ANSWER_BYTES = 30_000;
/** Bandwidth of each machine's link, in Mbit/s. */
const LINK_MBPS = 8.4;
/** Machines of each of the two services. */
const MACHINES = 5;
/** Time between two reads, in ms; the links are used to a half or so. */
const READ_GAP_MS = 9;
const RUN_MS = 18_000;
const SILENCES_AT_MS = [3_000, 10_000, 17_000];
/** The route's `timeoutS`, and what its clients state, in ms. */
const TIMEOUT_MS = 4_000;
const CLIENT_TIMEOUT_MS = 30_000;
/** Time after the route's for which the rule waits, in ms. */
const LATE_MS = 500;
/** `stableS` of the settings, in ms. */
const STABLE_MS = 3_000;
const LEAVES_AFTER_MS = 10_000;
/** What the rule allows: fewer, or no more than a quarter of those that last longer. */
const MIN_UNANSWERED = 8;
const MAX_SHARE = 1 / 4;

const record = createRecord("review/12/record.txt");

await runCase(async () => {
  const deployment = await startDeployment({
    record,
    relayMbps: LINK_MBPS,
    hosts: Array.from({ length: 2 * MACHINES }, (_, i) => ({
      zone: ["kadikoy", "besiktas", "uskudar"][i % 3],
      service: i < MACHINES ? "boards" : "archive",
    })),
    createConfig,
    serverOptions: () => ({
      workMs: 50,
      onRun: ({ id, instance }) =>
        record.write(`backend ${instance} runs download ${id}`),
      createAnswer: () => ({ body: "a".repeat(ANSWER_BYTES) }),
    }),
  });
  const { hosts, ports } = deployment;
  const callers = hosts.slice(0, MACHINES);
  const downloads = [];
  /** Times of the silences, in ms. */
  const silencedAt = [];
  const beganAt = performance.now();
  const plan = HAS_TROUBLE ? SILENCES_AT_MS : [];
  const silences = plan.map(async (at) => {
    await sleep(at);
    record.write("the open connections between the daemons go silent");
    silencedAt.push(performance.now());
    for (const { relay } of hosts) relay.silence();
  });
  for (let i = 0; performance.now() < beganAt + RUN_MS; i++) {
    downloads.push(download(callers[i % callers.length]));
    await sleep(READ_GAP_MS);
  }
  await Promise.all(silences);
  const results = await Promise.all(downloads);
  await deployment.close();
  return judge(results);

  /** Resolves to when the answer ended, whole or not, in ms; undefined if it didn't. */
  function download({ ip }) {
    const id = randomBytes(8).toString("hex");
    const startedAt = performance.now();
    record.write(`download ${id} sent`);
    return new Promise((resolve) => {
      let status;
      let bytes = 0;
      let isOver = false;
      const req = request({
        host: ip,
        port: ports.outbound,
        path: "/archive/export",
        headers: {
          host: "archive.example",
          "X-Vanillarock-Attempt-Id": id,
          "X-Vanillarock-Timeout-Ms": String(CLIENT_TIMEOUT_MS),
        },
      });
      const timer = setTimeout(() => finish("no end"), LEAVES_AFTER_MS);
      req.once("response", (res) => {
        status = res.statusCode;
        res.on("data", (chunk) => bytes += chunk.length);
        res.on("error", () => finish("cut"));
        res.once("end", () => finish("whole"));
      });
      req.on("error", () => finish("cut"));
      req.end();

      function finish(how) {
        if (isOver) return;
        isOver = true;
        clearTimeout(timer);
        req.destroy();
        const tookMs = Math.round(performance.now() - startedAt);
        const it = { status, bytes, how, tookMs };
        record.write(`download ${id}: ${describe(it)}`);
        resolve({ ...it, startedAt });
      }
    });
  }

  function judge(results) {
    const longer = results.filter((it) => !hasEnded(it, TIMEOUT_MS));
    const late = longer.filter((it) =>
      !hasEnded(it, TIMEOUT_MS + LATE_MS) && isInTouch(it)
    );
    const never = late.filter(({ how }) => how === "no end");
    const whole = results.filter(({ how }) => how === "whole");
    record.write(`reads: ${results.length}, answered whole: ${whole.length}`);
    record.write(`reads that lasted longer than timeoutS: ${longer.length}`);
    record.write(
      `without an end ${LATE_MS} ms after it: ${late.length}; ` +
        `in ${LEAVES_AFTER_MS / 1_000} s: ${never.length}`,
    );
    const held = late.length < MIN_UNANSWERED ||
      late.length <= longer.length * MAX_SHARE;
    record.write(held ? "the rule held" : "the rule was broken");
    return held;
  }

  function hasEnded({ how, tookMs }, ms) {
    return how !== "no end" && tookMs <= ms;
  }

  /** True if the last silence was `stableS` or longer before the answer was due. */
  function isInTouch({ startedAt }) {
    const dueAt = startedAt + TIMEOUT_MS + LATE_MS;
    return silencedAt.every((at) => at > dueAt || dueAt - at >= STABLE_MS);
  }
});

function describe({ status, bytes, how, tookMs }) {
  return `status ${status}, ${bytes} of ${ANSWER_BYTES} bytes, ${how} ` +
    `after ${tookMs} ms`;
}

function createConfig(version) {
  return {
    version: version.toString(16).padStart(8, "0"),
    routes: {
      columns: ROUTE_COLUMNS,
      rows: [
        [
          "r-archive",
          "archive.example",
          "/archive/",
          "safe",
          TIMEOUT_MS / 1_000,
          1,
          2,
          2,
          "archive",
          null,
        ],
        [
          "r-boards",
          "boards.example",
          "/boards/",
          "safe",
          0.8,
          0.3,
          2,
          2,
          "boards",
          null,
        ],
      ],
    },
    services: {
      columns: ["name", "healthCheck", "maxConns"],
      rows: [["archive", "/healthz", 260], ["boards", "/healthz", 260]],
    },
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 67_108_864,
      headerTimeoutS: 3,
      idleTimeoutS: 15,
    },
  };
}
