/** The quotes in the mutation table match the sources. */

import { readFileSync } from "node:fs";
import { expect, test } from "vitest";
import { MUTATIONS } from "../src/lab/mutation_table.ts";

test.each(MUTATIONS)("$name: each text stands once in $file", (mutation) => {
  const source = readFileSync(mutation.file, "utf8");
  for (const { find } of mutation.edits) {
    expect(source.split(find)).toHaveLength(2);
  }
});
