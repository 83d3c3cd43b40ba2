/** Commands `vanillarock platform` and `vanillarock upstream`: stand-ins for trials. */

import { readFile } from "node:fs/promises";
import { Command, Option, UsageError } from "clipanion";
import {
  decodeAccountDocument,
  getDocumentKey,
} from "../client_account/decode.ts";
import { decodeYaml, formatProblem } from "../settings/decode.ts";
import {
  createFleetHosts,
  fleetSchema,
  listFleetHosts,
} from "../settings/fleet_settings.ts";
import { startPlatform } from "../stand_in/platform.ts";
import { startUpstream } from "../stand_in/upstream.ts";
import { waitForSignal } from "./run_command.ts";

/** Runs a stand-in of the platform's service. */
export class PlatformCommand extends Command {
  static override paths = [["platform"]];
  static override usage = Command.Usage({
    description: "Run a stand-in of the platform's service",
    details: "Publishes the given templates and accounts and lists the hosts " +
      "of a fleet. PUT /control/values/KEY publishes a value, " +
      "PUT /control/outage/on and /control/stale/on simulate faults.",
    examples: [[
      "The platform of the demo",
      "vanillarock platform --address 127.0.0.1:7001 --fleet examples/fleets/karaca.yaml " +
      "examples/templates/studio.yaml examples/accounts/karaca.yaml",
    ]],
  });

  address = Option.String("--address", { required: true });
  fleet = Option.String("--fleet");
  documents = Option.Rest();

  async execute(): Promise<number> {
    const platform = await startPlatform({ address: this.address });
    for (const file of this.documents) {
      const text = await readFile(file, "utf8");
      const decoded = decodeAccountDocument(text, file);
      if (decoded.err) {
        throw new UsageError(decoded.val.map(formatProblem).join("\n"));
      }
      platform.publish(getDocumentKey(decoded.val), text);
    }
    if (this.fleet !== undefined) {
      const file = this.fleet;
      const text = await readFile(file, "utf8");
      const fleet = decodeYaml(text, { file, schema: fleetSchema });
      if (fleet.err) {
        throw new UsageError(fleet.val.map(formatProblem).join("\n"));
      }
      const basePort = Number(this.address.split(":").at(-1));
      platform.setHosts(
        listFleetHosts(createFleetHosts(fleet.val, { basePort })),
      );
    }
    await waitForSignal();
    await platform.close();
    return 0;
  }
}

/** Runs a stand-in of an upstream. */
export class UpstreamCommand extends Command {
  static override paths = [["upstream"]];
  static override usage = Command.Usage({
    description: "Run a stand-in of an upstream",
    details:
      "PUT /control/behaviour changes how it behaves (slots, serviceMs, " +
      "slowFactor, shedShare, draining, failFast, silent, crossed, short); " +
      "GET /control/journal lists what it ran.",
    examples: [[
      "An upstream with 12 slots",
      "vanillarock upstream --address 127.0.0.1:7501 --slots 12 --service-ms 5",
    ]],
  });

  address = Option.String("--address", { required: true });
  slots = Option.String("--slots", "12");
  serviceMs = Option.String("--service-ms", "5");
  seed = Option.String("--seed", "1");

  async execute(): Promise<number> {
    const upstream = await startUpstream({
      address: this.address,
      seed: Number(this.seed),
      behaviour: {
        slots: Number(this.slots),
        serviceMs: Number(this.serviceMs),
      },
    });
    await waitForSignal();
    await upstream.close();
    return 0;
  }
}
