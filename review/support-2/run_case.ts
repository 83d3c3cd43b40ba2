/** Runs one case: its record, its time limit and its exit code. */

import { writeFileSync } from "node:fs";
import { CannotRun, type Deployment, startDeployment } from "./deployment.ts";

/** Time limit of a script, in ms; the users allow 120 s. */
const LIMIT_MS = 110_000;

enum ExitCode {
  Held = 0,
  Broken = 1,
  CannotRun = 2,
}

/** What a case gets. */
export interface CaseContext {
  readonly fleet: Deployment;
  /** False if the script is to run without the disruption. */
  readonly hasTrouble: boolean;
  /** Adds a line to record.txt. */
  record(line: string): void;
}

/** Runs a case and exits; the case resolves to what broke the rule, or undefined if it held. */
export async function runCase(
  folder: string,
  play: (context: CaseContext) => Promise<string | undefined>,
): Promise<void> {
  const hasTrouble = process.env["TROUBLE"] !== "0";
  const lines: string[] = [`disruption: ${hasTrouble ? "yes" : "no"}`];
  const record = (line: string) => void lines.push(line);
  for (const signal of ["SIGINT", "SIGTERM"] as const) {
    process.once(signal, () => process.exit(ExitCode.CannotRun));
  }
  let fleet: Deployment | undefined;
  let code = ExitCode.CannotRun;
  const limit = setTimeout(() => {
    finish("could not run: out of time");
    process.exit(ExitCode.CannotRun);
  }, LIMIT_MS);
  try {
    fleet = await startDeployment();
    const broken = await play({ fleet, hasTrouble, record });
    code = broken === undefined ? ExitCode.Held : ExitCode.Broken;
    record("all that was sent, answered and run:");
    for (const line of describeTraffic(fleet)) record(line);
    finish(broken === undefined ? "the rule held" : `broken: ${broken}`);
  } catch (error) {
    const text = error instanceof CannotRun ? error.message : String(error);
    finish(`could not run: ${text}`);
  }
  clearTimeout(limit);
  await fleet?.close();
  process.exit(code);

  function finish(result: string): void {
    record(result);
    writeFileSync(`${folder}/record.txt`, `${lines.join("\n")}\n`);
    console.log(result);
  }
}

/** What clients and backends saw, by time. */
function describeTraffic(fleet: Deployment): string[] {
  const offset = performance.now() - fleet.now();
  const events: { at: number; text: string }[] = [];
  for (const it of fleet.answers) {
    const { id, line, machine, status } = it;
    const answer = status === 0 ? "no answer" : `answered ${status}`;
    events.push(
      { at: it.sentAt, text: `${id} sent to ${machine}: ${line}` },
      { at: it.endedAt, text: `${id} ${answer}` },
    );
  }
  for (const { ip, backend } of fleet.machines) {
    for (const { at, id, instance, isMisdirected } of backend.arrived) {
      const end = isMisdirected ? ", answered 421" : "";
      const text = `${id} arrives at ${instance} (${ip})${end}`;
      events.push({ at: at - offset, text });
    }
    for (const { at, id, instance } of backend.runs) {
      const text = `${id} runs at ${instance} (${ip})`;
      events.push({ at: at - offset, text });
    }
  }
  return events.sort((a, b) => a.at - b.at)
    .map(({ at, text }) => `${formatTime(at)} ${text}`);
}

/** Time as it stands in a record, in s. */
export function formatTime(ms: number): string {
  return (ms / 1_000).toFixed(3).padStart(7);
}

/** Counts answers by status, as "200: 12, 503: 3"; 0 stands for none. */
export function countStatuses(
  answers: readonly { readonly status: number }[],
): string {
  const counts = new Map<number, number>();
  for (const { status } of answers) {
    counts.set(status, (counts.get(status) ?? 0) + 1);
  }
  return [...counts].sort((a, b) => a[0] - b[0])
    .map(([status, count]) => `${status}: ${count}`).join(", ");
}
