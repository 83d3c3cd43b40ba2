/** ts-results for ES modules: the package itself is CommonJS. */

import results from "ts-results";

/** A value that was decoded. */
export const Ok = results.Ok;
/** What was wrong with the input. */
export const Err = results.Err;
/** A value that is there. */
export const Some = results.Some;
/** No value. */
export const None = results.None;
export type { Option, Result } from "ts-results";
