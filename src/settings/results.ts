/** ts-results: CommonJS under Node.js, an ES module in a bundle. */

import * as namespace from "ts-results";

const results =
  ("default" in namespace ? namespace.default : namespace) as typeof namespace;

/** A value that was decoded. */
export const Ok = results.Ok;
/** What was wrong with the input. */
export const Err = results.Err;
/** A value that is there. */
export const Some = results.Some;
/** No value. */
export const None = results.None;
export type { Option, Result } from "ts-results";
