/** Passes messages of other daemons to the local guard. */

import { EventEmitter } from "node:events";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { StorePosition } from "../core/change_log.ts";
import { type Diagnostic, Diagnostics } from "../core/diagnostics.ts";
import { Execution, type HostId, type Verdict } from "../core/types.ts";
import { getForwardHeaders, getHeader } from "../link/http_headers.ts";
import {
  type ForwardRequest,
  type GuardReply,
  ReplyKind,
} from "../link/types.ts";
import { streamBody } from "../link/stream_body.ts";
import {
  decodeHead,
  encodeBornAt,
  encodeEnds,
  encodeNotice,
  encodeReport,
  encodeStartsIn,
  encodeVerdict,
  Header,
  Step,
} from "../link/wire.ts";
import type { GuardTask } from "./guard_task.ts";
import { runHandler } from "./handler_failure.ts";
import { decodePosition, type PeerState } from "./peer_state.ts";
import {
  canBufferBody,
  hasBody,
  hasUnknownCoding,
  readBody,
} from "./request_body.ts";
import { hasEnded } from "./unread_sockets.ts";

const MAX_KEYS_AT_ONCE = 1_000;
/** Largest message with suspects, in bytes: all that a daemon keeps, with their ends. */
const MAX_SUSPECTS_BYTES = 2_097_152;

/** Largest position in the store, in bytes. */
const MAX_POSITION_BYTES = 256;

/** Settings of the server. */
export interface PeerServerOptions {
  readonly guard: GuardTask;
  getRevisions(): string;
  onRevisions(from: HostId, revisions: string): void;
  onMalformed(diagnostic: Diagnostic, message: string): void;
  /** Called for an exception of a handler, whose sender gets an answer or a cut. */
  onHandlerFailure(error: Error): void;
  /** Handles another daemon's suspects; absent if this daemon exchanges none. */
  receiveSuspects?(body: string): string | undefined;
  /** What this daemon knows of the store after a position; absent if it reads none. */
  tryGetState?(after: StorePosition | undefined): PeerState | undefined;
  /** Streams the store's changes after a revision; absent if this daemon relays none. */
  follow?(after: StorePosition, outgoing: ServerResponse): void;
}

interface PeerMessage {
  readonly incoming: IncomingMessage;
  readonly outgoing: ServerResponse;
  readonly ticket: string;
}

type StepHandler = (msg: PeerMessage) => void | Promise<void>;

