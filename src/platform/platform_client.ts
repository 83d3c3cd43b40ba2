/**
 * Client of the platform's service: the list of hosts, configuration values, and
 * a long poll for changes. Every call counts against the fleet's rate limit.
 */

import { err, ok, type Result } from "neverthrow";
import { Pool } from "undici";
import { z } from "zod";
import {
  type ConfigDocument,
  type DocumentRevision,
  type ListedHost,
  ListedState,
} from "../core/config_types.ts";

const hostsSchema = z.object({
  hosts: z.array(z.object({
    host: z.string(),
    service: z.string(),
    failureDomain: z.string(),
    dataAddress: z.string(),
    controlAddress: z.string(),
    state: z.enum(ListedState),
  })),
});

const indexSchema = z.object({
  revision: z.int().min(0),
  revisions: z.array(z.object({ key: z.string(), revision: z.int().min(1) })),
});

const documentSchema = z.object({
  key: z.string(),
  revision: z.int().min(1),
  value: z.string(),
});

/** Why a call to the platform failed. */
export interface PlatformError {
  readonly call: string;
  readonly message: string;
}

/** The revisions of all keys, and the highest of them. */
export interface PlatformIndex {
  readonly revision: number;
  readonly revisions: readonly DocumentRevision[];
}

/** Client of the platform's service. */
export interface PlatformClient {
  readHosts(): Promise<Result<ListedHost[], PlatformError>>;
  readIndex(): Promise<Result<PlatformIndex, PlatformError>>;
  /** Waits for a revision above `after`, at most `waitMs`. */
  watchIndex(
    after: number,
    waitMs: number,
  ): Promise<Result<PlatformIndex, PlatformError>>;
  readDocument(key: string): Promise<Result<ConfigDocument, PlatformError>>;
  close(): Promise<void>;
}

/** Creates a client of the service at an IP address and port. */
export function createPlatformClient(
  address: string,
  options: { timeoutMs: number },
): PlatformClient {
  const pool = new Pool(`http://${address}`, {
    connections: 2,
    connect: { timeout: options.timeoutMs },
  });
  return {
    readHosts: async () =>
      (await read("/hosts", { schema: hostsSchema })).map((r) => r.hosts),
    readIndex: () => read("/index", { schema: indexSchema }),
    watchIndex: (after, waitMs) =>
      read(`/index?after=${after}&waitMs=${waitMs}`, {
        schema: indexSchema,
        waitMs,
      }),
    readDocument: (key) =>
      read(`/values/${encodeURIComponent(key)}`, { schema: documentSchema }),
    close: () => pool.destroy(),
  };

  async function read<S extends z.ZodType>(
    path: string,
    request: { schema: S; waitMs?: number },
  ): Promise<Result<z.output<S>, PlatformError>> {
    const timeout = options.timeoutMs + (request.waitMs ?? 0);
    try {
      const res = await pool.request({
        method: "GET",
        path,
        headersTimeout: timeout,
        bodyTimeout: timeout,
      });
      const text = await res.body.text();
      if (res.statusCode !== 200) {
        return err({ call: path, message: `status ${res.statusCode}` });
      }
      return ok(request.schema.parse(JSON.parse(text)));
    } catch (error) {
      return err({ call: path, message: String(error) });
    }
  }
}
