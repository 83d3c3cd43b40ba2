/** Selection of the HTTP headers that are forwarded. */

import type { IncomingHttpHeaders } from "node:http";
import { Header } from "./wire.ts";

const HOP_BY_HOP = new Set([
  "connection",
  "keep-alive",
  "proxy-authenticate",
  "proxy-authorization",
  "proxy-connection",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
  "expect",
  "host",
]);

const INTERNAL = new Set<string>([
  Header.Step,
  Header.Ticket,
  Header.Head,
  Header.Grant,
  Header.Report,
  Header.Notice,
  Header.NoticeBornAt,
  Header.UpstreamEnds,
  Header.VerdictJson,
  Header.Revisions,
  Header.From,
]);

/** Removes hop-by-hop headers and those internal to the daemons. */
export function getForwardHeaders(
  headers: IncomingHttpHeaders,
): Record<string, string | string[]> {
  const result: Record<string, string | string[]> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined || HOP_BY_HOP.has(name) || INTERNAL.has(name)) {
      continue;
    }
    result[name] = value;
  }
  return result;
}

/** The value of a header, or the first if it occurs more than once. */
export function getHeader(
  headers: IncomingHttpHeaders,
  name: string,
): string | undefined {
  const value = headers[name];
  return Array.isArray(value) ? value[0] : value;
}