/** Creates the request handler for messages of other daemons. */
export function createPeerHandler(
  options: PeerServerOptions,
): (incoming: IncomingMessage, outgoing: ServerResponse) => void {
  const { guard } = options;
  const steps: Record<Step, StepHandler> = {
    [Step.Reserve]: reserve,
    [Step.Run]: run,
    [Step.Submit]: submit,
    [Step.Release]: release,
    [Step.Settle]: settle,
    [Step.Keys]: issueKeys,
    [Step.Ping]: ({ outgoing }) => sendResponse(outgoing, 204),
    [Step.Follow]: follow,
    [Step.State]: sendState,
    [Step.Suspects]: exchangeSuspects,
  };
  return (incoming, outgoing) => {
    // Peers don't use the date, which would be a tenth of a refusal's bytes.
    outgoing.sendDate = false;
    reportRevisions(incoming);
    const step = getHeader(incoming.headers, Header.Step) as Step;
    const ticket = getHeader(incoming.headers, Header.Ticket) ?? "";
    const handler = Object.values(Step).includes(step)
      ? steps[step]
      : undefined;
    if (handler === undefined) refuseMalformed(outgoing, `step ${step}`);
    else if (hasUnknownCoding(incoming)) {
      refuseMalformed(outgoing, "a body in an unknown transfer coding");
    } else {
      const msg = { incoming, outgoing, ticket };
      void runHandler(() => handler(msg), (error) => fail(outgoing, error));
    }
  };

  function fail(outgoing: ServerResponse, error: Error): void {
    options.onHandlerFailure(error);
    if (outgoing.headersSent) return void outgoing.destroy();
    refuse(outgoing, {
      execution: Execution.MayHaveRun,
      diagnostic: Diagnostics.handler_failed,
    });
  }

  function reportRevisions(incoming: IncomingMessage): void {
    const from = getHeader(incoming.headers, Header.From);
    const revisions = getHeader(incoming.headers, Header.Revisions);
    if (from !== undefined && revisions !== undefined) {
      options.onRevisions(from, revisions);
    }
  }

  async function reserve(msg: PeerMessage): Promise<void> {
    const head = readHead(msg);
    if (head === undefined) return;
    sendReply(msg, await guard.reserve(msg.ticket, head));
  }

  async function submit(msg: PeerMessage): Promise<void> {
    const head = readHead(msg);
    if (head === undefined) return;
    const forward = createForward(msg);
    const onAccepted = () => msg.outgoing.writeProcessing();
    sendReply(
      msg,
      await guard.submit(msg.ticket, head, { forward, onAccepted }),
    );
  }

  async function run(msg: PeerMessage): Promise<void> {
    const grant = getHeader(msg.incoming.headers, Header.Grant);
    if (grant === undefined || msg.ticket === "") {
      return refuseMalformed(msg.outgoing, "run without grant or ticket");
    }
    const forward = createForward(msg);
    sendReply(msg, await guard.run(msg.ticket, grant, { forward }));
  }

  function release(msg: PeerMessage): void {
    guard.release(msg.ticket);
    sendResponse(msg.outgoing, 204);
  }

  async function settle(msg: PeerMessage): Promise<void> {
    const account = getHeader(msg.incoming.headers, Header.Account);
    const key = getHeader(msg.incoming.headers, Header.Key);
    if (account === undefined || key === undefined) {
      return refuseMalformed(msg.outgoing, "settle without account or key");
    }
    sendReply(msg, await guard.settle(msg.ticket, { account, key }));
  }

  async function issueKeys(msg: PeerMessage): Promise<void> {
    const { headers } = msg.incoming;
    const account = getHeader(headers, Header.Account) ?? "";
    const count = Number(getHeader(headers, "vanillarock-count"));
    const isValid = account !== "" && Number.isInteger(count) && count > 0 &&
      count <= MAX_KEYS_AT_ONCE;
    if (!isValid) return refuseMalformed(msg.outgoing, "invalid keys request");
    const keys = await guard.issueKeys(account, count);
    sendResponse(msg.outgoing, 200, JSON.stringify(keys));
  }

  function follow(msg: PeerMessage): void {
    const { headers } = msg.incoming;
    const revision = Number(getHeader(headers, Header.After));
    const era = Number(getHeader(headers, Header.Era) ?? 0);
    const isValid = Number.isInteger(revision) && Number.isInteger(era);
    if (options.follow === undefined || !isValid) {
      return refuseMalformed(
        msg.outgoing,
        "follow without a revision, or changes are not relayed here",
      );
    }
    options.follow({ era, revision }, msg.outgoing);
  }

  async function sendState({ incoming, outgoing }: PeerMessage): Promise<void> {
    const body = canBufferBody(incoming, MAX_POSITION_BYTES)
      ? await readBody(incoming)
      : "cut-off";
    if (body === "cut-off") return refuseMalformed(outgoing, "a position");
    const after = decodePosition(body?.toString() ?? "");
    const state = options.tryGetState?.(after);
    if (state === undefined) return sendResponse(outgoing, 503);
    const isNew = after === undefined || state.era !== after.era ||
      state.revision > after.revision;
    sendResponse(outgoing, 200, isNew ? JSON.stringify(state) : "");
  }

  async function exchangeSuspects(msg: PeerMessage): Promise<void> {
    const body = canBufferBody(msg.incoming, MAX_SUSPECTS_BYTES)
      ? await readBody(msg.incoming)
      : "cut-off";
    const reply = body === "cut-off"
      ? undefined
      : options.receiveSuspects?.(body?.toString() ?? "");
    if (reply === undefined) {
      return refuseMalformed(msg.outgoing, "suspects that can't be used here");
    }
    sendResponse(msg.outgoing, 200, reply);
  }

  function readHead(msg: PeerMessage) {
    const text = getHeader(msg.incoming.headers, Header.Head);
    const decoded = text === undefined ? undefined : decodeHead(text);
    if (decoded?.ok && msg.ticket !== "") return decoded.val;
    refuseMalformed(
      msg.outgoing,
      `no ticket or malformed head: ${decoded?.val ?? "missing"}`,
    );
    return undefined;
  }

  function sendReply(msg: PeerMessage, reply: GuardReply): void {
    const { outgoing } = msg;
    if (outgoing.destroyed) return discardResponse(reply);
    switch (reply.kind) {
      case ReplyKind.Granted:
        return sendResponse(outgoing, 200, undefined, {
          [Header.Ticket]: msg.ticket,
          [Header.Grant]: reply.grant,
          [Header.Key]: reply.key,
        });
      case ReplyKind.Replay:
        return sendResponse(outgoing, 200, JSON.stringify(reply.response), {
          [Header.Ticket]: msg.ticket,
          [Header.Replayed]: "true",
        });
      case ReplyKind.Refused:
        return refuse(outgoing, reply.verdict, reply.grant);
      case ReplyKind.Failed:
        outgoing.destroy();
        return;
      case ReplyKind.Response:
        return streamResponse(msg, reply);
    }
  }

  function streamResponse(
    msg: PeerMessage,
    reply: Extract<GuardReply, { kind: ReplyKind.Response }>,
  ): void {
    const { status, headers, body } = reply.response;
    try {
      msg.outgoing.writeHead(status, {
        ...getForwardHeaders(headers),
        ...createHeaders(msg.incoming),
        [Header.Ticket]: msg.ticket,
      });
    } catch (error) {
      discardResponse(reply);
      throw error;
    }
    streamBody(body, msg.outgoing, () => {});
  }

  function refuse(
    outgoing: ServerResponse,
    verdict: Verdict,
    grant?: string,
  ): void {
    sendResponse(outgoing, verdict.diagnostic.status, undefined, {
      [Header.VerdictJson]: encodeVerdict(verdict),
      ...(grant !== undefined && { [Header.Grant]: grant }),
    });
  }

  function refuseMalformed(outgoing: ServerResponse, message: string): void {
    const diagnostic = Diagnostics.malformed_peer_message;
    options.onMalformed(diagnostic, message);
    refuse(outgoing, { execution: Execution.NotRun, diagnostic });
  }

  function sendResponse(
    outgoing: ServerResponse,
    status: number,
    body?: string,
    headers: Record<string, string> = {},
  ): void {
    outgoing.writeHead(status, { ...createHeaders(outgoing.req), ...headers });
    outgoing.end(body);
  }

  /** The load report and, if the peer's message contained its revisions, those in force here. */
  function createHeaders(req: IncomingMessage): Record<string, string> {
    const hasRevisions = req.headers[Header.Revisions] !== undefined;
    return {
      ...createReportHeaders(guard),
      ...(hasRevisions && { [Header.Revisions]: options.getRevisions() }),
    };
  }
}

