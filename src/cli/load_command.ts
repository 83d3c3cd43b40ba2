/** Command `vanillarock load`. */

import { readFile, writeFile } from "node:fs/promises";
import { Command, Option, UsageError } from "clipanion";
import { MIXES } from "../load/mixes.ts";
import { plotCurves } from "../load/plot.ts";
import { type LoadResult, runLoad } from "../load/run_load.ts";

/** Generates load and reports on it, or compares two reports. */
export class LoadCommand extends Command {
  static override paths = [["load"]];
  static override usage = Command.Usage({
    description: "Generate open-loop load, or compare two reports",
    details:
      "Latency is measured from the scheduled time of each request. The report " +
      "has HDR percentiles by kind of request, refusals by verdict and reason, " +
      "and the number and bytes of probes. Exits 0 once every request has " +
      "ended, whatever its verdict.",
    examples: [
      [
        "30 s of Karaca's traffic at 200 requests a second",
        "vanillarock load --mix karaca --target 127.0.0.1:7101 --per-second 200 --seconds 30 --json run.json --svg run.svg",
      ],
      [
        "Compare two runs",
        "vanillarock load --compare before.json after.json --svg both.svg",
      ],
    ],
  });

  mix = Option.String("--mix", "karaca");
  targets = Option.Array("--target", []);
  operators = Option.Array("--operators", []);
  perSecond = Option.String("--per-second", "100");
  seconds = Option.String("--seconds", "10");
  seed = Option.String("--seed", "1");
  timeoutMs = Option.String("--timeout-ms", "5000");
  label = Option.String("--label", "run");
  json = Option.String("--json");
  svg = Option.String("--svg");
  compare = Option.String("--compare", { arity: 2 });

  async execute(): Promise<number> {
    const reports = this.compare === undefined
      ? [await this.run()]
      : await Promise.all(this.compare.map(readReport));
    this.context.stdout.write(formatReports(reports));
    if (this.svg !== undefined) await writeFile(this.svg, plot(reports));
    return 0;
  }

  private async run(): Promise<LoadResult> {
    const mix = MIXES[this.mix];
    if (mix === undefined) {
      throw new UsageError(
        `--mix: allowed values: ${Object.keys(MIXES).join(", ")}`,
      );
    }
    if (this.targets.length === 0) {
      throw new UsageError(
        "--target: at least one caller address of a daemon is required",
      );
    }
    const report = await runLoad(this.label, {
      targets: this.targets,
      operators: this.operators,
      mix,
      perSecond: readNumber("--per-second", this.perSecond),
      seconds: readNumber("--seconds", this.seconds),
      seed: readNumber("--seed", this.seed),
      timeoutMs: readNumber("--timeout-ms", this.timeoutMs),
    });
    if (this.json !== undefined) {
      await writeFile(this.json, `${JSON.stringify(report, undefined, 2)}\n`);
    }
    return report;
  }
}

function readNumber(name: string, text: string): number {
  const value = Number(text);
  if (Number.isFinite(value) && value > 0) return value;
  throw new UsageError(`${name}: found ${text}; allowed: a number above 0`);
}

async function readReport(path: string): Promise<LoadResult> {
  try {
    return JSON.parse(await readFile(path, "utf8")) as LoadResult;
  } catch (error) {
    throw new UsageError(`${path}: ${(error as Error).message}`);
  }
}

function formatReports(reports: readonly LoadResult[]): string {
  return reports.map(formatReport).join("\n");
}

function formatReport(report: LoadResult): string {
  const lines = [
    `${report.label}: ${report.sent} sent, ${report.answered} answered, ` +
    `${report.perSecond}/s for ${report.seconds} s, seed ${report.seed}`,
  ];
  for (const [name, curve] of Object.entries(report.latencies)) {
    const parts = curve.percentiles
      .filter(({ percentile }) => [50, 99, 99.9].includes(percentile))
      .map(({ percentile, ms }) => `p${percentile} ${ms.toFixed(2)} ms`);
    lines.push(`  ${name}: ${curve.count} responses, ${parts.join(", ")}`);
  }
  for (const [reason, count] of Object.entries(report.refusals)) {
    lines.push(`  no response: ${reason}: ${count}`);
  }
  const { calls, bytes } = report.measuring;
  lines.push(`  measuring: ${calls} probes, ${bytes} bytes`);
  return `${lines.join("\n")}\n`;
}

function plot(reports: readonly LoadResult[]): string {
  const isSingle = reports.length === 1;
  const curves = reports.flatMap((report) =>
    Object.entries(report.latencies)
      .filter(([name]) => isSingle || name === "all")
      .map(([name, curve]) => ({
        label: isSingle ? name : report.label,
        points: curve.percentiles,
      }))
  );
  return plotCurves("Latency from the scheduled time of a request", curves);
}
