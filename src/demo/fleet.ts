/** Starts a small fleet as separate processes and stops it again. */

import { type ChildProcess, spawn } from "node:child_process";
import { mkdtemp, readFile, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { fileURLToPath } from "node:url";
import { request } from "undici";
import { stringify } from "yaml";
import { decodeYaml, formatProblem } from "../settings/decode.ts";
import {
  createFleetHosts,
  type FleetHost,
  fleetSchema,
} from "../settings/fleet_settings.ts";

const CLI = fileURLToPath(new URL("../cli/main.js", import.meta.url));
const READY_TIMEOUT_MS = 30_000;
const READY_POLL_MS = 100;

/** Settings of a fleet. */
export interface DemoFleetOptions {
  readonly fleetFile: string;
  /** Templates and accounts to publish. */
  readonly documents: readonly string[];
  readonly basePort: number;
  readonly overrides?: Record<string, unknown>;
  /** Path of the built CLI; by default the one of the same build. */
  readonly cli?: string;
}

/** A running fleet. */
export interface DemoFleet {
  readonly hosts: readonly FleetHost[];
  readonly platformAddress: string;
  /** Sends a signal to one daemon or upstream. */
  signal(host: string, role: FleetRole, signal: NodeJS.Signals): void;
  /** Starts a daemon or upstream again after it has exited. */
  restart(host: string, role: FleetRole): Promise<void>;
  /** Output of a daemon since the fleet was started. */
  getLog(host: string): string;
  /** Process id of a daemon, or 0 if it was not started. */
  getPid(host: string): number;
  /** Stops all with SIGTERM, daemons first; resolves to the exit codes. */
  stop(): Promise<(number | null)[]>;
}

/** Role of a process in a fleet. */
export enum FleetRole {
  Daemon = "daemon",
  Upstream = "upstream",
}

interface FleetProcess {
  child: ChildProcess;
  args: readonly string[];
  log: string;
}

/** Starts platform, upstreams and daemons; resolves once daemons are ready. */
export async function startFleet(
  options: DemoFleetOptions,
): Promise<DemoFleet> {
  const { basePort, fleetFile } = options;
  const hosts = createFleetHosts(await readFleet(fleetFile), options);
  const platformAddress = `127.0.0.1:${basePort}`;
  const folder = await mkdtemp(join(tmpdir(), "vanillarock-"));
  const members = new Map<string, FleetProcess>();
  launch("platform", [
    "platform",
    "--address",
    platformAddress,
    "--fleet",
    fleetFile,
    ...options.documents,
  ]);
  for (const host of hosts) launchUpstream(host);
  await waitFor(platformAddress, "/control/calls");
  for (const host of hosts) await launchDaemon(host);
  await Promise.all(hosts.map(waitForReady));
  return {
    hosts,
    platformAddress,
    signal,
    restart,
    getLog: (host) => members.get(`daemon ${host}`)?.log ?? "",
    getPid: (host) => members.get(`daemon ${host}`)?.child.pid ?? 0,
    stop,
  };

  function launch(name: string, args: readonly string[]): void {
    const child = spawn(process.execPath, [options.cli ?? CLI, ...args], {
      stdio: ["ignore", "pipe", "pipe"],
    });
    const member: FleetProcess = {
      child,
      args,
      log: members.get(name)?.log ?? "",
    };
    child.stdout?.on("data", (chunk) => member.log += chunk);
    child.stderr?.on("data", (chunk) => member.log += chunk);
    members.set(name, member);
  }

  function launchUpstream({ settings, serviceMs }: FleetHost): void {
    launch(`upstream ${settings.host}`, [
      "upstream",
      "--address",
      settings.upstream.address,
      "--slots",
      String(settings.upstream.slots),
      "--service-ms",
      String(serviceMs),
    ]);
  }

  async function launchDaemon({ settings }: FleetHost): Promise<void> {
    const file = join(folder, `${settings.host}.yaml`);
    await writeFile(file, stringify(settings));
    launch(`daemon ${settings.host}`, ["run", "--settings", file]);
  }

  function waitForReady({ settings }: FleetHost): Promise<void> {
    return waitFor(settings.listen.operators, "/ready");
  }

  function signal(
    host: string,
    role: FleetRole,
    name: NodeJS.Signals,
  ): void {
    members.get(`${role} ${host}`)?.child.kill(name);
  }

  async function restart(host: string, role: FleetRole): Promise<void> {
    const name = `${role} ${host}`;
    launch(name, members.get(name)!.args);
    const found = hosts.find(({ settings }) => settings.host === host)!;
    if (role === FleetRole.Daemon) return await waitForReady(found);
    await waitFor(found.settings.upstream.address, "/control/journal");
  }

  async function stop(): Promise<(number | null)[]> {
    const isDaemon = (name: string) => name.startsWith(FleetRole.Daemon);
    const entries = [...members];
    const daemons = entries.filter(([name]) => isDaemon(name));
    const others = entries.filter(([name]) => !isDaemon(name));
    const codes = await Promise.all(daemons.map(([, m]) => terminate(m.child)));
    codes.push(...await Promise.all(others.map(([, m]) => terminate(m.child))));
    await rm(folder, { recursive: true });
    return codes;
  }
}

async function readFleet(file: string) {
  const text = await readFile(file, "utf8");
  const decoded = decodeYaml(text, { file, schema: fleetSchema });
  if (decoded.err) throw new Error(decoded.val.map(formatProblem).join("\n"));
  return decoded.val;
}

function terminate(child: ChildProcess): Promise<number | null> {
  if (child.exitCode !== null || child.signalCode !== null) {
    return Promise.resolve(child.exitCode);
  }
  return new Promise((resolve) => {
    child.once("exit", (code) => resolve(code));
    child.kill("SIGTERM");
  });
}

/** Resolves once GET of a path responds 200; throws after READY_TIMEOUT_MS. */
async function waitFor(address: string, path: string): Promise<void> {
  const until = Date.now() + READY_TIMEOUT_MS;
  while (Date.now() < until) {
    try {
      const res = await request(`http://${address}${path}`);
      await res.body.dump();
      if (res.statusCode === 200) return;
    } catch {
      // Not listening yet.
    }
    await new Promise((resolve) => setTimeout(resolve, READY_POLL_MS));
  }
  throw new Error(`${address}${path} did not respond 200 in time`);
}
