/** A few daemons of the platform's deployment in processes of their own. */

import { type ChildProcess, spawn } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { Agent, request } from "undici";
import { type Relay, startRelay } from "../support/relay.ts";
import { startStore, type StoreStandIn } from "./store_stand_in.ts";
import { startUpstream, type UpstreamStandIn } from "./upstream_stand_in.ts";

/** Where daemons take callers; ports of every daemon, as hosts differ by their loopback address. */
export const CALLER_PORT = 18_304;
const PEER_PORT = 18_300;
const READY_PORT = 18_302;
const UPSTREAM_PORT = 18_301;
const STORE_PORT = 18_306;
const READY_TRIES = 200;
const READY_POLL_MS = 25;

/** Columns of the platform's table of routes. */
export const ROUTE_COLUMNS = [
  "name",
  "host",
  "prefix",
  "kind",
  "timeoutS",
  "sloS",
  "priority",
  "attempts",
  "service",
  "split",
];

/** Relays in front of what a daemon and its peers use. */
export interface MeshLinks {
  /** Messages of other daemons to this one. */
  readonly peers: Relay;
  /** The store as this daemon reaches it. */
  readonly store: Relay;
}

/** One host: its daemon and its upstream. */
export interface MeshHost {
  readonly ip: string;
  /** Where relays were asked for. */
  readonly links?: MeshLinks;
  readonly zone: string;
  readonly service: string;
  readonly upstream: UpstreamStandIn;
  process: ChildProcess;
  /** Lines of the daemon's log. */
  readonly lines: string[];
}

/** What a caller saw. */
export interface Seen {
  readonly status: number;
  readonly headers: Record<string, string | string[] | undefined>;
  readonly text: string;
}

/** What a caller sends. */
export interface Call {
  readonly path?: string;
  readonly method?: "GET" | "POST";
  readonly id: string;
  readonly timeoutMs?: number;
  readonly body?: string | Buffer;
  readonly headers?: Record<string, string>;
  /** The caller gives up where it aborts. */
  readonly signal?: AbortSignal;
}

/** A running deployment. */
export interface Mesh {
  readonly store: StoreStandIn;
  readonly hosts: MeshHost[];
  publish(version: number, change?: Partial<RouteOptions>): void;
  list(host: MeshHost, change?: Record<string, unknown>): void;
  call(host: MeshHost, what: Call): Promise<Seen>;
  /** Closes all callers' connections, open requests included. */
  dropCallers(): void;
  /** Status of the readiness check; 0 where nothing answers. */
  isReady(host: MeshHost): Promise<number>;
  startDaemon(host: MeshHost): void;
  waitReady(host: MeshHost): Promise<void>;
  close(): Promise<void>;
}

/** What the routes of a test say. */
export interface RouteOptions {
  readonly service: string;
  readonly timeoutS: number;
  readonly sloS: number;
  readonly attempts: number;
  /** Prefix of one more route for reads. */
  readonly added: string;
}

