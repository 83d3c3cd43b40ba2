/** Command `vanillarock explain`. */

import { Command, Option } from "clipanion";
import { runExplain } from "./run_explain.ts";

/** Shows where a request would be sent now, and why. */
export class ExplainCommand extends Command {
  static override paths = [["explain"]];
  static override usage = Command.Usage({
    description: "Show where a daemon would send a request now, and why",
    details:
      "Queries a running daemon; nothing is sent, and the daemon's state does " +
      "not change. Exits 0 if the request would be sent, 1 if the daemon would " +
      "refuse it, 2 if arguments are invalid or the daemon gives no explanation.",
    examples: [
      [
        "A read of a board",
        "vanillarock explain --operators 127.0.0.1:7401 --account karaca --path /boards/7",
      ],
      [
        "An upload by hostname, as JSON",
        "vanillarock explain --operators 127.0.0.1:7401 --hostname boards.karaca.example --method POST --path /boards --body-bytes 40000 --timeout-ms 800 --json",
      ],
    ],
  });

  operators = Option.String("--operators", { required: true });
  account = Option.String("--account");
  hostname = Option.String("--hostname");
  method = Option.String("--method", "GET");
  requestPath = Option.String("--path", { required: true });
  bodyBytes = Option.String("--body-bytes", "0");
  timeoutMs = Option.String("--timeout-ms");
  json = Option.Boolean("--json", false);

  execute(): Promise<number> {
    return runExplain({
      operators: this.operators,
      account: this.account,
      hostname: this.hostname,
      method: this.method,
      path: this.requestPath,
      bodyBytes: this.bodyBytes,
      timeoutMs: this.timeoutMs,
      json: this.json,
    }, this.context);
  }
}
