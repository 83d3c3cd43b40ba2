/**
 * What a daemon knows of the store, so that it can bring another daemon up to
 * date. Only the newest entry of each key is kept.
 */

/** One entry of the store. */
export interface StoreEntry {
  readonly key: string;
  /** The value, or undefined where the entry was removed. */
  readonly text?: string | undefined;
}

/** Entries up to a revision of the store. */
export interface StoreBatch {
  readonly revision: number;
  readonly entries: readonly StoreEntry[];
}

/** The newest entries by key. */
export interface ChangeLog {
  /** Starts anew from the whole content of the store. */
  restart(batch: StoreBatch): void;
  /** Takes what changed up to the batch's revision. */
  take(batch: StoreBatch): void;
  /** What changed after a revision; undefined where that isn't known. */
  tryGetSince(revision: number): StoreBatch | undefined;
}

interface Kept {
  readonly entry: StoreEntry;
  readonly revision: number;
}

/** Entries without the values that a later entry of the batch replaces. */
export function dropReplaced(entries: readonly StoreEntry[]): StoreEntry[] {
  const newest = new Map(entries.map((entry) => [entry.key, entry]));
  return entries.filter((entry) =>
    entry.text === undefined || newest.get(entry.key) === entry
  );
}

/** Removed entries that are remembered; some minutes of releases of a whole service. */
const MAX_REMOVED = 1_000;

/** Creates a log that knows nothing yet. */
export function createChangeLog(): ChangeLog {
  /** In the order of their last change. */
  const kept = new Map<string, Kept>();
  let removed = 0;
  let knownSince = Infinity;
  let revision = -Infinity;
  return { restart, take, tryGetSince };

  function restart(batch: StoreBatch): void {
    kept.clear();
    removed = 0;
    knownSince = batch.revision;
    revision = -Infinity;
    take(batch);
  }

  function take(batch: StoreBatch): void {
    revision = Math.max(revision, batch.revision);
    for (const entry of batch.entries) {
      const before = kept.get(entry.key);
      if (isRemoved(before)) removed -= 1;
      kept.delete(entry.key);
      const after = { entry, revision };
      kept.set(entry.key, after);
      if (isRemoved(after)) removed += 1;
    }
    if (removed > MAX_REMOVED) forgetOldest();
  }

  function forgetOldest(): void {
    for (const [key, it] of kept) {
      if (!isRemoved(it)) continue;
      kept.delete(key);
      removed -= 1;
      knownSince = Math.max(knownSince, it.revision);
      if (removed <= MAX_REMOVED) return;
    }
  }

  function tryGetSince(after: number): StoreBatch | undefined {
    if (after < knownSince) return undefined;
    const entries = [...kept.values()]
      .filter((it) => it.revision > after)
      .map((it) => it.entry);
    return { revision, entries };
  }
}

function isRemoved(kept: Kept | undefined): boolean {
  return kept !== undefined && kept.entry.text === undefined;
}
