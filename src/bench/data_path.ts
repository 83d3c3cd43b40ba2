/**
 * Compares two transports for the hop between daemons: HTTP/1.1 over keep-alive
 * connections and one gRPC stream per call, for small responses and 10 MB
 * uploads, in one run.
 * node dist/bench/data_path.js
 */

import { Buffer } from "node:buffer";
import { createServer, type Server as HttpServer } from "node:http";
import { performance } from "node:perf_hooks";
import process from "node:process";
import { Readable, type Writable } from "node:stream";
import {
  Client,
  credentials,
  Metadata,
  Server,
  ServerCredentials,
  type ServerDuplexStream,
} from "@grpc/grpc-js";
import { build } from "hdr-histogram-js";
import { Pool } from "undici";

const HTTP_PORT = 24_001;
const GRPC_PORT = 24_002;
const PATH = "/bench.Hop/Call";
const RESPONSE = Buffer.alloc(200, 120);
const UPLOAD_BYTES = 10_000_000;
const CHUNK = Buffer.alloc(65_536, 120);
const CALLS_PER_SECOND = [200, 1_000, 2_000];
const DURATION_S = 3;
const UPLOADS = 20;
const CPU_CALLS = 4_000;
const MICROS_PER_MS = 1_000;

/** One transport for the hop between two daemons. */
interface Hop {
  readonly name: string;
  /** Sends a call; resolves once the whole response has been received. */
  call(body: Readable | undefined): Promise<void>;
  close(): void;
}

await main();

async function main(): Promise<void> {
  const hops = [await createHttpHop(), await createGrpcHop()];
  for (const hop of hops) {
    await measureCalls(hop, { perSecond: 500, print: false });
  }
  for (const perSecond of CALLS_PER_SECOND) {
    for (const hop of hops) await measureCalls(hop, { perSecond, print: true });
  }
  for (const hop of hops) await measureUploads(hop);
  for (const hop of hops) hop.close();
  process.exit(0);
}

async function createHttpHop(): Promise<Hop> {
  const server = createServer((req, res) => {
    req.on("data", () => {});
    req.on("end", () => {
      res.writeHead(200, {
        "content-length": RESPONSE.length,
        "x-ticket": "t",
      });
      res.end(RESPONSE);
    });
  });
  await listen(server);
  const pool = new Pool(`http://127.0.0.1:${HTTP_PORT}`, {
    connections: 64,
    pipelining: 1,
  });
  return {
    name: "http",
    async call(body) {
      const res = await pool.request({
        method: "POST",
        path: "/",
        headers: { "x-ticket": "t", "x-head": "h".repeat(120) },
        body: body ?? null,
      });
      await res.body.dump();
    },
    close: () => void server.close(),
  };
}

function listen(server: HttpServer): Promise<void> {
  return new Promise((resolve) =>
    server.listen(HTTP_PORT, "127.0.0.1", resolve)
  );
}

async function createGrpcHop(): Promise<Hop> {
  const identity = (bytes: Buffer) => bytes;
  const server = new Server();
  server.addService({
    call: {
      path: PATH,
      requestStream: true,
      responseStream: true,
      requestSerialize: identity,
      requestDeserialize: identity,
      responseSerialize: identity,
      responseDeserialize: identity,
    },
  }, {
    call: (stream: ServerDuplexStream<Buffer, Buffer>) => {
      stream.on("data", () => {});
      stream.on("end", () => {
        stream.write(RESPONSE);
        stream.end();
      });
    },
  });
  await new Promise<void>((resolve, reject) =>
    server.bindAsync(
      `127.0.0.1:${GRPC_PORT}`,
      ServerCredentials.createInsecure(),
      (error) => error ? reject(error) : resolve(),
    )
  );
  const client = new Client(
    `127.0.0.1:${GRPC_PORT}`,
    credentials.createInsecure(),
  );
  const metadata = new Metadata();
  metadata.set("x-ticket", "t");
  metadata.set("x-head", "h".repeat(120));
  return {
    name: "grpc",
    call: (body) =>
      new Promise((resolve, reject) => {
        const stream = client.makeBidiStreamRequest(
          PATH,
          identity,
          identity,
          metadata,
        );
        stream.on("data", () => {});
        stream.on("error", reject);
        stream.on("end", () => resolve());
        if (body === undefined) stream.end();
        else body.pipe(stream as unknown as Writable);
      }),
    close: () => server.forceShutdown(),
  };
}

async function measureCalls(
  hop: Hop,
  options: { perSecond: number; print: boolean },
): Promise<void> {
  const histogram = build({ numberOfSignificantValueDigits: 3 });
  const open: Promise<void>[] = [];
  const startedAt = performance.now();
  const total = options.perSecond * DURATION_S;
  for (let index = 0; index < total; index++) {
    const due = startedAt + 1_000 * index / options.perSecond;
    while (performance.now() < due) {
      await new Promise((resolve) => setImmediate(resolve));
    }
    open.push(
      hop.call(undefined).then(() => {
        histogram.recordValue((performance.now() - due) * MICROS_PER_MS);
      }),
    );
  }
  await Promise.all(open);
  if (!options.print) return;
  const cpuMicros = await measureCpu(hop);
  print(
    `${hop.name} ${options.perSecond}/s small: ${
      [50, 99].map((p) =>
        `p${p} ${
          (histogram.getValueAtPercentile(p) / MICROS_PER_MS).toFixed(3)
        } ms`
      ).join(", ")
    }; ${cpuMicros.toFixed(0)} µs of CPU per call in a closed loop`,
  );
}

/**
 * Returns the CPU time per call in a closed loop, in µs. The open loop
 * busy-waits between calls, so its CPU time is not that of the calls.
 */
async function measureCpu(hop: Hop): Promise<number> {
  const before = process.cpuUsage();
  for (let index = 0; index < CPU_CALLS; index++) await hop.call(undefined);
  const used = process.cpuUsage(before);
  return (used.user + used.system) / CPU_CALLS;
}

async function measureUploads(hop: Hop): Promise<void> {
  const before = process.cpuUsage();
  const startedAt = performance.now();
  let peakBytes = 0;
  for (let index = 0; index < UPLOADS; index++) {
    await hop.call(Readable.from(createChunks()));
    peakBytes = Math.max(peakBytes, process.memoryUsage().rss);
  }
  const ms = (performance.now() - startedAt) / UPLOADS;
  const used = process.cpuUsage(before);
  const cpuMs = (used.user + used.system) / UPLOADS / MICROS_PER_MS;
  print(
    `${hop.name} upload of 10 MB: ${ms.toFixed(1)} ms, ${
      cpuMs.toFixed(1)
    } ms of CPU, peak ${(peakBytes / 1e6).toFixed(0)} MB`,
  );
}

function* createChunks(): Generator<Buffer> {
  for (let sent = 0; sent < UPLOAD_BYTES; sent += CHUNK.length) yield CHUNK;
}

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}
