/**
 * Log of the store's changes from which a daemon brings its followers up to
 * date. Only the newest entry of each key is kept.
 */

/**
 * Largest content of the store that a daemon reads, in bytes as it is sent: five
 * times that of 2,400 upstreams. Reading it takes several times as much memory.
 */
export const MAX_STORE_BYTES = 8_388_608;

/** One entry of the store. */
export interface StoreEntry {
  readonly key: string;
  /** The value, or undefined if the entry was removed. */
  readonly text?: string | undefined;
}

/** Entries up to a revision of the store. */
export interface StoreBatch {
  /** Changes when the store has lost acknowledged changes; revisions of two eras can't be compared. */
  readonly era: number;
  readonly revision: number;
  readonly entries: readonly StoreEntry[];
}

/** A revision and the era that it belongs to. */
export type StorePosition = Omit<StoreBatch, "entries">;

/** The newest entries by key. */
export interface ChangeLog {
  /** Replaces the log by the whole content of the store. */
  restart(batch: StoreBatch): void;
  /** Applies the changes up to the batch's revision. */
  apply(batch: StoreBatch): void;
  /** Changes after a revision; undefined if the log does not reach back that far or is of another era. */
  tryGetSince(position: StorePosition): StoreBatch | undefined;
  /** The whole content; undefined before it is known. */
  tryGetAll(): StoreBatch | undefined;
}

/** An entry and the revision of its last change. */
interface LoggedEntry {
  readonly entry: StoreEntry;
  readonly revision: number;
}

/** Drops values that a later entry of the batch replaces; removals are kept. */
export function dropSuperseded(entries: readonly StoreEntry[]): StoreEntry[] {
  const newest = new Map(entries.map((entry) => [entry.key, entry]));
  return entries.filter((entry) =>
    entry.text === undefined || newest.get(entry.key) === entry
  );
}

/** Removed entries that are kept; enough for some minutes of releases of a whole service. */
const MAX_REMOVED = 1_000;

/** Creates an empty log. */
export function createChangeLog(): ChangeLog {
  /** Entries by key, in the order of their last change. */
  const kept = new Map<string, LoggedEntry>();
  let removed = 0;
  let completeSince = Infinity;
  let era = 0;
  let revision = -Infinity;
  return { restart, apply, tryGetSince, tryGetAll };

  function restart(batch: StoreBatch): void {
    kept.clear();
    removed = 0;
    completeSince = batch.revision;
    era = batch.era;
    revision = -Infinity;
    apply(batch);
  }

  function apply(batch: StoreBatch): void {
    revision = Math.max(revision, batch.revision);
    for (const entry of batch.entries) {
      const before = kept.get(entry.key);
      if (isRemoved(before)) removed -= 1;
      kept.delete(entry.key);
      const after = { entry, revision };
      kept.set(entry.key, after);
      if (isRemoved(after)) removed += 1;
    }
    if (removed > MAX_REMOVED) evictOldestRemoved();
  }

  function evictOldestRemoved(): void {
    for (const [key, logged] of kept) {
      if (!isRemoved(logged)) continue;
      kept.delete(key);
      removed -= 1;
      completeSince = Math.max(completeSince, logged.revision);
      if (removed <= MAX_REMOVED) return;
    }
  }

  function tryGetSince(after: StorePosition): StoreBatch | undefined {
    if (after.era !== era || after.revision < completeSince) return undefined;
    const entries = [...kept.values()]
      .filter((logged) => logged.revision > after.revision)
      .map((logged) => logged.entry);
    return { era, revision, entries };
  }

  function tryGetAll(): StoreBatch | undefined {
    if (completeSince === Infinity) return undefined;
    const entries = [...kept.values()]
      .filter((logged) => !isRemoved(logged))
      .map((logged) => logged.entry);
    return { era, revision, entries };
  }
}

function isRemoved(logged: LoggedEntry | undefined): boolean {
  return logged !== undefined && logged.entry.text === undefined;
}
