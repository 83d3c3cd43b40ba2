/** Verdict of a home on a request whose key it has recorded or can't accept. */

import type { DiagnosticName } from "./diagnostics.ts";
import {
  type KeyRecord,
  KeyStanding,
  KeyState,
  type KeyTable,
} from "./key_table.ts";
import { type AccountName, Execution, type KeptResponse } from "./types.ts";

/** A refusal, or a kept response to replay. */
export type KeyVerdict =
  | { readonly replay: KeptResponse }
  | {
    readonly name: DiagnosticName;
    readonly execution: Execution;
    /** True if a retry soon may succeed. */
    readonly isTransient?: boolean;
  };

/** A key and the request that it came with. */
export interface KeyQuery {
  readonly key: string;
  readonly account: AccountName;
  readonly fingerprint: string;
}

const { NotRun, MayHaveRun, Ran } = Execution;

/** Checks a key; undefined if its request may run now. */
export function checkKey(
  keys: KeyTable,
  query: KeyQuery,
): KeyVerdict | undefined {
  switch (keys.getStanding(query.key, query.account)) {
    case KeyStanding.Unused:
      return undefined;
    case KeyStanding.Malformed:
      return { name: "malformed_key", execution: NotRun };
    case KeyStanding.OtherHome:
      return { name: "wrong_host", execution: MayHaveRun };
    case KeyStanding.EarlierIncarnation:
      return { name: "key_of_earlier_incarnation", execution: MayHaveRun };
    case KeyStanding.Forgotten:
      return { name: "key_forgotten", execution: MayHaveRun };
    case KeyStanding.Recorded:
      return checkRecord(keys.tryGetRecord(query.key)!, query);
  }
}

function checkRecord(record: KeyRecord, query: KeyQuery): KeyVerdict {
  if (record.fingerprint !== query.fingerprint) {
    return { name: "key_mismatch", execution: NotRun };
  }
  switch (record.state) {
    case KeyState.Queued:
    case KeyState.Granted:
    case KeyState.Running:
      return {
        name: "key_in_progress",
        execution: MayHaveRun,
        isTransient: true,
      };
    case KeyState.Sealed:
      return { name: "key_sealed", execution: NotRun };
    case KeyState.InDoubt:
      return { name: "key_in_doubt", execution: MayHaveRun };
    case KeyState.Answered:
      return record.response === undefined
        ? { name: "answer_not_kept", execution: Ran }
        : { replay: record.response };
  }
}
