/** Command `vanillarock room`. */

import { Command, Option } from "clipanion";
import { findRoom, type RefusedRequest } from "../logs/room.ts";
import { readLines, reportUnreadableLines } from "./files.ts";

/** Shows what room there was when requests were refused, from log files. */
export class RoomCommand extends Command {
  static override paths = [["room"]];
  static override usage = Command.Usage({
    description: "Show the room at the hosts when requests were refused",
    details: "With --id the hosts of the request's service that wrote a line " +
      "in the 100 ms before its refusal: free slots, queued requests, " +
      "slowdown (1: as usual) and the age of this state. Without --id the " +
      "number of refusals by reason, and of those while a host at normal " +
      "speed had two free slots and no queue. Exits 1 if no refusal is found.",
    examples: [
      ["One request", "vanillarock room --id 9c41d07be2a35f68 *.log"],
      ["All refused requests", "vanillarock room *.log"],
    ],
  });

  id = Option.String("--id", { description: "the caller's id of a request" });
  files = Option.Rest({ required: 1, name: "FILE" });

  async execute(): Promise<number> {
    const { refused, unreadable } = findRoom(await readLines(this.files));
    const { stdout, stderr } = this.context;
    const found = this.id === undefined
      ? refused
      : refused.filter(({ id }) => id === this.id);
    const lines = this.id === undefined
      ? summarize(found)
      : found.flatMap(describe);
    for (const line of lines) stdout.write(`${line}\n`);
    reportUnreadableLines(unreadable, stderr);
    if (found.length > 0) return 0;
    stderr.write("no refused request in these lines\n");
    return 1;
  }
}

function describe(it: RefusedRequest): string[] {
  const { time, service, reason, hosts, hasRoom } = it;
  return [
    `${time} service=${service} reason=${reason} room=${hasRoom}`,
    ...hosts.map(({ host, freeSlots, queued, slowdown, ageMs }) =>
      `  ${host} freeSlots=${freeSlots} queued=${queued} ` +
      `slowdown=${slowdown} ageMs=${ageMs}`
    ),
  ];
}

function summarize(refused: readonly RefusedRequest[]): string[] {
  const reasons = [...new Set(refused.map((it) => it.reason))].sort();
  return reasons.map((reason) => {
    const all = refused.filter((it) => it.reason === reason);
    const besideRoom = all.filter((it) => it.hasRoom).length;
    return `reason=${reason} refused=${all.length} besideRoom=${besideRoom}`;
  });
}
