/**
 * Stand-in for the platform's service: values with revisions, long polling, a
 * list of hosts, a rate limit, and outages and stale reads on demand.
 */

import type { Server } from "node:http";
import { Hono } from "hono";
import type { ListedHost } from "../core/config_types.ts";
import { type HttpEnv, startHttpServer } from "../daemon/http_server.ts";

const DEFAULT_CALLS_PER_SECOND = 2_000;
const MAX_VALUE_BYTES = 1_000_000;

/** Settings of the stand-in. */
export interface PlatformStandInOptions {
  readonly address: string;
  readonly callsPerSecond?: number;
}

/** A running stand-in. */
export interface PlatformStandIn {
  /** Publishes a value; returns its revision. */
  publish(key: string, value: string): number;
  setHosts(hosts: readonly ListedHost[]): void;
  /** Makes reads fail with 503. */
  setOutage(isOut: boolean): void;
  /** Freezes the state that readers see; later changes become visible at its end. */
  setStale(isStale: boolean): void;
  /** Serves the values from before the last publication. */
  setLagging(isLagging: boolean): void;
  /** Number of reads since the start, including failed ones. */
  getCalls(): number;
  close(): Promise<void>;
}

interface Value {
  key: string;
  revision: number;
  value: string;
}

interface State {
  revision: number;
  values: Map<string, Value>;
  hosts: readonly ListedHost[];
}

/** Starts the stand-in. */
export async function startPlatform(
  options: PlatformStandInOptions,
): Promise<PlatformStandIn> {
  let current: State = { revision: 0, values: new Map(), hosts: [] };
  let frozen: State | undefined;
  let before: State = current;
  let isOut = false;
  let calls = 0;
  let windowStart = Date.now();
  let windowCalls = 0;
  const waiters = new Set<() => void>();
  const { server } = await startHttpServer({
    address: options.address,
    app: createApp(),
    onMalformed: () => {},
  });
  return {
    publish,
    setHosts,
    setOutage: (value) => void (isOut = value),
    setStale,
    setLagging: (isLagging) => {
      frozen = isLagging ? { ...before, hosts: current.hosts } : undefined;
    },
    getCalls: () => calls,
    close: () => closeServer(server),
  };

  function createApp(): Hono<HttpEnv> {
    const app = new Hono<HttpEnv>();
    app.use("/hosts", admit).use("/index", admit).use("/values/*", admit);
    app.get("/hosts", (c) => c.json({ hosts: getVisibleState().hosts }));
    app.get("/index", async (c) => {
      const { after, waitMs } = c.req.query();
      if (waitMs !== undefined && getVisibleState().revision <= Number(after)) {
        await waitForChange(Number(waitMs));
      }
      return c.json(getIndex());
    });
    app.get("/values/:key", (c) => {
      const value = getVisibleState().values.get(c.req.param("key"));
      return value === undefined ? c.notFound() : c.json(value);
    });
    addControls(app);
    return app;
  }

  /** Adds the control interface for tests and operators, not used by daemons. */
  function addControls(app: Hono<HttpEnv>): void {
    app.put("/control/values/:key", async (c) => {
      const value = await c.req.text();
      if (value.length > MAX_VALUE_BYTES) return c.text("over 1 MB", 413);
      return c.json({ revision: publish(c.req.param("key"), value) });
    });
    app.put("/control/hosts", async (c) => {
      setHosts((await c.req.json()).hosts);
      return c.json({});
    });
    app.put("/control/outage/:value", (c) => {
      isOut = c.req.param("value") === "on";
      return c.json({ isOut });
    });
    app.put("/control/stale/:value", (c) => {
      setStale(c.req.param("value") === "on");
      return c.json({});
    });
    app.get("/control/calls", (c) => c.json({ calls }));
  }

  async function admit(
    c: { text(text: string, status: 429 | 503): Response },
    next: () => Promise<void>,
  ): Promise<Response | void> {
    calls += 1;
    if (isOut) return c.text("out of service", 503);
    if (!isWithinRate()) return c.text("too many calls", 429);
    await next();
  }

  function isWithinRate(): boolean {
    const now = Date.now();
    if (now - windowStart >= 1_000) {
      windowStart = now;
      windowCalls = 0;
    }
    windowCalls += 1;
    const maxCalls = options.callsPerSecond ?? DEFAULT_CALLS_PER_SECOND;
    return windowCalls <= maxCalls;
  }

  function getVisibleState(): State {
    return frozen ?? current;
  }

  function getIndex() {
    const { revision, values } = getVisibleState();
    const revisions = [...values.values()].map((v) => ({
      key: v.key,
      revision: v.revision,
    }));
    return { revision, revisions };
  }

  function publish(key: string, value: string): number {
    const revision = current.revision + 1;
    const values = new Map(current.values).set(key, { key, revision, value });
    before = current;
    current = { ...current, revision, values };
    if (frozen === undefined) wakeWaiters();
    return revision;
  }

  function setHosts(hosts: readonly ListedHost[]): void {
    current = { ...current, hosts };
  }

  function setStale(isStale: boolean): void {
    frozen = isStale ? frozen ?? current : undefined;
    if (!isStale) wakeWaiters();
  }

  function waitForChange(ms: number): Promise<void> {
    return new Promise((resolve) => {
      const done = () => {
        clearTimeout(timer);
        waiters.delete(done);
        resolve();
      };
      const timer = setTimeout(done, ms);
      timer.unref();
      waiters.add(done);
    });
  }

  function wakeWaiters(): void {
    for (const done of [...waiters]) done();
  }
}

/** Closes a stand-in's server and every connection. */
export function closeServer(server: Server): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => resolve());
    server.closeAllConnections();
  });
}
