/** What the daemon's bundle contains, and loading it with its code cache. */

import { execSync } from "node:child_process";
import { createRequire } from "node:module";
import {
  mkdtempSync,
  readdirSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { afterAll, beforeAll, expect, test } from "vitest";
import { CodeCache, loadBundle } from "../platform/bundle.ts";

const SOURCE_FOLDERS = ["src", "platform"];

let directory: string;
let file: string;

beforeAll(() => {
  directory = mkdtempSync(join(tmpdir(), "bundle-"));
  file = join(directory, "bundle.cjs");
});
afterAll(() => rmSync(directory, { recursive: true }));

test("a bundle runs with its compiled code, with a stale one and without", () => {
  writeFileSync(file, "exports.answer = () => __filename;");
  const first = loadBundle(file);
  expect(first.codeCache).toBe(CodeCache.Missing);
  first.writeCache();
  const second = loadBundle(file);
  expect(second.codeCache).toBe(CodeCache.Used);
  expect((second.exports as { answer(): string }).answer()).toBe(file);
  writeFileSync(file, "exports.answer = () => 'another';");
  const third = loadBundle(file);
  expect(third.codeCache).toBe(CodeCache.Rejected);
  expect((third.exports as { answer(): string }).answer()).toBe("another");
});

test("a bundle finds Node's modules and no packages beside it", () => {
  writeFileSync(
    file,
    `exports.path = require("node:path").basename("a/b");
try { require("undici"); } catch (error) { exports.error = error.message; }`,
  );
  const { path, error } = loadBundle(file).exports as Record<string, string>;
  expect(path).toBe("b");
  expect(error).toContain('module "undici" is not part of');
});

test("the code is compiled with the flags that it runs with", () => {
  const read = (text: string, program: string) =>
    new RegExp(`node ((?:--\\S+ )+)${program}`).exec(text)?.[1];
  const built = read(readFileSync("package.json", "utf8"), "target/compile");
  const run = read(
    readFileSync("deploy/system.toml", "utf8"),
    "target/vanillarock",
  );
  expect(built).toBeDefined();
  expect(built).toBe(run);
});

test("the bundle leaves out what costs time at each start and is not used", () => {
  const { scripts } = JSON.parse(readFileSync("package.json", "utf8"));
  const [build] = scripts["build:platform"].split(" && ") as [string];
  const meta = join(directory, "meta.json");
  execSync(
    `npx ${build.replace("--outdir=target", `--outdir=${directory}`)} ` +
      `--metafile=${meta}`,
  );
  const { outputs } = JSON.parse(readFileSync(meta, "utf8")) as {
    outputs: Record<string, { inputs: Record<string, unknown> }>;
  };
  const daemon = Object.keys(outputs).find((it) => it.endsWith("daemon.cjs"))!;
  const inputs = Object.keys(outputs[daemon]!.inputs).join("\n");
  expect(inputs).toContain("undici/lib/dispatcher/client.js");
  expect(inputs).not.toContain("undici/index.js");
  // Loading it creates a number format, which loads the locale data.
  expect(inputs).not.toContain("HistogramLogWriter");
  expect(inputs).toContain("zod/v4/classic/schemas.js");
  expect(inputs).not.toContain("zod/v4/locales/index.js");
  expect(inputs).not.toContain("from-json-schema");
  const { exports } = loadBundle(join(directory, "daemon.cjs"));
  expect(exports).toHaveProperty("main");
});

test("the parts of undici have the methods that its entry point gives them", () => {
  const load = createRequire(import.meta.url);
  const parts = load("../platform/undici_parts.cjs");
  const prototype = Object.getPrototypeOf(parts.Client.prototype);
  const { request } = prototype;
  const undici = load("undici");
  expect(undici.Client).toBe(parts.Client);
  expect(undici.Pool).toBe(parts.Pool);
  expect(request).toBeTypeOf("function");
  expect(undici.Client.prototype.request).toBe(request);
});

test("the bundle has every part of zod that the sources use", async () => {
  const parts = "../platform/zod_parts.mjs";
  const { z } = await import(parts) as { z: Record<string, unknown> };
  const used = new Set(
    SOURCE_FOLDERS.flatMap((folder) =>
      readdirSync(folder, { recursive: true, encoding: "utf8" })
        .filter((name) => name.endsWith(".ts"))
        .flatMap((name) => findUsed(readFileSync(join(folder, name), "utf8")))
    ),
  );
  expect(used.size).toBeGreaterThan(10);
  expect(Object.keys(z)).toEqual(expect.arrayContaining([...used]));
});

/** Names of zod's functions and classes that a source uses as values. */
function findUsed(source: string): string[] {
  return [...source.matchAll(/\bz\.(\w+)\(|instanceof z\.(\w+)/g)]
    .map(([, called, tested]) => (called ?? tested)!);
}

test("the bundle has every part of undici that the daemon uses", () => {
  const parts = createRequire(import.meta.url)("../platform/undici_parts.cjs");
  const bundle = readFileSync("target/daemon.cjs", "utf8");
  const used = new Set(
    [...bundle.matchAll(/import_undici\d*\.(\w+)/g)].map((it) => it[1]!),
  );
  expect(used.size).toBeGreaterThan(0);
  expect(Object.keys(parts)).toEqual(expect.arrayContaining([...used]));
});
