/**
 * The requests on one connection. Their answers go back in the order in which
 * they were read. An answer that announces the end of the connection is the last
 * one: what arrives behind it counts as not read, and must not be passed on.
 */

/** Requests whose answers are still to be written, oldest first. */
export interface ConnectionOrder<T> {
  /** Adds a request that was read; false if it came behind the end. */
  tryAdd(req: T): boolean;
  /** Removes a request whose answer is written, or will never be; false if it isn't there. */
  remove(req: T): boolean;
  tryGetFirst(): T | undefined;
  tryGetNewest(): T | undefined;
  /** The number of unanswered requests. */
  size(): number;
  getAll(): readonly T[];
  /** Ends the connection behind the requests that were read so far. */
  takeNoMore(): void;
  takesMore(): boolean;
  /** True if the connection may be closed: all is answered, and nothing more is taken. */
  isDone(): boolean;
}

/** Creates the order of a new connection. */
export function createConnectionOrder<T>(): ConnectionOrder<T> {
  const unanswered: T[] = [];
  let takesMore = true;
  return {
    tryAdd,
    remove,
    tryGetFirst: () => unanswered[0],
    tryGetNewest: () => unanswered.at(-1),
    size: () => unanswered.length,
    getAll: () => unanswered,
    takeNoMore: () => void (takesMore = false),
    takesMore: () => takesMore,
    isDone: () => !takesMore && unanswered.length === 0,
  };

  function tryAdd(req: T): boolean {
    if (takesMore) unanswered.push(req);
    return takesMore;
  }

  function remove(req: T): boolean {
    const index = unanswered.indexOf(req);
    if (index >= 0) unanswered.splice(index, 1);
    return index >= 0;
  }
}
