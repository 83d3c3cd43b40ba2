/** Statuses that a final response may have, and which of them have a body. */

const FIRST_FINAL_STATUS = 200;
const LAST_STATUS = 599;

/**
 * True for 200 to 599. Lower statuses announce that a final response follows or,
 * below 100, have no meaning; Node.js parses any three digits.
 */
export function isFinalStatus(status: number): boolean {
  return Number.isInteger(status) && status >= FIRST_FINAL_STATUS &&
    status <= LAST_STATUS;
}

/** False for a response that ends with its head, whatever length it states. */
export function mayHaveBody(
  method: string | undefined,
  status: number,
): boolean {
  return method !== "HEAD" && status !== 204 && status !== 304;
}
