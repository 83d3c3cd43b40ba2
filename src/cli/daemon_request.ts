/** A request to the operators' endpoint of a daemon. */

import { request } from "undici";
import { Err, Ok, type Result } from "../settings/results.ts";

/** Longest wait for a reply, in ms; a daemon that is stopped accepts connections and never replies. */
const TIMEOUT_MS = 5_000;

/** A reply of a daemon. */
export interface DaemonReply {
  readonly status: number;
  /** The decoded JSON. */
  readonly content: unknown;
}

/** Requests JSON from the operators' address of a daemon; an error is a message. */
export async function requestDaemon(
  address: string,
  path: string,
): Promise<Result<DaemonReply, string>> {
  try {
    const { statusCode, body } = await request(`http://${address}${path}`, {
      headersTimeout: TIMEOUT_MS,
      bodyTimeout: TIMEOUT_MS,
    });
    return new Ok({ status: statusCode, content: await body.json() });
  } catch (error) {
    return new Err((error as Error).message);
  }
}