/** The load report of the local guard, as every reply contains it. */
export function createReportHeaders(
  { guard }: Pick<GuardTask, "guard">,
): Record<string, string> {
  const report = guard.getReport();
  const notice = encodeNotice(report);
  const bornAt = encodeBornAt(report);
  const startsIn = encodeStartsIn(report);
  const ends = encodeEnds(report);
  return {
    [Header.Report]: encodeReport(report),
    ...(notice !== undefined && { [Header.Notice]: notice }),
    ...(bornAt !== undefined && { [Header.NoticeBornAt]: bornAt }),
    ...(startsIn !== undefined && { [Header.StartsInMs]: startsIn }),
    ...(ends !== undefined && { [Header.UpstreamEnds]: ends }),
  };
}

function createForward(msg: PeerMessage): ForwardRequest {
  const { incoming, outgoing } = msg;
  const signal = new EventEmitter();
  outgoing.once("close", () => {
    if (!outgoing.writableFinished) signal.emit("abort");
  });
  return {
    method: incoming.method ?? "GET",
    path: incoming.url ?? "/",
    headers: getForwardHeaders(incoming.headers),
    body: hasBody(incoming) ? incoming : null,
    signal,
    isSenderGone: () => hasEnded(incoming.socket),
  };
}

function discardResponse(reply: GuardReply): void {
  if (reply.kind !== ReplyKind.Response) return;
  if (reply.response.bytes !== undefined) return;
  reply.response.body.on("error", () => {});
  reply.response.body.destroy();
}
