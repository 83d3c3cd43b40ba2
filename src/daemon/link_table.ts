/** The links of a daemon: one to its own guard and one to each peer that it uses. */

import type { HostId, LoadReport } from "../core/types.ts";
import { createFrameLink } from "../link/frame_link.ts";
import { createHttpLink } from "../link/http_link.ts";
import type { PieceLimits } from "../link/small_pieces.ts";
import type { GuardLink, GuardReply } from "../link/types.ts";
import type { GuardTask } from "./guard_task.ts";

const CONNECTIONS_PER_LINK = 64;

/** Settings of the table. */
export interface LinkTableOptions {
  readonly self: HostId;
  readonly guard: GuardTask;
  /** IP address and port at which a host accepts messages of its peers, or undefined. */
  tryGetAddress(host: HostId): string | undefined;
  getRevisions(): string;
  onReport(report: LoadReport): void;
  onRevisions(from: HostId, revisions: string): void;
  onMalformed(from: HostId, message: string): void;
  /** True sends attempts in frames; revisions are not exchanged in them. */
  readonly usesFrames?: boolean;
  /** Called for each connection that is opened for frames. */
  onConnect?(): void;
  /** Called for each of them that is closed as its peer was silent within an exchange. */
  onSilent?(): void;
  /** Limits of the small parts of replies. */
  readonly pieces?: PieceLimits;
}

/** The links by host. */
export interface LinkTable {
  get(host: HostId): GuardLink | undefined;
  close(): Promise<void>;
}

/** Creates a table; a link is opened on first use. */
export function createLinkTable(options: LinkTableOptions): LinkTable {
  const links = new Map<HostId, { address: string; link: GuardLink }>();
  const local = createLocalLink(options);
  return { get, close };

  function get(to: HostId): GuardLink | undefined {
    if (to === options.self) return local;
    const address = options.tryGetAddress(to);
    if (address === undefined) return undefined;
    const existing = links.get(to);
    if (existing?.address === address) return existing.link;
    void existing?.link.close();
    const link = open(to, address);
    links.set(to, { address, link });
    return link;
  }

  function open(to: HostId, address: string): GuardLink {
    const create = options.usesFrames ? createFrameLink : createHttpLink;
    return create({
      address,
      self: options.self,
      peer: to,
      connections: CONNECTIONS_PER_LINK,
      getRevisions: options.getRevisions,
      onReplyMetadata: ({ report, revisions }) => {
        if (report !== undefined) options.onReport(report);
        if (revisions !== undefined) options.onRevisions(to, revisions);
      },
      onLinkError: (message) => options.onMalformed(to, message),
      ...(options.onConnect && { onConnect: options.onConnect }),
      ...(options.onSilent && { onSilent: options.onSilent }),
      ...(options.pieces && { pieces: options.pieces }),
    });
  }

  async function close(): Promise<void> {
    await Promise.all([...links.values()].map(({ link }) => link.close()));
  }
}

/** The link to the guard of this process; passes on a load report after each reply to an attempt. */
function createLocalLink(options: LinkTableOptions): GuardLink {
  const { guard } = options;
  return {
    ...guard,
    reserve: (ticket, head) => withReport(guard.reserve(ticket, head)),
    run: (ticket, grant, io) => withReport(guard.run(ticket, grant, io)),
    submit: (ticket, head, io) => withReport(guard.submit(ticket, head, io)),
  };

  async function withReport(reply: Promise<GuardReply>): Promise<GuardReply> {
    const result = await reply;
    options.onReport(guard.guard.getReport());
    return result;
  }
}