/** Starts daemons, one for each given service. `base` keeps tests apart. */
export async function startMesh(
  base: number,
  services: readonly string[],
  options: { hasRelays?: boolean } = {},
): Promise<Mesh> {
  const store = await startStore();
  const folder = mkdtempSync(join(tmpdir(), "mesh-"));
  let agent = new Agent({ connections: 32 });
  const hosts: MeshHost[] = [];
  const mesh: Mesh = {
    store,
    hosts,
    publish,
    list,
    call,
    dropCallers,
    isReady,
    startDaemon,
    waitReady,
    close,
  };
  for (const [index, service] of services.entries()) {
    const ip = `127.0.${base}.${index + 1}`;
    const upstream = await startUpstream(`i-${base}-${index}`, {
      ip,
      port: UPSTREAM_PORT,
    });
    const zone = index % 2 === 0 ? "east" : "west";
    const host = {
      ip,
      zone,
      service,
      upstream,
      lines: [] as string[],
      ...(options.hasRelays && { links: await startLinks(ip) }),
    };
    hosts.push(host as unknown as MeshHost);
    list(hosts[index]!);
  }
  publish(1);
  for (const host of hosts) startDaemon(host);
  await Promise.all(hosts.map(waitReady));
  return mesh;

  async function startLinks(ip: string): Promise<MeshLinks> {
    const [storeIp, storePort] = store.address.split(":") as [string, string];
    return {
      peers: await startRelay(
        { ip, port: PEER_PORT },
        { ip: getListenIp(ip), port: PEER_PORT },
      ),
      store: await startRelay(
        { ip, port: STORE_PORT },
        { ip: storeIp, port: Number(storePort) },
      ),
    };
  }

  function publish(version: number, change: Partial<RouteOptions> = {}): void {
    const { service = services[0]!, timeoutS = 2, sloS = 1, attempts = 3 } =
      change;
    const { added = "/added/" } = change;
    store.put("op/config", {
      version: version.toString(16).padStart(8, "0"),
      routes: {
        columns: ROUTE_COLUMNS,
        rows: [
          [
            "reads",
            "shop",
            "/read/",
            "safe",
            timeoutS,
            sloS,
            2,
            attempts,
            service,
            null,
          ],
          [
            "added",
            "shop",
            added,
            "safe",
            timeoutS,
            sloS,
            2,
            attempts,
            service,
            null,
          ],
          [
            "orders",
            "shop",
            "/order/",
            "unsafe",
            timeoutS,
            sloS,
            1,
            attempts,
            service,
            null,
          ],
          [
            "photos",
            "shop",
            "/photo/",
            "upload",
            timeoutS,
            sloS,
            1,
            attempts,
            service,
            null,
          ],
        ],
      },
      services: {
        columns: ["name", "healthCheck"],
        rows: [...new Set(services)].map((s) => [s, "/healthz"]),
      },
      limits: {
        maxHeaderBytes: 32_768,
        maxBodyBytes: 1_000_000,
        headerTimeoutS: 3,
        idleTimeoutS: 15,
      },
    });
  }

  function list(host: MeshHost, change: Record<string, unknown> = {}): void {
    store.put(`servers/${host.upstream.instance}`, {
      address: host.upstream.address,
      info: {
        service: host.service,
        version: "v1",
        zone: host.zone,
        slots: host.upstream.slots,
      },
      status: { state: "ready", seq: 1, coldLeftS: 0, ...change },
    });
  }

  function startDaemon(host: MeshHost): void {
    const file = join(folder, `${host.ip}.yaml`);
    const address = host.links ? `${host.ip}:${STORE_PORT}` : store.address;
    writeFileSync(file, JSON.stringify(createSettings(host, address)));
    const child = spawn(process.execPath, ["target/vanillarock.cjs"], {
      env: { ...process.env, VANILLAROCK_SETTINGS: file },
      stdio: ["ignore", "pipe", "pipe"],
    });
    const take = (data: Buffer) =>
      void host.lines.push(...data.toString().split("\n"));
    child.stdout!.on("data", take);
    child.stderr!.on("data", take);
    host.process = child;
  }

  async function waitReady(host: MeshHost): Promise<void> {
    for (let i = 0; i < READY_TRIES; i++) {
      if (await isReady(host) === 200) return;
      await new Promise((resolve) => setTimeout(resolve, READY_POLL_MS));
    }
    throw new Error(`${host.ip} is not ready:\n${host.lines.join("\n")}`);
  }

  async function isReady(host: MeshHost): Promise<number> {
    try {
      const res = await request(`http://${host.ip}:${READY_PORT}/-/ready`);
      await res.body.dump();
      return res.statusCode;
    } catch {
      return 0;
    }
  }

  async function call(host: MeshHost, what: Call): Promise<Seen> {
    const res = await request(
      `http://${host.ip}:${CALLER_PORT}${what.path ?? "/read/1"}`,
      {
        dispatcher: agent,
        method: what.method ?? "GET",
        headers: {
          host: "shop",
          "x-vanillarock-attempt-id": what.id,
          "x-vanillarock-timeout-ms": String(what.timeoutMs ?? 2_000),
          ...what.headers,
        },
        body: what.body ?? null,
        ...(what.signal && { signal: what.signal }),
      },
    );
    const text = await res.body.text();
    return { status: res.statusCode, headers: res.headers, text };
  }

  function dropCallers(): void {
    const old = agent;
    agent = new Agent({ connections: 32 });
    void old.destroy();
  }

  async function close(): Promise<void> {
    await Promise.all(hosts.map(async (host) => {
      const child = host.process;
      if (child.exitCode === null && child.signalCode === null) {
        const ended = new Promise((resolve) => child.once("exit", resolve));
        child.kill("SIGKILL");
        await ended;
      }
      await host.upstream.close();
      await host.links?.peers.close();
      await host.links?.store.close();
    }));
    await agent.destroy();
    await store.close();
    rmSync(folder, { recursive: true });
  }
}

/** A daemon behind a relay listens for its peers at an address of its own. */
function getListenIp(ip: string): string {
  return ip.replace("127.0.", "127.1.");
}

function createSettings(host: MeshHost, store: string): unknown {
  const peerIp = host.links ? getListenIp(host.ip) : host.ip;
  return {
    self: {
      ip: host.ip,
      zone: host.zone,
      app: host.upstream.address,
      service: host.service,
    },
    network: {
      listen: {
        inbound: `${peerIp}:${PEER_PORT}`,
        outbound: `${host.ip}:${CALLER_PORT}`,
        ready: `${host.ip}:${READY_PORT}`,
      },
    },
    platform: { platform: { address: store } },
    terms: {
      bounds: {
        stableS: 3,
        drainS: 2,
        configS: 2,
        graceS: 6,
        retryBudgetRatio: 0.2,
        budgetWindowS: 10,
        budgetSlack: 60,
      },
    },
  };
}
