/** Invariants of the core. */

/** Checks that hold whatever the input. */
export interface Assertions {
  /** Throws when an invariant is broken, which is a defect of this program. */
  assert(condition: boolean, invariant: string): asserts condition;
  /** Throws when a value that must exist does not. */
  checkDefined<T>(value: T | undefined, what: string): T;
}

/** The assertions of the core. */
export const Debug: Assertions = { assert, checkDefined };

function assert(condition: boolean, invariant: string): asserts condition {
  if (!condition) throw new Error(`broken invariant: ${invariant}`);
}

function checkDefined<T>(value: T | undefined, what: string): T {
  assert(value !== undefined, `${what} is defined`);
  return value as T;
}
