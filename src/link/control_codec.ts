/** Protobuf codec of control messages; the only module that uses the generated code. */

import { Buffer } from "node:buffer";
import { Err, Ok, type Result } from "../settings/results.ts";
import {
  ControlKind,
  type ControlMessage,
  type MemberAnnouncement,
} from "../core/config_types.ts";
import { vanillarock } from "../gen/control.js";

const wire = vanillarock.control;

/** A control message with the announcement of its sender. */
export interface ControlEnvelope {
  readonly from: MemberAnnouncement;
  readonly msg: ControlMessage;
}

/** Encodes an envelope. */
export function encodeEnvelope(envelope: ControlEnvelope): Buffer {
  const { from, msg } = envelope;
  const { kind, ...body } = msg;
  const encoded = wire.ControlMessage.encode({
    from,
    [kind]: body,
  } as vanillarock.control.IControlMessage).finish();
  return Buffer.from(encoded);
}

/** Decodes an envelope, or returns what is wrong with it. */
export function decodeEnvelope(bytes: Buffer): Result<ControlEnvelope, string> {
  let decoded: vanillarock.control.ControlMessage;
  try {
    decoded = wire.ControlMessage.decode(bytes);
  } catch (error) {
    return new Err(String(error));
  }
  const from = readAnnouncement(decoded.from);
  if (from === undefined) return new Err("control message has no valid sender");
  const msg = readMessage(decoded);
  return msg === undefined
    ? new Err("control message has no valid body")
    : new Ok({ from, msg });
}

function readMessage(
  decoded: vanillarock.control.ControlMessage,
): ControlMessage | undefined {
  const { hello, index, fetch, documents } = decoded;
  if (hello) return readHello(hello);
  if (index) {
    return {
      kind: ControlKind.Index,
      revisions: (index.revisions ?? []).map(({ key, revision }) => ({
        key: key ?? "",
        revision: revision ?? 0,
      })),
    };
  }
  if (fetch) return { kind: ControlKind.Fetch, keys: fetch.keys ?? [] };
  if (documents) {
    return {
      kind: ControlKind.Documents,
      documents: (documents.documents ?? []).map((document) => ({
        key: document.key ?? "",
        revision: document.revision ?? 0,
        value: document.value ?? "",
      })),
    };
  }
  return undefined;
}

function readHello(
  hello: vanillarock.control.IHello,
): ControlMessage | undefined {
  const word = readAnnouncement(hello.word);
  if (word === undefined) return undefined;
  return {
    kind: ControlKind.Hello,
    word,
    digest: hello.digest ?? "",
    wantsReply: hello.wantsReply ?? false,
    words: (hello.words ?? []).map(readAnnouncement).filter((w) =>
      w !== undefined
    ),
  };
}

function readAnnouncement(
  word: vanillarock.control.IWord | null | undefined,
): MemberAnnouncement | undefined {
  if (!word?.host || !word.incarnation || !word.service) return undefined;
  return {
    host: word.host,
    service: word.service,
    failureDomain: word.failureDomain ?? "",
    dataAddress: word.dataAddress ?? "",
    controlAddress: word.controlAddress ?? "",
    incarnation: word.incarnation,
    sequence: word.sequence ?? 0,
    draining: word.draining ?? false,
  };
}
