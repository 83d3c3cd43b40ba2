/**
 * Large answers are on their way between daemons as the open connections between
 * them go silent. New ones work.
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
const ANSWER_BYTES = 540_000;
/** Machines with callers, and with backends; each caller asks for some answers at once. */
const CALLERS = 4;
const SERVERS = 8;
const DOWNLOADS = 16;
/** Bandwidth of each machine's link, in Mbit/s. */
const LINK_MBPS = 11.2;
const SILENT_AFTER_MS = 800;
/** The route's `timeoutS`, and what its clients state, in ms. */
const TIMEOUT_MS = 4_000;
const CLIENT_TIMEOUT_MS = 30_000;
/** Time after the route's for which the rule waits, in ms. */
const LATE_MS = 500;
/** `stableS` of the settings, in ms. */
const STABLE_MS = 3_000;
const LEAVES_AFTER_MS = 15_000;
/** What the rule allows: fewer, or no more than a quarter of those that last longer. */
const MIN_UNANSWERED = 8;
const MAX_SHARE = 1 / 4;

const record = createRecord("review/12/record.txt");

await runCase(async () => {
  const deployment = await startDeployment({
    record,
    relayMbps: LINK_MBPS,
    hosts: Array.from({ length: CALLERS + SERVERS }, (_, i) => ({
      zone: ["kadikoy", "besiktas", "uskudar"][i % 3],
      service: i < CALLERS ? "boards" : "archive",
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
  const downloads = Array.from(
    { length: DOWNLOADS },
    (_, i) => download(hosts[i % CALLERS]),
  );
  await sleep(SILENT_AFTER_MS);
  let silencedAt = -Infinity;
  if (HAS_TROUBLE) {
    record.write("the open connections between the daemons go silent");
    silencedAt = performance.now();
    for (const { relay } of hosts) relay.silence();
    await sleep(1_000);
    record.write(`a new download: ${describe(await download(hosts[0]))}`);
  }
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
    const isBy = ({ how, tookMs }, ms) => how !== "no end" && tookMs <= ms;
    // All machines are in touch again `stableS` after the silence.
    const isInTouch = ({ startedAt }) =>
      startedAt + TIMEOUT_MS + LATE_MS - silencedAt >= STABLE_MS;
    const longer = results.filter((it) => !isBy(it, TIMEOUT_MS));
    const late = longer.filter((it) =>
      !isBy(it, TIMEOUT_MS + LATE_MS) && isInTouch(it)
    );
    const never = results.filter(({ how }) => how === "no end");
    record.write(
      `downloads that lasted longer than timeoutS: ${longer.length}`,
    );
    record.write(
      `without an end ${LATE_MS} ms after it: ${late.length}; ` +
        `in ${LEAVES_AFTER_MS / 1_000} s: ${never.length}`,
    );
    const held = late.length < MIN_UNANSWERED ||
      late.length <= longer.length * MAX_SHARE;
    record.write(held ? "the rule held" : "the rule was broken");
    return held;
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
          "download",
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
