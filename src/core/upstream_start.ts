/**
 * One start of an upstream. Its incarnation may start again under the same name;
 * what is known of the upstream belongs to one start and is filed under it.
 */

/** Names a start of an upstream. */
export interface UpstreamStart {
  readonly instance: string;
  /** Start time as Unix time in ms, if known; only compared for equality. */
  readonly bornAt?: number | undefined;
}

/** Key of a start in maps. */
export function getStartKey({ instance, bornAt }: UpstreamStart): string {
  return bornAt === undefined ? instance : `${instance} ${bornAt}`;
}

/** True unless the two are known to be different starts. */
export function mayBeSameStart(a: UpstreamStart, b: UpstreamStart): boolean {
  return a.instance === b.instance &&
    (a.bornAt === b.bornAt || a.bornAt === undefined || b.bornAt === undefined);
}
