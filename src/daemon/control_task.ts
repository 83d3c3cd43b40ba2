/**
 * Control plane of a gossip daemon: exchanges membership and configuration with
 * peers over gRPC.
 */

import {
  Client,
  credentials,
  type handleUnaryCall,
  Metadata,
  Server,
  ServerCredentials,
} from "@grpc/grpc-js";
import { Buffer } from "node:buffer";
import type { ConfigState } from "../core/config_state.ts";
import type { ControlSend, HostPlace } from "../core/config_types.ts";
import type { Membership } from "../core/membership.ts";
import { createGossip, type GossipOptions } from "../core/gossip.ts";
import type { Gossip } from "../core/gossip.ts";
import type { CoreHost, HostId, Incarnation } from "../core/types.ts";
import {
  type ControlEnvelope,
  decodeEnvelope,
  encodeEnvelope,
} from "../link/control_codec.ts";
import type { Logger } from "./logger.ts";

const DELIVER_PATH = "/vanillarock.control.Control/Deliver";
const DELIVER_TIMEOUT_MS = 2_000;
const MAX_MESSAGE_BYTES = 8_000_000;
/** Mean time between gossip rounds, in ms. */
const ROUND_MS = 1_000;
const FANOUT = 3;

/** Settings of the task. */
export interface ControlTaskOptions<T> {
  readonly place: HostPlace;
  readonly incarnation: Incarnation;
  readonly config: ConfigState<T>;
  readonly membership: Membership;
  readonly logger: Logger;
  /** IP address and port of the control listener. */
  readonly address: string;
  /** Control addresses to greet before any member is known. */
  readonly seedPeers: readonly string[];
  onAccepted: GossipOptions<T>["onAccepted"];
  onRejected: GossipOptions<T>["onRejected"];
}

/** Runs the control plane until it is closed. */
export interface ControlTask {
  readonly gossip: Gossip;
  start(): Promise<void>;
  send(sends: readonly ControlSend[]): void;
  /** Greets the seed peers; resolves once each call has succeeded or failed. */
  greetSeedPeers(): Promise<void>;
  /** Bytes of the control messages sent and received. */
  getBytes(): number;
  close(): Promise<void>;
}

const EMPTY_REPLY = Buffer.alloc(0);
const identity = (bytes: Buffer): Buffer => bytes;

const serviceDefinition = {
  deliver: {
    path: DELIVER_PATH,
    requestStream: false,
    responseStream: false,
    requestSerialize: identity,
    requestDeserialize: identity,
    responseSerialize: identity,
    responseDeserialize: identity,
  },
} as const;

/** Creates the task; it listens after `start`. */
export function createControlTask<T>(
  host: CoreHost,
  options: ControlTaskOptions<T>,
): ControlTask {
  const { membership, logger } = options;
  const gossip = createGossip(host, {
    ...options,
    fanout: FANOUT,
  });
  const clients = new Map<string, Client>();
  let server: Server | undefined;
  let timer: NodeJS.Timeout | undefined;
  let bytes = 0;
  return {
    gossip,
    start,
    send,
    greetSeedPeers,
    getBytes: () => bytes,
    close,
  };

  async function start(): Promise<void> {
    server = new Server({
      "grpc.max_receive_message_length": MAX_MESSAGE_BYTES,
    });
    server.addService(serviceDefinition, { deliver: onDeliver });
    await new Promise<void>((resolve, reject) => {
      server!.bindAsync(
        options.address,
        ServerCredentials.createInsecure(),
        (error) => error ? reject(error) : resolve(),
      );
    });
    scheduleRound();
  }

  function scheduleRound(): void {
    const delay = ROUND_MS * (0.5 + host.random());
    timer = setTimeout(() => {
      send(gossip.tick());
      scheduleRound();
    }, delay);
    timer.unref();
  }

  function onDeliver(
    call: Parameters<handleUnaryCall<Buffer, Buffer>>[0],
    reply: Parameters<handleUnaryCall<Buffer, Buffer>>[1],
  ): void {
    bytes += call.request.length;
    const decoded = decodeEnvelope(call.request);
    if (decoded.err) {
      gossip.counters.add("malformed_peer_message");
      logger.warn("control_malformed", { message: decoded.val });
    } else handleEnvelope(decoded.val);
    reply(null, EMPTY_REPLY);
  }

  function handleEnvelope({ from, msg }: ControlEnvelope): void {
    membership.applyAnnouncement(from, { isDirect: true });
    send(gossip.handle(from.host, msg));
  }

  function send(sends: readonly ControlSend[]): void {
    for (const { to, msg } of sends) {
      const address = membership.tryGetPlace(to)?.controlAddress;
      if (address !== undefined) void deliver(address, { to, msg });
    }
  }

  function deliver(
    address: string,
    { msg }: Pick<ControlSend, "msg"> & { to?: HostId },
  ): Promise<void> {
    const encoded = encodeEnvelope({ from: gossip.createAnnouncement(), msg });
    bytes += encoded.length;
    return new Promise((resolve) => {
      getClient(address).makeUnaryRequest(
        DELIVER_PATH,
        identity,
        identity,
        encoded,
        new Metadata(),
        { deadline: Date.now() + DELIVER_TIMEOUT_MS },
        (error) => {
          if (error) onDeliverFailed(address, error.message);
          resolve();
        },
      );
    });
  }

  /** Closes a connection on which a call failed; the next message opens another. */
  function onDeliverFailed(address: string, message: string): void {
    gossip.counters.add("control_undelivered");
    logger.debug("control_undelivered", { address, message });
    clients.get(address)?.close();
    clients.delete(address);
  }

  function getClient(address: string): Client {
    let client = clients.get(address);
    if (client === undefined) {
      client = new Client(address, credentials.createInsecure(), {
        "grpc.max_receive_message_length": MAX_MESSAGE_BYTES,
      });
      clients.set(address, client);
    }
    return client;
  }

  async function greetSeedPeers(): Promise<void> {
    const { msg } = gossip.createHello("");
    await Promise.all(
      options.seedPeers.map((address) => deliver(address, { msg })),
    );
  }

  async function close(): Promise<void> {
    clearTimeout(timer);
    for (const client of clients.values()) client.close();
    await new Promise<void>((resolve) => {
      if (server === undefined) resolve();
      else server.tryShutdown(() => resolve());
    });
  }
}
