/** Requests of commands to the operators' endpoint of a daemon. */

import { UsageError } from "clipanion";
import { request } from "undici";

/** Fetches JSON from the operators' address of a daemon. */
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
