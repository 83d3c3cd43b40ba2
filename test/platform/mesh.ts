/** A deployment of the platform: store daemons in processes of their own. */

import { type ChildProcess, spawn } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { Agent, request } from "undici";
import { type Relay, startRelay } from "../support/relay.ts";
import { startStore, type StoreStandIn } from "./store_stand_in.ts";
import { startUpstream, type UpstreamStandIn } from "./upstream_stand_in.ts";

/**
 * Port for callers. All daemons use the same ports, as each host has a loopback
 * address of its own.
 */
export const CALLER_PORT = 18_304;
/** Port for messages of other daemons. */
export const PEER_PORT = 18_300;
const READY_PORT = 18_302;
const UPSTREAM_PORT = 18_301;
const METRICS_PORT = 9_464;
const STORE_PORT = 18_306;
/** Port in the addresses of seeds; nothing listens there. */
const SEED_PORT = 18_307;
const MAX_SEEDS = 3;
const MAX_READY_POLLS = 200;
const READY_POLL_MS = 25;

/** Arguments with which the platform runs a daemon (deploy/system.toml). */
export const PLATFORM_NODE_ARGS = [
  "--max-old-space-size=160",
  "--max-semi-space-size=4",
];

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

/** Relays on the network links of one host. */
export interface HostRelays {
  /** Carries messages of other daemons to this one. */
  readonly peers: Relay;
  /** Carries this daemon's requests to the store. */
  readonly store: Relay;
}

/** One host: its daemon and its upstream. */
export interface DeploymentHost {
  readonly ip: string;
  /** Present if the deployment was started with relays. */
  readonly links?: HostRelays;
  readonly zone: string;
  readonly service: string;
  readonly upstream: UpstreamStandIn;
  process: ChildProcess;
  /** Lines of the daemon's log. */
  readonly lines: string[];
}

/** The response that a caller received. */
export interface CallerResponse {
  readonly status: number;
  readonly headers: Record<string, string | string[] | undefined>;
  readonly text: string;
}

/** The request that a caller sends. */
export interface CallerRequest {
  readonly path?: string;
  readonly method?: "GET" | "POST";
  readonly id: string;
  readonly timeoutMs?: number;
  readonly body?: string | Buffer;
  readonly headers?: Record<string, string>;
  /** The caller cancels the request when this aborts. */
  readonly signal?: AbortSignal;
}

/** A running deployment. */
export interface Deployment {
  readonly store: StoreStandIn;
  readonly hosts: DeploymentHost[];
  /** Publishes a configuration. */
  publish(version: number, change?: Partial<RouteOptions>): void;
  /** Writes the store entry of a host's upstream. */
  list(
    host: DeploymentHost,
    status?: Record<string, unknown>,
    change?: Record<string, unknown>,
  ): void;
  call(host: DeploymentHost, req: CallerRequest): Promise<CallerResponse>;
  /** Closes all callers' connections, open requests included. */
  closeCallerConnections(): void;
  /** HTTP status of the readiness check; 0 without a response. */
  getReadyStatus(host: DeploymentHost): Promise<number>;
  startDaemon(host: DeploymentHost): void;
  waitUntilReady(host: DeploymentHost): Promise<void>;
  /** Waits until each daemon that runs has the newest published version in force. */
  waitInForce(): Promise<void>;
  close(): Promise<void>;
}

/** Properties of the published routes. */
export interface RouteOptions {
  readonly service: string;
  readonly timeoutS: number;
  readonly sloS: number;
  readonly attempts: number;
  /** Prefix of an additional route for reads. */
  readonly added: string;
  /** Additional rows as they are, readable or not. */
  readonly rows: readonly unknown[];
}

/**
 * Starts one daemon with its upstream for each given service, on addresses of
 * the network `127.0.<base>.0/24`, so that tests do not collide.
 */
