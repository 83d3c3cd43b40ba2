/**
 * Documents in force. A document is replaced only by a valid one with a higher
 * revision, so the revision of a key never decreases.
 */

import murmurhash from "murmurhash";
import { err, ok, type Result } from "neverthrow";
import type { ConfigDocument, DocumentRevision } from "./config_types.ts";
import { type Diagnostic, Diagnostics } from "./diagnostics.ts";

/** One error in a document or settings file. */
export interface ConfigProblem {
  /** File or key that contains the error. */
  readonly file: string;
  /** Path of the field, such as services.orders.slots. */
  readonly path: string;
  readonly found: string;
  readonly allowed: string;
}

/** Why a document was rejected. */
export interface ConfigRejection {
  readonly diagnostic: Diagnostic;
  readonly document: ConfigDocument;
  readonly problems: readonly ConfigProblem[];
}

/** A document that came into force. */
export interface AcceptedDocument<T> {
  readonly document: ConfigDocument;
  readonly parsed: T;
}

/** Settings of the state. */
export interface ConfigStateOptions<T> {
  validate(key: string, value: string): Result<T, ConfigProblem[]>;
}

/** The documents in force. */
export interface ConfigState<T> {
  /** Applies a document or returns why it is rejected; Ok(undefined) if it is already in force. */
  apply(
    document: ConfigDocument,
  ): Result<AcceptedDocument<T> | undefined, ConfigRejection>;
  get(key: string): AcceptedDocument<T> | undefined;
  getRevisions(): DocumentRevision[];
  /** 64-bit digest of the keys and revisions in force. */
  getDigest(): string;
  /** Keys whose given revision is higher than the one in force and not the highest one rejected here. */
  getOutdatedKeys(revisions: readonly DocumentRevision[]): string[];
  /** True if some key has a higher revision in force here. */
  isAheadOf(revisions: readonly DocumentRevision[]): boolean;
  forEachAccepted(visit: (accepted: AcceptedDocument<T>) => void): void;
  size(): number;
}

const DIGEST_SEEDS = [0x9747b28c, 0x5bd1e995] as const;

/** Creates an empty state. */
export function createConfigState<T>(
  options: ConfigStateOptions<T>,
): ConfigState<T> {
  const inForce = new Map<string, AcceptedDocument<T>>();
  const rejected = new Map<string, number>();
  const digest = [0, 0];
  return {
    apply,
    get: (key) => inForce.get(key),
    getRevisions,
    getDigest: () => digest.map((part) => (part >>> 0).toString(16)).join("-"),
    getOutdatedKeys,
    isAheadOf,
    forEachAccepted: (visit) => inForce.forEach(visit),
    size: () => inForce.size,
  };

  function apply(
    document: ConfigDocument,
  ): Result<AcceptedDocument<T> | undefined, ConfigRejection> {
    const known = inForce.get(document.key)?.document;
    if (known !== undefined && document.revision < known.revision) {
      return reject(document, Diagnostics.config_older);
    }
    if (known?.revision === document.revision) {
      return known.value === document.value
        ? ok(undefined)
        : reject(document, Diagnostics.config_conflict);
    }
    const parsed = options.validate(document.key, document.value);
    if (parsed.isErr()) {
      recordRejected(document);
      return reject(document, Diagnostics.config_invalid, parsed.error);
    }
    return ok(putInForce({ document, parsed: parsed.value }));
  }

  function putInForce(accepted: AcceptedDocument<T>): AcceptedDocument<T> {
    const { document } = accepted;
    const known = inForce.get(document.key)?.document;
    if (known !== undefined) toggleDigest(known);
    toggleDigest(document);
    inForce.set(document.key, accepted);
    return accepted;
  }

  function toggleDigest(document: DocumentRevision): void {
    const text = `${document.key}@${document.revision}`;
    DIGEST_SEEDS.forEach((seed, index) => {
      digest[index] = digest[index]! ^ murmurhash.v3(text, seed);
    });
  }

  function recordRejected(document: ConfigDocument): void {
    const highest = rejected.get(document.key) ?? 0;
    rejected.set(document.key, Math.max(highest, document.revision));
  }

  function getRevisions(): DocumentRevision[] {
    return [...inForce.values()].map(({ document }) => ({
      key: document.key,
      revision: document.revision,
    }));
  }

  function getOutdatedKeys(revisions: readonly DocumentRevision[]): string[] {
    return revisions
      .filter(({ key, revision }) =>
        revision > getRevision(key) && revision !== rejected.get(key)
      )
      .map(({ key }) => key);
  }

  function isAheadOf(revisions: readonly DocumentRevision[]): boolean {
    const theirs = new Map(revisions.map((r) => [r.key, r.revision]));
    return getRevisions().some((r) => r.revision > (theirs.get(r.key) ?? 0));
  }

  function getRevision(key: string): number {
    return inForce.get(key)?.document.revision ?? 0;
  }
}

function reject(
  document: ConfigDocument,
  diagnostic: Diagnostic,
  problems: readonly ConfigProblem[] = [],
): Result<never, ConfigRejection> {
  return err({ diagnostic, document, problems });
}
