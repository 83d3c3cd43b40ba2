/**
 * Idempotency keys of one guard and the state of their requests.
 *
 * A key names its home (the host whose guard issued it), the home's incarnation
 * and an increasing sequence number. Only that incarnation may run the request,
 * so no clocks, member lists or leases need to be compared. Evicting a record
 * raises the horizon: a key at or below it without a record is refused as
 * MayHaveRun and never run.
 */

import { Debug } from "./debug.ts";
import type {
  AccountName,
  CoreHost,
  HostId,
  Incarnation,
  KeptResponse,
} from "./types.ts";

const SEPARATOR = ".";
const DIGEST_CHARS = 16;

/** The parts of a key. */
export interface IdempotencyKey {
  readonly home: HostId;
  readonly incarnation: Incarnation;
  readonly sequence: number;
  readonly digest: string;
}

/** State of a key's request at its home. */
export enum KeyState {
  Queued = "queued",
  Granted = "granted",
  Running = "running",
  Answered = "answered",
  /** Has not run and never will. */
  Sealed = "sealed",
  /** Passed to the upstream, which sent no response. */
  InDoubt = "in-doubt",
}

/** A home's record of a key. */
export interface KeyRecord {
  readonly sequence: number;
  readonly fingerprint: string;
  state: KeyState;
  response?: KeptResponse;
}

/** Result of looking up a key at a host. */
export enum KeyStanding {
  Unused = "unused",
  Recorded = "recorded",
  Forgotten = "forgotten",
  EarlierIncarnation = "earlier-incarnation",
  /** Issued by another host, as when a new host got the address of an old one. */
  OtherHome = "other-home",
  Malformed = "malformed",
}

/** Settings of a key table. */
export interface KeyTableOptions {
  readonly home: HostId;
  readonly incarnation: Incarnation;
  /** Records kept; beyond it the oldest finished record is evicted. */
  readonly capacity: number;
}

/** The keys of one guard. */
export interface KeyTable {
  /** Issues a new key for an account. */
  issue(account: AccountName): string;
  getStanding(key: string, account: AccountName): KeyStanding;
  tryGetRecord(key: string): KeyRecord | undefined;
  /** Creates the record of an unused key. */
  open(key: string, fingerprint: string): KeyRecord;
  /** Highest sequence number of an evicted record. */
  getHorizon(): number;
  size(): number;
}

/** Parses a key; undefined if the text is malformed. */
export function tryParseKey(text: string): IdempotencyKey | undefined {
  const parts = text.split(SEPARATOR);
  if (parts.length < 4) return undefined;
  const [incarnation, sequenceText, digest] = parts.splice(-3) as [
    string,
    string,
    string,
  ];
  // A host's name may be an address, which contains the separator.
  const home = parts.join(SEPARATOR);
  if (!/^[1-9][0-9]{0,14}$/.test(sequenceText)) return undefined;
  if (home === "" || incarnation === "" || digest === "") return undefined;
  return { home, incarnation, sequence: Number(sequenceText), digest };
}

/** Creates an empty table. */
export function createKeyTable(
  host: CoreHost,
  options: KeyTableOptions,
): KeyTable {
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
    const key = Debug.checkDefined(
      tryParseKey(text),
      "the parsed form of an issued key",
    );
    Debug.assert(
      !records.has(key.sequence) && key.sequence > horizon,
      "a key is opened once, above the horizon",
    );
    evictIfFull();
    const record = {
      sequence: key.sequence,
      fingerprint,
      state: KeyState.Queued,
    };
    records.set(key.sequence, record);
    return record;
  }

  function evictIfFull(): void {
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
    return host.sign(text).slice(0, DIGEST_CHARS);
  }
}

function isFinished(record: KeyRecord): boolean {
  return record.state === KeyState.Answered ||
    record.state === KeyState.Sealed || record.state === KeyState.InDoubt;
}
