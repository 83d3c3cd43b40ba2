/** Which HTTP headers travel on. */

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
  Header.VerdictJson,
  Header.Revisions,
  Header.From,
]);

/** Headers that go on to the next hop, without those between daemons. */
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

/** One value of a header that may stand more than once. */
export function getHeader(
  headers: IncomingHttpHeaders,
  name: string,
): string | undefined {
  const value = headers[name];
  return Array.isArray(value) ? value[0] : value;
}
