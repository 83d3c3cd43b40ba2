/**
 * The table of diagnostics: every reason is unique, used and counted under its
 * name.
 */

import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import { expect, test } from "vitest";
import { Diagnostics } from "../src/core/diagnostics.ts";
import {
  Execution,
  GatewayActionKind,
  GatewayMessageKind,
} from "../src/core/types.ts";
import { createTestHost } from "./support/core_host.ts";
import { createTestGateway, sendArrival } from "../src/lab/test_gateway.ts";

const rows = Object.entries(Diagnostics);
const sourceText = readSources("src").filter((s) =>
  !s.includes("/** All messages. Codes:")
).join("\n");

test("codes and reasons are unique, and a row's name is its reason", () => {
  expect(new Set(rows.map(([, row]) => row.code)).size).toBe(rows.length);
  for (const [name, row] of rows) expect(row.reason).toBe(name);
});

test.each(rows.map(([name]) => name))("%s is given somewhere", (name) => {
  const isUsed = sourceText.includes(`"${name}"`) ||
    new RegExp(`Diagnostics\\.${name}\\b`).test(sourceText);
  expect(isUsed).toBe(true);
});

test("a refusal of each reason is counted by that reason, at arrival and end", () => {
  for (const [name, diagnostic] of rows) {
    const gateway = createTestGateway(createTestHost(), {
      maxAttempts: 1,
      maxNonQueueingAttempts: 0,
      getCandidates: () => [{ host: "b", failureDomain: "east" }],
    });
    sendArrival(gateway, "1", { retriesLeft: 0 });
    const [last] = gateway.handle({
      kind: GatewayMessageKind.Refused,
      id: "1",
      attempt: 1,
      verdict: { execution: Execution.NotRun, diagnostic },
    });
    expect(gateway.counters.get(`refused_${name}`)).toBe(1);
    // The reason of the final verdict is also the name of its counter.
    expect(last?.kind).toBe(GatewayActionKind.Finish);
    if (last?.kind !== GatewayActionKind.Finish) continue;
    const { reason } = last.verdict.diagnostic;
    expect(gateway.counters.get(`finished_${reason}`)).toBe(1);
  }
});

function readSources(folder: string): string[] {
  return readdirSync(folder, { withFileTypes: true, recursive: true })
    .filter((entry) => entry.isFile() && entry.name.endsWith(".ts"))
    .map((entry) => readFileSync(join(entry.parentPath, entry.name), "utf8"));
}
