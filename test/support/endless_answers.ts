/** Bytes without end, in each part of an HTTP response. */

import type { EndlessAnswer } from "./endless_server.ts";

const CHUNK = `1000\r\n${"a".repeat(0x1000)}\r\n`;
const HEADER = "x-filler: aaaaaaaaaaaaaaaa\r\n";
const CHUNKED = "transfer-encoding: chunked\r\n\r\n";

/** Name of each part, and the bytes behind a head without its empty line. */
const PARTS: Record<string, { readonly rest: string; readonly part: string }> =
  {
    "one header": { rest: "x-filler: ", part: "a" },
    "headers": { rest: "", part: HEADER },
    "a body without a length": { rest: "connection: close\r\n\r\n", part: "a" },
    "a body of 10 TB": {
      rest: "content-length: 10000000000000\r\n\r\n",
      part: "a",
    },
    "chunks": { rest: CHUNKED, part: CHUNK },
    "chunks of one byte": { rest: CHUNKED, part: "1\r\na\r\n" },
    "extensions of a chunk": { rest: `${CHUNKED}1;`, part: "a" },
    "chunks with extensions": {
      rest: CHUNKED,
      part: `1;${"a".repeat(8_000)}\r\na\r\n`,
    },
    "trailers": { rest: `${CHUNKED}1\r\na\r\n0\r\n`, part: HEADER },
    "bytes behind the response": {
      rest: "content-length: 2\r\n\r\n{}",
      part: "a",
    },
  };

/** Answers without end to requests that match a pattern, by name. */
export function createEndlessAnswers(
  pattern: string,
  head: string,
): Record<string, EndlessAnswer> {
  const answers: Record<string, EndlessAnswer> = {
    "no response": { pattern, start: "", part: "nonsense " },
    "a status line": { pattern, start: "HTTP/1.1 200 ", part: "a" },
    "informational responses": {
      pattern,
      start: "",
      part: "HTTP/1.1 103 Early Hints\r\n\r\n",
    },
  };
  for (const [name, { rest, part }] of Object.entries(PARTS)) {
    answers[name] = { pattern, start: `HTTP/1.1 ${head}${rest}`, part };
  }
  return answers;
}