export async function startDeployment(
  base: number,
  services: readonly string[],
  options: {
    hasRelays?: boolean;
    /** Additional bounds in the daemons' settings. */
    bounds?: Record<string, number>;
    /** Additional columns of the table of services, with the same values in all rows. */
    serviceColumns?: Record<string, unknown>;
    /** Arguments of Node.js for the daemons. */
    nodeArgs?: readonly string[];
  } = {},
): Promise<Deployment> {
  const store = await startStore();
  const folder = mkdtempSync(join(tmpdir(), "mesh-"));
  let agent = new Agent({ connections: 32 });
  const hosts: DeploymentHost[] = [];
  let newest = 0;
  const deployment: Deployment = {
    store,
    hosts,
    publish,
    list,
    call,
    closeCallerConnections,
    getReadyStatus,
    startDaemon,
    waitUntilReady,
    waitInForce,
    close,
  };
  for (const [index, service] of services.entries()) {
    const ip = `127.0.${base}.${index + 1}`;
    const upstream = await startUpstream(`i-${base}-${index}`, {
      ip,
      port: UPSTREAM_PORT,
    });
    const zone = getZone(index);
    const host = {
      ip,
      zone,
      service,
      upstream,
      lines: [] as string[],
      ...(options.hasRelays && { links: await startRelays(ip) }),
    };
    hosts.push(host as unknown as DeploymentHost);
    list(hosts[index]!);
  }
  publish(1);
  for (const host of hosts) startDaemon(host);
  try {
    await Promise.all(hosts.map(waitUntilReady));
  } catch (error) {
    // What was started would keep its addresses from the tests after it.
    await close();
    throw error;
  }
  return deployment;

  async function startRelays(ip: string): Promise<HostRelays> {
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
    const { added = "/added/", rows = [] } = change;
    newest = version;
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
          ...rows,
        ],
      },
      services: {
        columns: [
          "name",
          "healthCheck",
          ...Object.keys(options.serviceColumns ?? {}),
        ],
        rows: [...new Set(services)].map((s) => [
          s,
          "/healthz",
          ...Object.values(options.serviceColumns ?? {}),
        ]),
      },
      limits: {
        maxHeaderBytes: 32_768,
        maxBodyBytes: 1_000_000,
        headerTimeoutS: 3,
        idleTimeoutS: 15,
      },
    });
  }

  function list(
    host: DeploymentHost,
    status: Record<string, unknown> = {},
    change: Record<string, unknown> = {},
  ): void {
    store.put(`servers/${host.upstream.instance}`, {
      address: host.upstream.address,
      info: {
        service: host.service,
        version: "v1",
        zone: host.zone,
        slots: host.upstream.slots,
      },
      status: { state: "ready", seq: 1, coldLeftS: 0, ...status },
      ...change,
    });
  }

  function startDaemon(host: DeploymentHost): void {
    const file = join(folder, `${host.ip}.yaml`);
    const address = host.links ? `${host.ip}:${STORE_PORT}` : store.address;
    const settings = createSettings(host, {
      store: address,
      bounds: options.bounds ?? {},
      seeds: hosts.slice(0, MAX_SEEDS).map((it) => `${it.ip}:${SEED_PORT}`),
    });
    writeFileSync(file, JSON.stringify(settings));
    const child = spawn(process.execPath, [
      ...options.nodeArgs ?? [],
      "target/vanillarock.cjs",
    ], {
      env: { ...process.env, VANILLAROCK_SETTINGS: file },
      stdio: ["ignore", "pipe", "pipe"],
    });
    const appendLines = (data: Buffer) =>
      void host.lines.push(...data.toString().split("\n"));
    child.stdout!.on("data", appendLines);
    child.stderr!.on("data", appendLines);
    host.process = child;
  }

  async function waitUntilReady(host: DeploymentHost): Promise<void> {
    for (let i = 0; i < MAX_READY_POLLS; i++) {
      if (await getReadyStatus(host) === 200) return;
      await new Promise((resolve) => setTimeout(resolve, READY_POLL_MS));
    }
    throw new Error(`${host.ip} is not ready:\n${host.lines.join("\n")}`);
  }

  async function getReadyStatus(host: DeploymentHost): Promise<number> {
    try {
      const res = await request(`http://${host.ip}:${READY_PORT}/-/ready`);
      await res.body.dump();
      return res.statusCode;
    } catch {
      return 0;
    }
  }

  async function waitInForce(): Promise<void> {
    await Promise.all(hosts.map(async (host) => {
      for (let i = 0; i < MAX_READY_POLLS; i++) {
        if (!isRunning(host) || await getVersion(host) === newest) return;
        await new Promise((resolve) => setTimeout(resolve, READY_POLL_MS));
      }
      const lines = host.lines.join("\n");
      throw new Error(`${host.ip} has no version ${newest}:\n${lines}`);
    }));
  }

  async function call(
    host: DeploymentHost,
    req: CallerRequest,
  ): Promise<CallerResponse> {
    const res = await request(
      `http://${host.ip}:${CALLER_PORT}${req.path ?? "/read/1"}`,
      {
        dispatcher: agent,
        method: req.method ?? "GET",
        headers: {
          host: "shop",
          "x-vanillarock-attempt-id": req.id,
          "x-vanillarock-timeout-ms": String(req.timeoutMs ?? 2_000),
          ...req.headers,
        },
        body: req.body ?? null,
        ...(req.signal && { signal: req.signal }),
      },
    );
    const text = await res.body.text();
    return { status: res.statusCode, headers: res.headers, text };
  }

  function closeCallerConnections(): void {
    const old = agent;
    agent = new Agent({ connections: 32 });
    void old.destroy();
  }

  async function close(): Promise<void> {
    await Promise.all(hosts.map(async (host) => {
      const child = host.process;
      if (isRunning(host)) {
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

function isRunning({ process }: DeploymentHost): boolean {
  return process.exitCode === null && process.signalCode === null;
}

/** Version that a daemon has in force; undefined without a response. */
async function getVersion({ ip }: DeploymentHost): Promise<number | undefined> {
  try {
    const res = await request(`http://${ip}:${METRICS_PORT}/metrics`);
    const text = await res.body.text();
    const version = /^vanillarock_config_version (\d+)$/m.exec(text)?.[1];
    return version === undefined ? undefined : Number(version);
  } catch {
    return undefined;
  }
}

/** Failure domain of a host by its index. */
export function getZone(index: number): string {
  return index % 2 === 0 ? "east" : "west";
}

/** Address on which a daemon behind a relay listens for its peers. */
function getListenIp(ip: string): string {
  return ip.replace("127.0.", "127.1.");
}

function createSettings(
  host: DeploymentHost,
  { store, bounds, seeds }: {
    store: string;
    bounds: Record<string, number>;
    seeds: readonly string[];
  },
): unknown {
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
      seeds,
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
        ...bounds,
      },
    },
  };
}
