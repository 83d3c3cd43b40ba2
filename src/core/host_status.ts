/** Host statuses and their changes. */

import type { HostId } from "./types.ts";

/** Host status: what a gateway currently holds to be true of a host. */
export enum HostStatus {
  /** It did not reply to an attempt in time. */
  Unresponsive = "silent",
  /** It was unresponsive and replied again. */
  Responsive = "heard",
  /** Another incarnation or service runs at its address. */
  Replaced = "replaced",
}

/** Called on each change of a host status. */
export type HostStatusListener = (
  status: HostStatus,
  about: {
    readonly host: HostId;
    readonly instance?: string;
    /** Incarnation that replaced it, if it is used from now on. */
    readonly current?: string;
  },
) => void;
