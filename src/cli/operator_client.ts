/** Requests of commands to the operators' endpoint of a daemon. */

import { UsageError } from "clipanion";
import { requestDaemon } from "./daemon_request.ts";

/** Fetches JSON from the operators' address of a daemon. */
export async function fetchFromDaemon<T>(
  address: string,
  path: string,
): Promise<T> {
  const reply = await requestDaemon(address, path);
  if (reply.err) throw new UsageError(`${address}: ${reply.val}`);
  return reply.val.content as T;
}
