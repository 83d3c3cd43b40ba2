/** Checks of settings and documents report all problems of a file at once. */

import { readFileSync } from "node:fs";
import { expect, test } from "vitest";
import { checkFile } from "../src/client_account/check_file.ts";

const EXAMPLES = [
  "examples/templates/studio.yaml",
  "examples/templates/office.yaml",
  "examples/accounts/karaca.yaml",
  "examples/accounts/mesas.yaml",
  "examples/hosts/boards-1.yaml",
];

test.each(EXAMPLES)("%s is valid", (file) => {
  expect(checkFile(file, readFileSync(file, "utf8"))).toEqual([]);
});

test("five mistakes of one file are all named", () => {
  const text = readFileSync("examples/hosts/boards-1.yaml", "utf8")
    .replace("slots: 12", "slots: 0")
    .replace("connections: 250", "conections: 250")
    .replace("127.0.0.1:7101", "localhost:7101")
    .replace("failureDomain: Kadıköy", "failureDomain: 7");
  const paths = checkFile("bad.yaml", text).map((p) => p.path).sort();
  expect(paths).toEqual([
    "failureDomain",
    "listen.callers",
    "upstream.conections",
    "upstream.connections",
    "upstream.slots",
  ]);
});

test("an unknown field names the one that was meant", () => {
  const text = readFileSync("examples/accounts/karaca.yaml", "utf8")
    .replace("hostnames", "hostname");
  const [problem] = checkFile("karaca.yaml", text);
  expect(problem?.allowed).toContain("did you mean hostnames?");
});
