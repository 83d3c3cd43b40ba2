/** The requests of a gateway that have no final verdict yet, and when to look at each again. */

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
  /** Opens a request; it is due at its deadline. */
  add(request: PendingRequest): void;
  tryGet(id: string): PendingRequest | undefined;
  /** An attempt by its number, whether it has ended or not. */
  tryFind(id: string, attempt: number): FoundAttempt | undefined;
  /** As above, for an attempt that has not ended. */
  tryFindOpen(id: string, attempt: number): FoundAttempt | undefined;
  remove(id: string): void;
  getCount(): number;
  /** Takes the next request that is due and not being delivered. */
  takeDue(now: Millis): PendingRequest | undefined;
  readonly wakes: WakeQueue<string>;
}

/** Creates an empty set. */
export function createOpenRequests(): OpenRequests {
  const pending = new Map<string, PendingRequest>();
  const wakes = createWakeQueue<string>();
  return {
    add,
    tryGet: (id) => pending.get(id),
    tryFind,
    tryFindOpen,
    remove: (id) => void pending.delete(id),
    getCount: () => pending.size,
    takeDue,
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

  function takeDue(now: Millis): PendingRequest | undefined {
    for (;;) {
      const id = wakes.takeDue(now);
      if (id === undefined) return undefined;
      const request = pending.get(id);
      if (request !== undefined && !request.isDelivering) return request;
    }
  }
}
