/** Starts faulty callers in a process of their own. */

import { spawn } from "node:child_process";
import { once } from "node:events";

/** What faulty callers send. */
export interface EndlessClientOptions {
  readonly ip: string;
  readonly port: number;
  /** Connections at a time. */
  readonly callers: number;
  /** Sent once on each connection. */
  readonly start: string;
  /** Repeated until the connection closes. */
  readonly part: string;
  /** False if the callers read none of the answers. */
  readonly isRead: boolean;
}

/** Faulty callers in a process of their own. */
export interface EndlessClient {
  /** Statuses of the answers until now. */
  readonly statuses: string[];
  close(): Promise<void>;
}

/** Starts the callers. */
export function startEndlessClient(
  options: EndlessClientOptions,
): EndlessClient {
  const child = spawn(process.execPath, ["test/support/endless_client.mjs"], {
    stdio: ["pipe", "pipe", "inherit"],
  });
  child.stdin.end(JSON.stringify(options));
  const statuses: string[] = [];
  child.stdout.on("data", (data: Buffer) => {
    for (const line of data.toString().split("\n")) {
      if (line !== "") statuses.push(line);
    }
  });
  return { statuses, close };

  async function close(): Promise<void> {
    if (child.exitCode !== null || child.signalCode !== null) return;
    const ended = once(child, "exit");
    child.kill("SIGKILL");
    await ended;
  }
}
