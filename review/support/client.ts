/** A sound client: one kept connection, one request at a time. */

import { Buffer } from "node:buffer";
import { Agent, request } from "node:http";
import { HOSTNAME, now, type World } from "./world.ts";

/** A request of a client. */
export interface ClientRequest {
  readonly id: string;
  readonly path: string;
  readonly method?: string;
  readonly body?: Buffer;
  readonly timeoutMs: number;
}

/** How a request ended for its client. */
export interface Ending {
  readonly id: string;
  readonly sentAt: number;
  readonly endedAt: number;
  /** Undefined if the connection ended without a whole answer. */
  readonly status?: number;
  readonly isSigned: boolean;
  readonly body: string;
  readonly error?: string;
  /** True if an earlier request on the connection had been answered. */
  readonly isKept: boolean;
}

/** A client. */
export interface Client {
  send(req: ClientRequest): Promise<Ending>;
  close(): void;
}

/** Creates a client of the daemon at an address. */
export function createClient(world: World, ip: string): Client {
  const agent = new Agent({ keepAlive: true, maxSockets: 1 });
  return { send, close: () => agent.destroy() };

  function send(it: ClientRequest): Promise<Ending> {
    const { id, path, method = "GET", body, timeoutMs } = it;
    const sentAt = now();
    return new Promise((resolve) => {
      const req = request({
        host: ip,
        port: world.ports.callers,
        method,
        path,
        agent,
        headers: {
          "Host": HOSTNAME,
          "X-Vanillarock-Attempt-Id": id,
          "X-Vanillarock-Timeout-Ms": String(timeoutMs),
          ...(body && { "Content-Length": String(body.length) }),
        },
      });
      const end = (how: Partial<Ending>) => {
        const ending: Ending = {
          id,
          sentAt,
          endedAt: now(),
          isSigned: false,
          body: "",
          isKept: req.reusedSocket,
          ...how,
        };
        world.record("answered", {
          id,
          ip,
          status: ending.status ?? "none",
          ...(ending.error !== undefined && { error: ending.error }),
          kept: ending.isKept,
        });
        resolve(ending);
      };
      req.on("response", (res) => {
        const chunks: Buffer[] = [];
        res.on("data", (chunk: Buffer) => chunks.push(chunk));
        res.on("error", (error) => end({ error: error.message }));
        res.on("end", () =>
          end({
            status: res.statusCode ?? 0,
            isSigned:
              res.headers["x-vanillarock-response-signature"] !== undefined,
            body: Buffer.concat(chunks).toString(),
          }));
      });
      req.on("error", (error) => end({ error: error.message }));
      world.record("sent", { id, ip, method, path });
      req.end(body);
    });
  }
}
