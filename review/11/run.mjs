/**
 * Answers without a length, which end with their connection, are passed on to
 * clients that read slowly. The clients' daemon is killed meanwhile.
 */

import { Buffer } from "node:buffer";
import { randomBytes } from "node:crypto";
import { connect } from "node:net";
import process from "node:process";
import {
  createRecord,
  ROUTE_COLUMNS,
  runCase,
  sleep,
  startDeployment,
} from "../support-3/deployment.mjs";

const HAS_TROUBLE = process.env.TROUBLE !== "0";
/**
 * A loopback connection takes some megabytes at once, on other networks a
 * hundred kilobytes. Each client has some answers of this size, with a length,
 * before the last one, so that some daemon's socket is full within a last one.
 */
const STEP_BYTES = 240_000;
const LAST_BYTES = 540_000;
/** Answers before the last one: from the first of these numbers on, three clients each. */
const FIRST_COUNT = 9;
const CLIENTS = 27;
/** Servers that leave out the length of such answers: half of them. */
const UNFRAMED_SERVERS = [1, 3];
/** The largest share of their answers that has no length. */
const UNFRAMED_SHARE = 0.05;
/** Small reads before, from which the servers have most of their answers. */
const READS = 800;
const READ_GAP_MS = 2;
/** Time between the starts of two clients, in ms: the backends shall have room. */
const START_GAP_MS = 40;
/** Time after which the daemon is killed, and the clients begin to read, in ms. */
const KILL_AFTER_MS = 1_500;
const READ_AFTER_MS = 2_700;

const record = createRecord("review/11/record.txt");

