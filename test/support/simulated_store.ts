/** A store in memory that loses writes, for tests of its readers in virtual time. */

import { err, ok } from "neverthrow";
import type { StoreEntry } from "../../src/core/change_log.ts";
import {
  type ListedUpstream,
  ListedUpstreamState,
} from "../../src/core/routing_types.ts";
import {
  StoreChangeKind,
  type StoreReader,
} from "../../src/daemon/store_task.ts";

const POLL_MS = 10;

/** A store and its reader. */
export interface SimulatedStore {
  readonly reader: StoreReader;
  put(upstream: ListedUpstream): void;
  remove(instance: string): void;
  /** Goes back by a number of changes, in a new era; returns the keys that lost a write. */
  rollBack(changes: number): string[];
  /** Calls fail while true. */
  setAway(isAway: boolean): void;
}

interface Change {
  readonly revision: number;
  readonly entry: StoreEntry;
}

/** Creates an empty store. */
export function createSimulatedStore(): SimulatedStore {
  let changes: Change[] = [];
  let era = 1;
  let revision = 0;
  let isAway = false;
  const reader: StoreReader = {
    readAll: () =>
      Promise.resolve(
        isAway
          ? fail("range", false)
          : ok({ era, revision, entries: getContent() }),
      ),
    watch: async (after, { waitMs }) => {
      for (let waited = 0;; waited += POLL_MS) {
        if (isAway) return fail("watch", false);
        if (after > revision) return fail("watch", true);
        const entries = changes.filter((c) => c.revision > after)
          .map((c) => c.entry);
        if (entries.length > 0 || waited >= waitMs) {
          return ok({ era, revision, entries });
        }
        await new Promise((resolve) => setTimeout(resolve, POLL_MS));
      }
    },
    decode: ({ key, text }) => [
      text === undefined
        ? { kind: StoreChangeKind.UpstreamRemoved, instance: key }
        : { kind: StoreChangeKind.UpstreamListed, upstream: JSON.parse(text) },
    ],
    close: () => Promise.resolve(),
  };
  return {
    reader,
    put: (upstream) =>
      append({ key: upstream.instance, text: JSON.stringify(upstream) }),
    remove: (instance) => append({ key: instance }),
    rollBack,
    setAway: (next) => void (isAway = next),
  };

  function append(entry: StoreEntry): void {
    revision += 1;
    changes.push({ revision, entry });
  }

  function rollBack(count: number): string[] {
    const lost = changes.slice(changes.length - count);
    changes = changes.slice(0, changes.length - count);
    revision = changes.at(-1)?.revision ?? 0;
    era += 1;
    return [...new Set(lost.map((c) => c.entry.key))];
  }

  function getContent(): StoreEntry[] {
    const content = new Map<string, StoreEntry>();
    for (const { entry } of changes) {
      if (entry.text === undefined) content.delete(entry.key);
      else content.set(entry.key, entry);
    }
    return [...content.values()];
  }
}

function fail(call: string, isHistoryGone: boolean) {
  return err({ call, message: "refused", isHistoryGone });
}

/** Creates a ready upstream with a host of its own. */
export function createListedUpstream(index: number): ListedUpstream {
  return {
    instance: `i-${index}`,
    service: "shop",
    address: `10.0.0.${index}:80`,
    failureDomain: "east",
    slots: 4,
    state: ListedUpstreamState.Ready,
    bornAt: 1,
  };
}
