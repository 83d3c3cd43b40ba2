import { defineConfig } from "vitest/config";

export default defineConfig({
  test: {
    include: ["test/**/*_test.ts"],
    testTimeout: 60_000,
    hookTimeout: 30_000,
    maxWorkers: 4,
    // Each run of the fault soak test starts up to a dozen daemons.
    maxConcurrency: 2,
  },
});
