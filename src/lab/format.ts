/** Formats messages of the lab for traces. */

import { ControlKind, type ControlMessage } from "../core/config_types.ts";
import { type GuardMessage, GuardMessageKind } from "../core/types.ts";
import type { LabReply } from "./types.ts";

/** Formats a message to a guard: its kind and, for a reservation, its key. */
export function formatGuardMessage(msg: GuardMessage): string {
  if (msg.kind === GuardMessageKind.Reserve) {
    const key = msg.head.key === undefined ? "" : ` key ${msg.head.key}`;
    return `${msg.kind}${key}`;
  }
  return msg.kind;
}

/** Formats a reply of a guard. */
export function formatReply(reply: LabReply): string {
  switch (reply.kind) {
    case "granted":
      return `granted key ${reply.key}`;
    case "refused": {
      const { execution, diagnostic } = reply.verdict;
      return `refused ${execution} ${diagnostic.reason}`;
    }
    case "answer":
      return `answer ${reply.status} of ${reply.call}`;
  }
}

/** Formats a control message. */
export function formatControlMessage(msg: ControlMessage): string {
  switch (msg.kind) {
    case ControlKind.Hello:
      return `hello ${msg.word.draining ? "draining" : "serving"}`;
    case ControlKind.Index:
      return `index ${
        msg.revisions.map((r) => `${r.key}@${r.revision}`).join(" ")
      }`;
    case ControlKind.Fetch:
      return `fetch ${msg.keys.join(" ")}`;
    case ControlKind.Documents:
      return `documents ${
        msg.documents.map((d) => `${d.key}@${d.revision}`).join(" ")
      }`;
  }
}
