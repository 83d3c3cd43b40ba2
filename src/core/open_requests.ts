/** The open requests of a gateway, and when each is due for a check. */

import { isOpen } from "./attempts.ts";
import type { Attempt, PendingRequest } from "./gateway_types.ts";
import type { Millis } from "./types.ts";
import { createWakeQueue, type WakeQueue } from "./wake_queue.ts";

/** A request and one of its attempts. */
export interface FoundAttempt {
  readonly request: PendingRequest;
  readonly attempt: Attempt;
}

/** Open requests by id. */
export interface OpenRequests {
  /** Adds a request, due at its deadline. */
  add(request: PendingRequest): void;
  tryGet(id: string): PendingRequest | undefined;
  /** An attempt by its number, open or ended. */
  tryFind(id: string, attempt: number): FoundAttempt | undefined;
  /** An open attempt by its number. */
  tryFindOpen(id: string, attempt: number): FoundAttempt | undefined;
  remove(id: string): void;
  forEach(visit: (request: PendingRequest) => void): void;
  getCount(): number;
  /** Returns the next due request, which stays open; skips one whose response is being delivered. */
  popDue(now: Millis): PendingRequest | undefined;
  /** Times at which requests are due for a check, by id. */
  readonly wakes: WakeQueue<string>;
}

/** Creates an empty set. */
export function createOpenRequests(): OpenRequests {
  const pending = new Map<string, PendingRequest>();
  const wakes = createWakeQueue<string>((id) =>
    pending.get(id)?.isDelivering === false
  );
  return {
    add,
    tryGet: (id) => pending.get(id),
    tryFind,
    tryFindOpen,
    remove: (id) => void pending.delete(id),
    forEach: (visit) => pending.forEach((request) => visit(request)),
    getCount: () => pending.size,
    popDue,
    wakes,
  };

  function add(request: PendingRequest): void {
    const { id } = request.arrival;
    pending.set(id, request);
    wakes.add(request.deadline, id);
  }

  function tryFind(id: string, number: number): FoundAttempt | undefined {
    const request = pending.get(id);
    const attempt = request?.attempts[number - 1];
    if (request === undefined || attempt === undefined) return undefined;
    return { request, attempt };
  }

  function tryFindOpen(id: string, number: number): FoundAttempt | undefined {
    const found = tryFind(id, number);
    return found !== undefined && isOpen(found.attempt) ? found : undefined;
  }

  function popDue(now: Millis): PendingRequest | undefined {
    const id = wakes.popDue(now);
    return id === undefined ? undefined : pending.get(id);
  }
}
