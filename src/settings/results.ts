/** Imports ts-results, which is CommonJS under Node.js and an ES module in a bundle. */

import * as namespace from "ts-results";

const results =
  ("default" in namespace ? namespace.default : namespace) as typeof namespace;

/** A decoded value. */
export const Ok = results.Ok;
/** The problem with the input. */
export const Err = results.Err;
/** A value that is present. */
export const Some = results.Some;
/** An absent value. */
export const None = results.None;
export type { Option, Result } from "ts-results";
