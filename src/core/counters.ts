/** Named counters, read by metrics and by test baselines. */

/** A set of named counters. */
export interface Counters {
  add(name: string, amount?: number): void;
  get(name: string): number;
  forEachCounter(visit: (name: string, value: number) => void): void;
}

/** Creates an empty set; a counter that was never added to reads 0. */
export function createCounters(): Counters {
  const values = new Map<string, number>();
  return { add, get, forEachCounter };

  function add(name: string, amount = 1): void {
    values.set(name, (values.get(name) ?? 0) + amount);
  }

  function get(name: string): number {
    return values.get(name) ?? 0;
  }

  function forEachCounter(visit: (name: string, value: number) => void): void {
    for (const name of [...values.keys()].sort()) visit(name, get(name));
  }
}
