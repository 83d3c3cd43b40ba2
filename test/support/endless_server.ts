/** Starts a faulty server in a process of its own, and reads what processes use. */

import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { readFileSync } from "node:fs";

const KB = 1_024;
/** Clock ticks of the kernel's accounts, in ms. */
const TICK_MS = 10;
const SAMPLE_MS = 20;

/** How requests are answered without end. */
export interface EndlessAnswer {
  /** Regular expression for the bytes of a request. */
  readonly pattern: string;
  /** Sent once; `{id}` stands for the request's id. */
  readonly start: string;
  /** Repeated until the connection closes. */
  readonly part: string;
  /** Time between two parts, in ms; 0 sends as fast as they are taken. */
  readonly everyMs?: number;
}

/** Settings of the server. */
export interface EndlessServerOptions {
  readonly ip: string;
  readonly port: number;
  readonly instance?: string;
  readonly answers: readonly EndlessAnswer[];
}

/** A server in a process of its own. */
export interface EndlessServer {
  readonly pid: number;
  close(): Promise<void>;
}

/** Starts a server; resolves once it listens. */
export async function startEndlessServer(
  options: EndlessServerOptions,
): Promise<EndlessServer> {
  const child = spawn(process.execPath, ["test/support/endless_server.mjs"], {
    stdio: ["pipe", "pipe", "inherit"],
  });
  child.stdin!.end(JSON.stringify(options));
  await once(child.stdout!, "data");
  return { pid: child.pid!, close: () => end(child) };
}

async function end(child: ChildProcess): Promise<void> {
  if (child.exitCode !== null || child.signalCode !== null) return;
  const ended = once(child, "exit");
  child.kill("SIGKILL");
  await ended;
}

/** Anonymous memory of a process, in bytes; 0 once it has ended. */
export function readAnonymousBytes(pid: number): number {
  try {
    const text = readFileSync(`/proc/${pid}/status`, "utf8");
    return Number(/RssAnon:\s*(\d+)/.exec(text)?.[1] ?? 0) * KB;
  } catch {
    return 0;
  }
}

/** Processor time that a process has used, in ms. */
export function readProcessorMs(pid: number): number {
  const text = readFileSync(`/proc/${pid}/stat`, "utf8");
  const fields = text.slice(text.lastIndexOf(")") + 2).split(" ");
  return (Number(fields[11]) + Number(fields[12])) * TICK_MS;
}

/** Samples of the memory of processes, in bytes. */
export interface MemoryWatch {
  getMost(): number;
  stop(): void;
}

/** Samples the memory of processes until stopped. */
export function watchMemory(pids: readonly number[]): MemoryWatch {
  let most = 0;
  const timer = setInterval(sample, SAMPLE_MS);
  sample();
  return { getMost: () => most, stop: () => clearInterval(timer) };

  function sample(): void {
    most = Math.max(most, ...pids.map(readAnonymousBytes));
  }
}
