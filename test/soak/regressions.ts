/** Seeds of the soak that have failed; CI repeats them. */

/** A seed and the cause of its failure. */
export interface Regression {
  readonly seed: number;
  readonly cause: string;
}

/** All seeds that have failed. */
export const REGRESSIONS: readonly Regression[] = [
  {
    seed: 17,
    cause: "a second SIGTERM ended the process at once, with open requests",
  },
  {
    seed: 132,
    cause:
      "the soak listed an upstream as ready again after it had been listed " +
      "as draining, and sent SIGHUP while Node.js was booting",
  },
  {
    seed: 44_003,
    cause:
      "the soak's upstream refused requests as not run that it had recorded as run",
  },
  {
    seed: 47_000,
    cause:
      "a stopping daemon closed a connection behind an answer while requests " +
      "sent behind it were running",
  },
  { seed: 47_002, cause: "the same" },
  {
    seed: 48_043,
    cause:
      "the store of the tests wrote an older version again after two losses " +
      "that overlap, and a daemon that had just started served it",
  },
];
