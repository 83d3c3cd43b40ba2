/** The operations page names every log event of the platform's daemon. */

import { readFileSync } from "node:fs";
import { expect, test } from "vitest";
import { UpstreamChange } from "../src/core/upstream_list.ts";
import { HostStatus } from "../src/core/host_status.ts";
import { GatewayActionKind } from "../src/core/types.ts";

/** Modules of the platform's daemon that write log lines. */
const MODULES = [
  "platform/main.ts",
  "src/daemon/caller_connections.ts",
  "src/daemon/gateway_task.ts",
  "src/daemon/graceful_stop.ts",
  "src/daemon/guard_task.ts",
  "src/daemon/ingress_server.ts",
  "src/daemon/logger.ts",
  "src/daemon/unread_sockets.ts",
  "src/daemon/suspect_exchange.ts",
  "src/daemon/store_daemon.ts",
  "src/daemon/store_task.ts",
];
const LOG_CALL = /logger\.(?:debug|info|warn|error)\(\s*"([a-z_]+)"/g;
/** Events whose names are composed at run time. */
const COMPOSED_EVENTS = [
  ...Object.values(UpstreamChange).map((change) => `upstream_${change}`),
  ...Object.values(HostStatus).map((status) => `host_${status}`),
  "placed",
  "request_suspected",
  "request_quarantined",
  "request_released",
  ...[
    GatewayActionKind.Run,
    GatewayActionKind.Settle,
    GatewayActionKind.Release,
    GatewayActionKind.Cancel,
  ].map((kind) => `attempt_${kind}`),
];

test("every event of the log is explained", () => {
  const page = readFileSync("docs/OPERATIONS.md", "utf8");
  const events = new Set(COMPOSED_EVENTS);
  for (const file of MODULES) {
    for (const [, event] of readFileSync(file, "utf8").matchAll(LOG_CALL)) {
      events.add(event!);
    }
  }
  expect(events.size).toBeGreaterThan(30);
  const missing = [...events].filter((event) => !page.includes(`\`${event}\``));
  expect(missing).toEqual([]);
});
