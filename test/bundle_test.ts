/** Loading the daemon's bundle with its code cache. */

import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { afterAll, beforeAll, expect, test } from "vitest";
import { CodeCache, loadBundle } from "../platform/bundle.ts";

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
