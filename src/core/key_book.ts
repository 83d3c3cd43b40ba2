/**
 * Idempotency keys of one guard and what became of their requests.
 *
 * A key names its home host, the home's incarnation and a sequence number that
 * only rises. Only that incarnation may run it, so no clock, roster or lease is
 * compared. Forgetting raises the horizon: a key at or below it with no record
 * is answered as MayHaveRun, never run.
 */

import { Debug } from "./debug.ts";
import type {
  AccountName,
  CoreHost,
  HostId,
  Incarnation,
  KeptAnswer,
} from "./types.ts";

const SEPARATOR = ".";
const DIGEST_LENGTH = 16;

/** The parts of a key. */
export interface IdempotencyKey {
  readonly home: HostId;
  readonly incarnation: Incarnation;
  readonly sequence: number;
  readonly digest: string;
}

/** State of a key at its home. */
export enum KeyState {
  Queued = "queued",
  Granted = "granted",
  Running = "running",
  Answered = "answered",
  /** Never ran and never will. */
  Sealed = "sealed",
  /** Handed to the upstream, which gave no answer. */
  InDoubt = "in-doubt",
}

/** What a home remembers of a key. */
export interface KeyRecord {
  readonly sequence: number;
  readonly fingerprint: string;
  state: KeyState;
  answer?: KeptAnswer;
}

/** What a home can say of a key before it acts on it. */
export enum KeyStanding {
  Unused = "unused",
  Recorded = "recorded",
  Forgotten = "forgotten",
  EarlierIncarnation = "earlier-incarnation",
  /** Issued by another host, as when an address was given to a new one. */
  OtherHome = "other-home",
  Malformed = "malformed",
}

/** Settings of a key book. */
export interface KeyBookOptions {
  readonly home: HostId;
  readonly incarnation: Incarnation;
  /** Records kept; older finished ones give way. */
  readonly capacity: number;
}

/** The keys of one guard. */
export interface KeyBook {
  /** A new key for an account. */
  issue(account: AccountName): string;
  getStanding(key: string, account: AccountName): KeyStanding;
  tryGetRecord(key: string): KeyRecord | undefined;
  open(key: string, fingerprint: string): KeyRecord;
  getHorizon(): number;
  size(): number;
}

/** Reads a key's parts, or undefined where the text is no key. */
export function tryParseKey(text: string): IdempotencyKey | undefined {
  const parts = text.split(SEPARATOR);
  if (parts.length < 4) return undefined;
  const [incarnation, sequenceText, digest] = parts.splice(-3) as [
    string,
    string,
    string,
  ];
  // A host may be named by an address, which holds the separator itself.
  const home = parts.join(SEPARATOR);
  if (!/^[1-9][0-9]{0,14}$/.test(sequenceText)) return undefined;
  if (home === "" || incarnation === "" || digest === "") return undefined;
  return { home, incarnation, sequence: Number(sequenceText), digest };
}

/** Creates an empty book. */
export function createKeyBook(
  host: CoreHost,
  options: KeyBookOptions,
): KeyBook {
  const records = new Map<number, KeyRecord>();
  let lastIssued = 0;
  let horizon = 0;
  return {
    issue,
    getStanding,
    tryGetRecord,
    open,
    getHorizon: () => horizon,
    size: () => records.size,
  };

  function issue(account: AccountName): string {
    lastIssued += 1;
    return [
      options.home,
      options.incarnation,
      lastIssued,
      getDigest(lastIssued, account),
    ].join(SEPARATOR);
  }

  function getStanding(text: string, account: AccountName): KeyStanding {
    const key = tryParseKey(text);
    if (key === undefined) return KeyStanding.Malformed;
    if (key.home !== options.home) return KeyStanding.OtherHome;
    if (key.incarnation !== options.incarnation) {
      return KeyStanding.EarlierIncarnation;
    }
    const isGenuine = key.sequence <= lastIssued &&
      key.digest === getDigest(key.sequence, account);
    if (!isGenuine) return KeyStanding.Malformed;
    if (records.has(key.sequence)) return KeyStanding.Recorded;
    return key.sequence <= horizon ? KeyStanding.Forgotten : KeyStanding.Unused;
  }

  function tryGetRecord(text: string): KeyRecord | undefined {
    const key = tryParseKey(text);
    return key === undefined ? undefined : records.get(key.sequence);
  }

  function open(text: string, fingerprint: string): KeyRecord {
    const key = Debug.checkDefined(tryParseKey(text), "an issued key");
    Debug.assert(
      !records.has(key.sequence) && key.sequence > horizon,
      "a key is opened once, above the horizon",
    );
    makeRoom();
    const record = {
      sequence: key.sequence,
      fingerprint,
      state: KeyState.Queued,
    };
    records.set(key.sequence, record);
    return record;
  }

  function makeRoom(): void {
    if (records.size < options.capacity) return;
    for (const record of records.values()) {
      if (!isFinished(record)) continue;
      records.delete(record.sequence);
      horizon = Math.max(horizon, record.sequence);
      return;
    }
  }

  function getDigest(sequence: number, account: AccountName): string {
    const text = `${options.incarnation} ${sequence} ${account}`;
    return host.sign(text).slice(0, DIGEST_LENGTH);
  }
}

function isFinished(record: KeyRecord): boolean {
  return record.state === KeyState.Answered ||
    record.state === KeyState.Sealed || record.state === KeyState.InDoubt;
}
