/** Plays seeds of the soak, each in a process of its own, so that none holds up another. */

import { fork } from "node:child_process";
import { once } from "node:events";
import { rmSync } from "node:fs";
import { build } from "esbuild";
import type { SoakReport } from "./run.ts";

const PLAYER = "target/soak_player.cjs";

/** The result of a play. */
export interface Play extends SoakReport {
  /** Folder of its history and of the daemons' lines. */
  readonly folder: string;
  /** Removes that folder. */
  discard(): void;
}

let building: Promise<unknown> | undefined;

/** Plays a seed on the loopback network `127.0.<base>.0/24`; rejects if its process ends before its result. */
export async function playSeed(
  seed: number,
  { base, logs = "reports/soak" }: { base: number; logs?: string },
): Promise<Play> {
  building ??= build({
    entryPoints: ["test/soak/player.ts"],
    outfile: PLAYER,
    bundle: true,
    platform: "node",
    target: "node20",
    logLevel: "warning",
  });
  await building;
  const folder = `${logs}/${seed}`;
  const player = fork(PLAYER, [String(seed), String(base), folder], {
    serialization: "advanced",
    execArgv: [],
  });
  let report: SoakReport | undefined;
  player.once("message", (it) => report = it as SoakReport);
  const [code, signal] = await once(player, "exit");
  if (report === undefined) {
    throw new Error(`the process of seed ${seed} ended: ${code ?? signal}`);
  }
  const discard = () => rmSync(folder, { recursive: true, force: true });
  return { ...report, folder, discard };
}
