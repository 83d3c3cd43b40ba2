/** What a home answers to a request whose key it has seen, or can't run. */

import type { DiagnosticName } from "./diagnostics.ts";
import {
  type KeyBook,
  type KeyRecord,
  KeyStanding,
  KeyState,
} from "./key_book.ts";
import { type AccountName, Execution, type KeptAnswer } from "./types.ts";

/** A refusal, or an answer that was kept. */
export type KeyVerdict =
  | { readonly replay: KeptAnswer }
  | {
    readonly name: DiagnosticName;
    readonly execution: Execution;
    /** True where asking again soon may help. */
    readonly isTransient?: boolean;
  };

/** A question about a key. */
export interface KeyQuestion {
  readonly key: string;
  readonly account: AccountName;
  readonly fingerprint: string;
}

const { NotRun, MayHaveRun, Ran } = Execution;

/** Judges a key; undefined where its request may run now. */
export function judgeKey(
  keys: KeyBook,
  question: KeyQuestion,
): KeyVerdict | undefined {
  switch (keys.getStanding(question.key, question.account)) {
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
      return judgeRecord(keys.tryGetRecord(question.key)!, question);
  }
}

function judgeRecord(record: KeyRecord, question: KeyQuestion): KeyVerdict {
  if (record.fingerprint !== question.fingerprint) {
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
      return record.answer === undefined
        ? { name: "answer_not_kept", execution: Ran }
        : { replay: record.answer };
  }
}
