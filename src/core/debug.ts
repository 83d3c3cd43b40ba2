/** Assertions on the invariants of the core. */

/** Checks that must hold for any input. */
export interface Assertions {
  /** Throws if an invariant is violated, which is a defect of this program. */
  assert(condition: boolean, invariant: string): asserts condition;
  /** Returns a value that must exist; throws if it is undefined. */
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
