/**
 * Demo: starts the stand-ins and daemons of Karaca as separate processes, sends
 * reads, an order with a retry and a photograph, and stops them gracefully.
 */

import { Buffer } from "node:buffer";
import process from "node:process";
import { request } from "undici";
import { Header } from "../link/wire.ts";
import { type DemoFleet, startFleet } from "./fleet.ts";

const READS = 20;
const PHOTO_BYTES = 3_000_000;

const exitCode = await main();
process.exit(exitCode);

async function main(): Promise<number> {
  const fleet = await startFleet({
    fleetFile: "examples/fleets/karaca.yaml",
    documents: [
      "examples/templates/studio.yaml",
      "examples/accounts/karaca.yaml",
    ],
    basePort: 17_000,
  });
  print(`${fleet.hosts.length} daemons and upstreams are ready`);
  const isServed = await sendRequests(fleet);
  print("stopping every process with SIGTERM");
  const codes = await fleet.stop();
  const isGraceful = codes.every((code) => code === 0);
  print(isGraceful ? "all processes stopped" : `exit codes ${codes.join(" ")}`);
  return isServed && isGraceful ? 0 : 1;
}

async function sendRequests(fleet: DemoFleet): Promise<boolean> {
  const callers = fleet.hosts.map(({ settings }) => settings.listen.callers);
  let reads = 0;
  for (let index = 0; index < READS; index++) {
    const address = callers[index % callers.length]!;
    const res = await call(address, "GET", { path: `/boards/${index}` });
    if (res.status === 200) reads += 1;
  }
  print(`${reads} of ${READS} reads of boards succeeded`);
  const order = await call(callers[0]!, "POST", {
    path: "/orders",
    body: Buffer.from('{"swatch":"velvet"}'),
  });
  print(
    `the sample order returned ${order.status} (${order.execution}), key ${order.key}`,
  );
  const retry = await call(callers[7]!, "POST", {
    path: "/orders",
    body: Buffer.from('{"swatch":"velvet"}'),
    key: order.key,
  });
  print(
    `retried with its key at another daemon: ${retry.status}, replayed: ${retry.replayed}`,
  );
  const photo = await call(callers[3]!, "POST", {
    path: "/photos",
    body: Buffer.alloc(PHOTO_BYTES, 7),
  });
  print(
    `the photograph of ${PHOTO_BYTES} bytes returned ${photo.status}: ${photo.text}`,
  );
  return reads === READS && order.status === 200 && retry.status === 200 &&
    retry.replayed === "true" && photo.status === 200;
}

interface CallResult {
  readonly status: number;
  readonly execution: string;
  readonly key: string;
  readonly replayed: string;
  readonly text: string;
}

async function call(
  address: string,
  method: "GET" | "POST",
  options: { path: string; body?: Buffer; key?: string },
): Promise<CallResult> {
  const res = await request(`http://${address}${options.path}`, {
    method,
    headers: {
      [Header.Account]: "karaca",
      ...(options.key !== undefined && { [Header.Key]: options.key }),
    },
    body: options.body ?? null,
  });
  const text = (await res.body.text()).slice(0, 80);
  const read = (name: string) => String(res.headers[name] ?? "");
  return {
    status: res.statusCode,
    execution: read(Header.Execution),
    key: read(Header.Key),
    replayed: read(Header.Replayed),
    text,
  };
}

function print(line: string): void {
  process.stdout.write(`demo: ${line}\n`);
}
