/** Calls of commands to a daemon's operators' endpoint. */

import { UsageError } from "clipanion";
import { request } from "undici";

/** Reads JSON from a daemon's operators' address. */
export async function fetchFromDaemon<T>(
  address: string,
  path: string,
): Promise<T> {
  try {
    const res = await request(`http://${address}${path}`);
    return await res.body.json() as T;
  } catch (error) {
    throw new UsageError(`${address}: ${(error as Error).message}`);
  }
}