await runCase(async () => {
  /** Answers of each server, and those without a length. */
  const counts = new Map();
  const deployment = await startDeployment({
    record,
    hosts: ["kadikoy", "besiktas", "uskudar", "kadikoy", "besiktas"].map(
      (zone, i) => ({ zone, service: i === 0 ? "boards" : "archive" }),
    ),
    createConfig,
    serverOptions: (host) => ({
      workMs: 5,
      createAnswer: (request) => createAnswer(host, request),
      onRun: ({ id, path, instance }) =>
        record.write(`backend ${instance} runs ${id}: GET ${path}`),
    }),
  });
  const [host] = deployment.hosts;
  const clients = [];
  await sendReads();
  for (let i = 0; i < CLIENTS; i++) {
    clients.push(startClient(FIRST_COUNT + Math.floor(i / 3)));
    await sleep(START_GAP_MS);
  }
  await sleep(KILL_AFTER_MS);
  if (HAS_TROUBLE) {
    record.write(`the daemon ${host.name} is killed`);
    await deployment.stopDaemon(host, "SIGKILL");
  }
  const results = await Promise.all(clients);
  await deployment.close();
  const broken = results.filter((it) => it.isBroken).length;
  const whole = results.filter((it) => it.isWhole).length;
  record.write(`clients with the whole answer without a length: ${whole}`);
  record.write(`clients with a part of it that looks complete: ${broken}`);
  for (const [server, { all, unframed }] of counts) {
    record.write(`${server}: ${unframed} of ${all} answers without a length`);
    if (unframed > all * UNFRAMED_SHARE) throw new Error("too many of them");
  }
  if (whole === 0) throw new Error("no client got a whole answer");
  const held = broken === 0;
  record.write(held ? "the rule held" : "the rule was broken");
  return held;

  /** At the other machines, whose daemons aren't killed. */
  async function sendReads() {
    const others = deployment.hosts.slice(1);
    for (let i = 0; i < READS; i++) {
      const request = { path: "/archive/small", id: createId() };
      void deployment.call({
        ip: others[i % others.length].ip,
        path: request.path,
        headers: {
          host: "archive.example",
          "X-Vanillarock-Attempt-Id": request.id,
          "X-Vanillarock-Timeout-Ms": "4000",
        },
      }).then(({ status, error }) =>
        record.write(`read ${request.id} was answered: ${status ?? error}`)
      );
      await sleep(READ_GAP_MS);
    }
  }

  function createAnswer({ index, server }, { path }) {
    const isLast = path === "/archive/last";
    const counted = counts.get(server.instance) ?? { all: 0, unframed: 0 };
    counts.set(server.instance, counted);
    counted.all += 1;
    const isUnframed = isLast && UNFRAMED_SERVERS.includes(index) &&
      counted.unframed + 1 <= counted.all * UNFRAMED_SHARE;
    if (isUnframed) counted.unframed += 1;
    const size = isLast
      ? LAST_BYTES
      : path === "/archive/small"
      ? 1_000
      : STEP_BYTES;
    return { body: "a".repeat(size), isUnframed };
  }

  /** Sends safe requests behind one another, the last one for the answer without a length. */
  function startClient(count) {
    const paths = Array.from({ length: count }, () => "/archive/step");
    const ids = [...paths, "/archive/last"].map((path) => ({
      path,
      id: createId(),
    }));
    const text = ids.map(createRequest).join("");
    record.write(
      `client ${count} sends ${ids.map(({ id }) => id).join(" ")}, ` +
        "the last one for a large answer",
    );
    const chunks = [];
    return new Promise((resolve) => {
      const socket = connect(deployment.ports.outbound, host.ip);
      socket.pause();
      socket.on("connect", () => {
        socket.write(text);
        setTimeout(() => socket.resume(), READ_AFTER_MS);
      });
      socket.on("data", (chunk) => {
        chunks.push(chunk);
        // The last answer may be a refusal, which has a length.
        const isLast = countAnswers(chunks) > count;
        if (isLast) finish("answered with a length");
      });
      socket.on("error", (error) => finish(error.code ?? "error"));
      socket.on("end", () => finish("end"));

      function finish(how) {
        socket.destroy();
        resolve(judge(count, how, Buffer.concat(chunks).toString("latin1")));
      }
    });
  }

  /** Reads the answers as a client does: by their lengths, the last one up to the end of the connection. */
  function judge(count, how, text) {
    const { head, body, isUnframed } = readAnswers(text);
    if (!isUnframed) {
      record.write(`client ${count}: ${how}; no answer without a length`);
      return { isBroken: false, isWhole: false };
    }
    const isSuccess = head.startsWith("HTTP/1.1 200 ");
    const isWhole = body.length === LAST_BYTES;
    record.write(
      `client ${count}: ${head.split("\r\n")[0]} without a length, ` +
        `${body.length} of ${LAST_BYTES} bytes, then ${how}`,
    );
    return {
      isBroken: isSuccess && !isWhole && how === "end",
      isWhole: isWhole && how === "end",
    };
  }
});

/** Number of whole answers that state their length. */
function countAnswers(chunks) {
  return readAnswers(Buffer.concat(chunks).toString("latin1")).count;
}

/** Passes over whole answers with a length, up to one that isn't whole or has none. */
function readAnswers(text) {
  let rest = text;
  for (let count = 0;; count++) {
    const headEnd = rest.indexOf("\r\n\r\n");
    if (headEnd < 0) return { count, isUnframed: false };
    const head = rest.slice(0, headEnd);
    const body = rest.slice(headEnd + 4);
    const length = /^content-length: (\d+)$/im.exec(head)?.[1];
    const isChunked = /^transfer-encoding: chunked$/im.test(head);
    const isUnframed = length === undefined && !isChunked;
    const isWhole = length !== undefined && body.length >= Number(length);
    if (!isWhole) return { count, head, body, isUnframed };
    rest = body.slice(Number(length));
  }
}

function createRequest({ path, id }) {
  return `GET ${path} HTTP/1.1\r\nHost: archive.example\r\n` +
    `X-Vanillarock-Attempt-Id: ${id}\r\n` +
    "X-Vanillarock-Timeout-Ms: 4000\r\n\r\n";
}

function createId() {
  return randomBytes(8).toString("hex");
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
          4,
          1,
          2,
          2,
          "archive",
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
