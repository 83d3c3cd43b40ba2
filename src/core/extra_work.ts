/**
 * Budget of a daemon for extra work: for each service, the extra work of the
 * last window may be at most a share of the work of the daemon's own requests
 * that ended in it. As each daemon uses only the share of its own requests, the
 * fleet stays within the share without communication. Nothing is saved beyond a
 * window: daemons that spend saved work together would exceed the share.
 */

import type { CoreHost, Millis, ServiceName } from "./types.ts";

/**
 * Part of the share that is used. The time of a request includes that of its
 * calls, which other daemons count as well, so that the measured work is too high.
 */
export const USABLE_SHARE = 0.6;
/** Weight of the newest request in the mean work. */
const MEAN_SMOOTHING = 0.05;
/** Length of the window, in ms. */
const WINDOW_MS = 10_000;
/** Number of steps in the window, the current one among them. */
const STEPS = 10;

/** Work that is set aside for one extra attempt. */
export interface WorkReservation {
  getReservedMs(): Millis;
  /** Sets more work aside if the budget has it. */
  tryExtend(ms: Millis): boolean;
  /** Ends the reservation: returns to the budget what the attempt didn't cost. */
  settle(costMs: Millis): void;
}

/** Budget for extra work. */
export interface ExtraWork {
  /** Records the work of a request of a service; one that may have queued counts at most as the mean of the others. */
  recordWork(
    service: ServiceName,
    request: { readonly ms: Millis; readonly mayHaveQueued: boolean },
  ): void;
  tryReserve(service: ServiceName, ms: Millis): WorkReservation | undefined;
  /** Extra work as a share of the work of own requests in the last window; 0 without work. */
  getMeasuredShare(): number;
}

/** Settings of a budget. */
export interface ExtraWorkBudget {
  readonly share: number;
}

/** Work of one service. */
interface Account {
  /** Work of own requests that ended in the window. */
  readonly ownWork: Window;
  /** Cost of extra attempts that ended in the window; a step longer, as an attempt may end anywhere in its step. */
  readonly extraWork: Window;
  /** Work set aside for extra attempts that are open, in ms. */
  reservedMs: Millis;
  meanMs: Millis;
}

/** Creates a budget without work. */
export function createExtraWork(
  host: Pick<CoreHost, "now">,
  { share }: ExtraWorkBudget,
): ExtraWork {
  const accounts = new Map<ServiceName, Account>();
  const ownWork = createWindow(host, STEPS);
  const extraWork = createWindow(host, STEPS);
  return { recordWork, tryReserve, getMeasuredShare };

  function recordWork(
    service: ServiceName,
    { ms, mayHaveQueued }: { ms: Millis; mayHaveQueued: boolean },
  ): void {
    const account = getAccount(service);
    if (!mayHaveQueued) recordMean(account, ms);
    const workMs = mayHaveQueued ? Math.min(ms, account.meanMs) : ms;
    ownWork.add(workMs);
    account.ownWork.add(workMs);
  }

  function recordMean(account: Account, ms: Millis): void {
    account.meanMs = account.meanMs === 0
      ? ms
      : account.meanMs + MEAN_SMOOTHING * (ms - account.meanMs);
  }

  function tryReserve(
    service: ServiceName,
    ms: Millis,
  ): WorkReservation | undefined {
    const account = getAccount(service);
    if (!tryTake(account, ms)) return undefined;
    let reservedMs = ms;
    return { getReservedMs: () => reservedMs, tryExtend, settle };

    function tryExtend(moreMs: Millis): boolean {
      const isTaken = tryTake(account, moreMs);
      if (isTaken) reservedMs += moreMs;
      return isTaken;
    }

    function settle(costMs: Millis): void {
      account.reservedMs -= reservedMs;
      account.extraWork.add(costMs);
      extraWork.add(costMs);
    }
  }

  function tryTake(account: Account, ms: Millis): boolean {
    const usedMs = account.extraWork.getSum() + account.reservedMs;
    const allowedMs = USABLE_SHARE * share * account.ownWork.getSum();
    if (usedMs + ms > allowedMs) return false;
    account.reservedMs += ms;
    return true;
  }

  function getMeasuredShare(): number {
    const own = ownWork.getSum();
    return own === 0 ? 0 : extraWork.getSum() / own;
  }

  function getAccount(service: ServiceName): Account {
    let account = accounts.get(service);
    if (account === undefined) {
      account = {
        ownWork: createWindow(host, STEPS),
        extraWork: createWindow(host, STEPS + 1),
        reservedMs: 0,
        meanMs: 0,
      };
      accounts.set(service, account);
    }
    return account;
  }
}

interface Window {
  add(amount: number): void;
  getSum(): number;
}

/** A sum over the current step and those before it, `count` in all. */
function createWindow(
  host: Pick<CoreHost, "now">,
  count: number,
): Window {
  const amounts = new Array<number>(count).fill(0);
  let step = 0;
  return {
    add: (amount) => {
      advance();
      amounts[step % count]! += amount;
    },
    getSum: () => {
      advance();
      return amounts.reduce((total, amount) => total + amount, 0);
    },
  };

  function advance(): void {
    const current = Math.floor(host.now() / (WINDOW_MS / STEPS));
    const passed = Math.min(current - step, count);
    for (let i = 1; i <= passed; i++) amounts[(step + i) % count] = 0;
    step = current;
  }
}
