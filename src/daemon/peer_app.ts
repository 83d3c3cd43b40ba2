/** The handler of peers' messages as a hono application. */

import { RESPONSE_ALREADY_SENT } from "@hono/node-server/utils/response";
import { Hono } from "hono";
import type { HttpEnv } from "./http_server.ts";
import { createPeerHandler, type PeerServerOptions } from "./peer_server.ts";

/** Creates the peers' application. */
export function createPeerApp(options: PeerServerOptions): Hono<HttpEnv> {
  const handle = createPeerHandler(options);
  const app = new Hono<HttpEnv>();
  app.all("*", (c) => {
    handle(c.env.incoming, c.env.outgoing);
    return RESPONSE_ALREADY_SENT;
  });
  return app;
}
