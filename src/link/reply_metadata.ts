/** Decodes what every reply of a guard contains, over HTTP or in frames. */

import type { IncomingHttpHeaders } from "node:http";
import { z } from "zod";
import { Diagnostics } from "../core/diagnostics.ts";
import {
  Execution,
  type HostId,
  type KeptResponse,
  type LoadReport,
  type Verdict,
} from "../core/types.ts";
import { isFinalStatus } from "./final_status.ts";
import { getHeader } from "./http_headers.ts";
import { type GuardReply, ReplyKind } from "./types.ts";
import {
  decodeBornAt,
  decodeEnds,
  decodeNotice,
  decodeReport,
  decodeStartsIn,
  decodeVerdict,
  Header,
} from "./wire.ts";

/** Who replies, and who receives the metadata. */
export interface ReplyMetadataOptions {
  readonly peer: HostId;
  /** Receives the load report and the revisions of a reply. */
  onReplyMetadata(heard: { report?: LoadReport; revisions?: string }): void;
  /** Receives malformed parts of replies. */
  onLinkError(message: string): void;
}

/** Decoder of the metadata of one peer's replies. */
export interface ReplyMetadata {
  /** Passes on the load report and the revisions among the headers. */
  report(headers: IncomingHttpHeaders): void;
  /** A malformed verdict does not prove that nothing ran. */
  decodeRefusal(verdictText: string, grant: string | undefined): GuardReply;
}

/** Stands in for a malformed verdict. */
const UNREADABLE_VERDICT: Verdict = {
  execution: Execution.MayHaveRun,
  diagnostic: Diagnostics.answer_mismatch,
};

const replaySchema = z.object({
  status: z.int().refine(isFinalStatus),
  contentType: z.string(),
  body: z.string(),
  headers: z.record(z.string(), z.union([z.string(), z.array(z.string())]))
    .optional(),
});

/** Decodes a kept response; throws if it is malformed. */
export function decodeReplay(value: unknown): KeptResponse {
  const { headers, ...rest } = replaySchema.parse(value);
  return headers === undefined ? rest : { ...rest, headers };
}

/** Creates a decoder. */
export function createReplyMetadata(
  options: ReplyMetadataOptions,
): ReplyMetadata {
  return { report, decodeRefusal };

  function report(headers: IncomingHttpHeaders): void {
    const revisions = getHeader(headers, Header.Revisions);
    const report = tryReadReport(headers);
    options.onReplyMetadata({
      ...(report !== undefined && { report }),
      ...(revisions !== undefined && { revisions }),
    });
  }

  function decodeRefusal(text: string, grant: string | undefined): GuardReply {
    const decoded = decodeVerdict(text);
    if (decoded.err) options.onLinkError(`malformed verdict: ${decoded.val}`);
    return {
      kind: ReplyKind.Refused,
      verdict: decoded.ok ? decoded.val : UNREADABLE_VERDICT,
      ...(grant !== undefined && { grant }),
    };
  }

  function tryReadReport(headers: IncomingHttpHeaders): LoadReport | undefined {
    const text = getHeader(headers, Header.Report);
    if (text === undefined) return undefined;
    const report = decodeReport(text, options.peer);
    if (report.err) {
      options.onLinkError(`malformed report: ${report.val}`);
      return undefined;
    }
    const startsInMs = decodeStartsIn(
      getHeader(headers, Header.StartsInMs) ?? "",
    );
    const ends = tryReadEnds(headers);
    return {
      ...addNotice(report.val, headers),
      ...(startsInMs !== undefined && { startsInMs }),
      ...(ends && { ends }),
    };
  }

  function tryReadEnds(
    headers: IncomingHttpHeaders,
  ): LoadReport["ends"] | undefined {
    const text = getHeader(headers, Header.UpstreamEnds);
    if (text === undefined) return undefined;
    const ends = decodeEnds(text);
    if (ends.ok) return ends.val;
    options.onLinkError(`malformed ends: ${ends.val}`);
    return undefined;
  }

  function addNotice(
    report: LoadReport,
    headers: IncomingHttpHeaders,
  ): LoadReport {
    const noticeText = getHeader(headers, Header.Notice);
    if (noticeText === undefined) return report;
    const notice = decodeNotice(noticeText);
    if (notice.err) options.onLinkError(`malformed notice: ${notice.val}`);
    if (notice.err) return report;
    const { notice: stated, ...rest } = notice.val;
    const bornAt = decodeBornAt(getHeader(headers, Header.NoticeBornAt) ?? "");
    return {
      ...report,
      ...rest,
      ...(stated && {
        notice: { ...stated, ...(bornAt !== undefined && { bornAt }) },
      }),
    };
  }
}
