/** Command `vanillarock run`. */

import process from "node:process";
import { Command, Option } from "clipanion";
import { startGossipDaemon } from "../daemon/gossip_daemon.ts";
import { hostSettingsSchema } from "../settings/host_settings.ts";
import { readSettings } from "./files.ts";

/** Runs a gossip daemon until SIGTERM or SIGINT. */
export class RunCommand extends Command {
  static override paths = [["run"]];
  static override usage = Command.Usage({
    description: "Run the daemon beside an upstream",
    details:
      "Serves requests until SIGTERM or SIGINT, then stops gracefully: " +
      "requests in flight are completed. Exits 0 after a graceful stop, 1 " +
      "if the settings are invalid or an address can't be used.",
    examples: [[
      "Run with the settings of a host",
      "vanillarock run --settings examples/hosts/boards-1.yaml",
    ]],
  });

  settings = Option.String("--settings", { required: true });

  async execute(): Promise<number> {
    const settings = await readSettings(this.settings, hostSettingsSchema);
    const daemon = await startGossipDaemon({ settings });
    await waitForSignal();
    await daemon.stop();
    return 0;
  }
}

/** Resolves at the first SIGTERM or SIGINT. */
export function waitForSignal(): Promise<void> {
  return new Promise((resolve) => {
    const keepAlive = setInterval(() => {}, 60_000);
    const done = () => {
      clearInterval(keepAlive);
      resolve();
    };
    // A second SIGTERM must not end the process before its requests complete.
    process.on("SIGTERM", done);
    process.once("SIGINT", done);
  });
}
