/** Callers that go on sending until a daemon that is stopped is gone, and what became of their requests. */

import {
  CALLER_PORT,
  type Deployment,
  type DeploymentHost,
} from "../platform/mesh.ts";
import {
  openPipe,
  type Pipe,
  type PipedAnswer,
  type PipedRequest,
} from "./pipelining_caller.ts";

/** `graceS` of the settings, in ms: the process is killed then. */
export const GRACE_MS = 6_000;
/** Share of the grace time in which a request is sent whose upstream may be at work at the end. */
const EXCUSED_SHARE = 1 / 2;
/** Share of the grace time from which on such an upstream is at work. */
const LATE_WORK_SHARE = 5 / 6;
const RETRY_CONNECT_MS = 10;
const POLL_MS = 5;
const SIGNATURE = "x-vanillarock-response-signature";

/** How callers send. */
export interface StopLoad {
  readonly callers: number;
  /** Requests that a caller sends behind each other; 1 by default. */
  readonly depth?: number;
  /** Time before the stop, in ms, from which the daemon knows its answers. */
  readonly beforeMs: number;
  createRequest(count: number): PipedRequest;
  /** Host whose daemon the callers use; the one that stops by default. */
  readonly at?: DeploymentHost;
  /** Awaited before SIGTERM. */
  beforeStop?(): Promise<void>;
  /** Called right after SIGTERM. */
  during?(): void;
}

/** What callers saw of a stop. Times are in ms since SIGTERM. */
export interface StopOutcome {
  readonly exitCode: number | null;
  readonly exitedMs: number;
  /** Requests sent after SIGTERM. */
  readonly late: number;
  /** Of these, how many got a whole answer of an upstream, by the second in which they were sent. */
  readonly served: readonly number[];
  /** Requests that an upstream ran and that got no whole answer of it. */
  readonly unanswered: readonly Lost[];
  /** Those of them that are without excuse. */
  readonly lost: readonly Lost[];
}

/** A request without the answer that it should have got. */
export interface Lost {
  readonly id: string;
  readonly status: number | undefined;
  readonly isWhole: boolean;
  readonly sentMs: number;
  readonly endedMs: number;
}

let count = 0;

/** Stops a daemon under load; starts it before if it doesn't run. */
export async function stopUnderLoad(
  fleet: Deployment,
  front: DeploymentHost,
  { callers, depth = 1, beforeMs, createRequest, at = front, ...load }:
    StopLoad,
): Promise<StopOutcome> {
  if (isGone(front)) {
    fleet.startDaemon(front);
    await fleet.waitUntilReady(front);
  }
  await fleet.waitInForce();
  const answers: PipedAnswer[] = [];
  const running = Array.from({ length: callers }, runCaller);
  await pause(beforeMs);
  await load.beforeStop?.();
  const exited = new Promise<number>((resolve) =>
    front.process.once("exit", () => resolve(performance.now()))
  );
  const stoppedAt = performance.now();
  front.process.kill("SIGTERM");
  load.during?.();
  const exitedMs = await exited - stoppedAt;
  await Promise.all(running);
  const ran = new Set(fleet.hosts.flatMap(({ upstream }) => upstream.ran));
  /** Requests that were cut off while an upstream was at work. */
  const cut = new Set(
    fleet.hosts.flatMap(({ upstream }) => upstream.cancelled),
  );
  const late = answers.filter(({ sentAt }) => sentAt > stoppedAt);
  const served = Array.from({ length: GRACE_MS / 1_000 }, () => 0);
  for (const it of late) {
    const second = Math.floor((it.sentAt - stoppedAt) / 1_000);
    if (isServed(it)) served[second]! += 1;
  }
  const unanswered = answers
    .filter((it) => ran.has(it.id) && !isServed(it))
    .map(({ id, status, isWhole, sentAt, endedAt }) => ({
      id,
      status,
      isWhole,
      sentMs: Math.round(sentAt - stoppedAt),
      endedMs: Math.round(endedAt - stoppedAt),
    }));
  return {
    exitCode: front.process.exitCode,
    exitedMs,
    late: late.length,
    served,
    unanswered,
    lost: unanswered.filter((it) => !(isExcused(it) && cut.has(it.id))),
  };

  async function runCaller(): Promise<void> {
    while (!isGone(front)) {
      const pipe = await openPipe(at.ip, CALLER_PORT).catch(() => undefined);
      if (pipe === undefined) await pause(RETRY_CONNECT_MS);
      else await fill(pipe);
    }
  }

  async function fill(pipe: Pipe): Promise<void> {
    while (pipe.isOpen() && !isGone(front)) {
      const sent = Array.from(
        { length: depth },
        () => pipe.send(createRequest(count += 1)),
      );
      answers.push(...await Promise.all(sent));
      // Callers that are refused at once don't take the processor.
      await pause(POLL_MS);
    }
    pipe.close();
  }
}

/** True if the answer is whole and one of an upstream. */
function isServed({ isWhole, headers }: PipedAnswer): boolean {
  return isWhole && headers[SIGNATURE] !== undefined;
}

function isExcused({ sentMs, endedMs }: Lost): boolean {
  return sentMs <= GRACE_MS * EXCUSED_SHARE &&
    endedMs >= GRACE_MS * LATE_WORK_SHARE;
}

function isGone({ process }: DeploymentHost): boolean {
  return process.exitCode !== null || process.signalCode !== null;
}

/** Resolves after a time in ms. */
export function pause(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
