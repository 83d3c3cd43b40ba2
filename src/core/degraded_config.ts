/**
 * The active configuration. A published one replaces it if its version is
 * newer; the active version supplies what the published one can't express: the
 * place of an unreadable route, services, limits, and fields of columns that are
 * missing.
 */

import type {
  CallerLimits,
  DegradedPart,
  PrefixRoute,
  PublishedConfig,
  PublishedRoute,
  PublishedService,
  RoutePart,
  RoutingConfig,
  UnreadableRoute,
} from "./routing_types.ts";
import { Repeatability, type ServiceName } from "./types.ts";

/** What became of a published configuration. */
export enum ConfigOutcome {
  Applied = "applied",
  /** Its version is not newer than the active one. */
  Older = "older",
  /** Its version, or without an active version its table of routes, can't be read. */
  Unusable = "unusable",
}

/** Result of applying a published configuration. */
export interface ConfigUpdate {
  readonly outcome: ConfigOutcome;
  /** Problems that were not reported before. */
  readonly problems: readonly DegradedPart[];
}

/** The active configuration of a daemon. */
export interface ActiveConfig {
  tryGet(): RoutingConfig | undefined;
  apply(published: PublishedConfig): ConfigUpdate;
}

/** Characters of an unknown service's name that a problem shows, at most. */
const MAX_FOUND_LENGTH = 60;

/** Version of a configuration whose own can't be read, served until a readable one is published. */
const UNREADABLE_VERSION = 0;

/**
 * Limits that were never readable. A header may be as large as the daemon
 * parses. Bodies above half a megabyte are streamed, so a large bound costs no
 * memory, while a small one would reject requests for good. The times are
 * Node's default for headers, used for both.
 */
const DEFAULT_LIMITS: CallerLimits = {
  maxHeaderBytes: 131_072,
  maxBodyBytes: 16_777_216,
  headerTimeoutMs: 60_000,
  idleTimeoutMs: 60_000,
};

/**
 * Fields of routes whose column is missing, without an active route of the same
 * name: the least that may be assumed, and the longest objective that
 * deployments have.
 */
const DEFAULT_FIELDS = {
  repeatability: Repeatability.AtMostOnce,
  timeoutMs: 1_500,
  priority: 0,
  maxRuns: 1,
} satisfies Partial<PrefixRoute>;

const FIELDS = [
  "name",
  "hostname",
  "prefix",
  "repeatability",
  "timeoutMs",
  "objectiveMs",
  "priority",
  "maxRuns",
  "parts",
] as const satisfies readonly (keyof PrefixRoute)[];

/** Creates the state of a daemon without a configuration. */
export function createActiveConfig(): ActiveConfig {
  let active: RoutingConfig | undefined;
  let isVersionKnown = false;
  /** Problems of the last unusable configuration, which the store may deliver several times. */
  let unusable = "";
  return { tryGet: () => active, apply };

  function apply(published: PublishedConfig): ConfigUpdate {
    const { version } = published;
    if (active !== undefined) {
      if (version === undefined) return reject(published);
      if (isVersionKnown && version <= active.version) {
        return { outcome: ConfigOutcome.Older, problems: [] };
      }
    }
    const merged = mergeWithActive(published, active);
    if (merged === undefined) return reject(published);
    active = merged;
    isVersionKnown = version !== undefined;
    return { outcome: ConfigOutcome.Applied, problems: merged.problems };
  }

  function reject({ problems }: PublishedConfig): ConfigUpdate {
    const text = JSON.stringify(problems);
    const isReported = text === unusable;
    unusable = text;
    return {
      outcome: ConfigOutcome.Unusable,
      problems: isReported ? [] : problems,
    };
  }
}

/**
 * Completes a published configuration from the active one. Returns undefined if
 * there is no table of routes to serve.
 */
export function mergeWithActive(
  published: PublishedConfig,
  active: RoutingConfig | undefined,
): RoutingConfig | undefined {
  const rows = findRows(published, active);
  if (rows === undefined) return undefined;
  const problems = [...published.problems];
  const services = mergeServices(published.services, active);
  const { routes, unreadable } = mergeRoutes(rows, {
    active,
    isKnown: services.isKnown,
    problems,
  });
  return {
    version: published.version ?? UNREADABLE_VERSION,
    routes,
    unreadable,
    services: new Set([
      ...services.names,
      ...routes.flatMap(({ parts }) => parts.map(({ service }) => service)),
    ]),
    healthPaths: services.healthPaths,
    coldRatePerS: services.coldRatePerS,
    maxConnections: services.maxConnections,
    limits: { ...DEFAULT_LIMITS, ...active?.limits, ...published.limits },
    problems,
  };
}

/** The rows to serve: the active ones if the table can't be read, or no row of it tells its place. */
function findRows(
  { routes }: PublishedConfig,
  active: RoutingConfig | undefined,
): readonly PublishedRoute[] | undefined {
  if (active === undefined) return routes;
  const activeRows = indexRows(active);
  const isPlaced = (row: PublishedRoute) =>
    statesPlace(row) || findKnown(row.fields, activeRows) !== undefined;
  const isUsable = routes !== undefined &&
    (routes.length === 0 || routes.some(isPlaced));
  return isUsable ? routes : toPublishedRoutes(active);
}

/** The active routes as rows, for a version whose table can't be read. */
function toPublishedRoutes(active: RoutingConfig): PublishedRoute[] {
  return [
    ...active.routes.map((fields) => ({ fields, isReadable: true })),
    ...active.unreadable.map((fields) => ({ fields, isReadable: false })),
  ].map((row) => ({ ...row, row: `routes.${row.fields.name ?? ""}` }));
}

interface MergedServices {
  readonly names: ReadonlySet<ServiceName>;
  readonly healthPaths: ReadonlyMap<ServiceName, string>;
  readonly coldRatePerS: ReadonlyMap<ServiceName, number>;
  readonly maxConnections: ReadonlyMap<ServiceName, number>;
  isKnown(service: ServiceName): boolean;
}

/** A row without a readable name may be that of any service that the others don't name. */
function mergeServices(
  rows: readonly PublishedService[] | undefined,
  active: RoutingConfig | undefined,
): MergedServices {
  const isComplete = rows !== undefined &&
    rows.every(({ name }) => name !== undefined);
  const names = new Set<ServiceName>();
  const namedBefore = isComplete ? [] : active?.services ?? [];
  const healthPaths = new Map<ServiceName, string>(
    isComplete ? [] : active?.healthPaths,
  );
  const coldRatePerS = new Map<ServiceName, number>(
    isComplete ? [] : active?.coldRatePerS,
  );
  const maxConnections = new Map<ServiceName, number>(
    isComplete ? [] : active?.maxConnections,
  );
  for (const { name, healthPath, isReadable, ...row } of rows ?? []) {
    if (name === undefined) continue;
    names.add(name);
    const known = isReadable === false ? active : undefined;
    setOrDelete(
      coldRatePerS,
      name,
      row.coldRatePerS ?? known?.coldRatePerS?.get(name),
    );
    setOrDelete(
      maxConnections,
      name,
      row.maxConnections ?? known?.maxConnections?.get(name),
    );
    const path = healthPath ?? active?.healthPaths.get(name);
    if (path !== undefined) healthPaths.set(name, path);
  }
  return {
    names: new Set([...names, ...namedBefore]),
    healthPaths,
    coldRatePerS,
    maxConnections,
    isKnown: (name) => !isComplete || names.has(name),
  };
}

function setOrDelete<K, V>(map: Map<K, V>, key: K, value: V | undefined): void {
  if (value === undefined) map.delete(key);
  else map.set(key, value);
}

interface RouteContext {
  readonly active: RoutingConfig | undefined;
  /** Receives what is found here. */
  readonly problems: DegradedPart[];
  isKnown(service: ServiceName): boolean;
}

function mergeRoutes(
  rows: readonly PublishedRoute[],
  context: RouteContext,
): Pick<RoutingConfig, "routes" | "unreadable"> {
  const activeRows = indexRows(context.active);
  const routes: PrefixRoute[] = [];
  const failed: FailedRow[] = [];
  for (const row of rows) {
    const known = findKnown(row.fields, activeRows);
    const name = row.fields.name ?? known?.name;
    const hostname = row.fields.hostname ?? known?.hostname;
    const prefix = row.fields.prefix ?? known?.prefix;
    if (hostname === undefined || prefix === undefined) continue;
    const route = tryComplete(row, { hostname, prefix, known, context });
    const routesBefore = routes.length;
    if (route !== undefined) routes.push(route);
    else failed.push({ row, name, hostname, prefix, routesBefore });
  }
  const unreadable = failed.filter(createTakenFilter(rows, routes))
    .map(({ name, hostname, prefix }) => ({
      ...(name !== undefined && { name }),
      hostname,
      prefix,
    }));
  return { routes, unreadable };
}

interface FailedRow {
  readonly row: PublishedRoute;
  readonly name: string | undefined;
  readonly hostname: string;
  readonly prefix: string;
  /** Number of routes whose rows come before it. */
  readonly routesBefore: number;
}

/**
 * A row affects no other one: an earlier route of its place comes first, and a
 * place that is only assumed belongs to the row that states it.
 */
function createTakenFilter(
  rows: readonly PublishedRoute[],
  routes: readonly PrefixRoute[],
): (failed: FailedRow) => boolean {
  let firstRoutes: Map<string, number> | undefined;
  let stated: Set<string> | undefined;
  return (failed) => {
    firstRoutes ??= new Map(
      routes.map((it, index) => [getPlace(it), index] as const).reverse(),
    );
    stated ??= new Set(
      rows.filter(statesPlace).map(({ fields }) => getPlace(fields)),
    );
    const { hostname, prefix } = failed;
    const place = getPlace({ hostname, prefix });
    const firstRoute = firstRoutes.get(place) ?? Infinity;
    if (firstRoute < failed.routesBefore) return false;
    return statesPlace(failed.row) || !stated.has(place);
  };
}

type ActiveRow = PrefixRoute | UnreadableRoute;

/** Active rows by name, and by place for rows that state no name. */
interface ActiveRows {
  readonly byName: ReadonlyMap<string, ActiveRow>;
  readonly byPlace: ReadonlyMap<string, ActiveRow>;
}

function indexRows(active: RoutingConfig | undefined): ActiveRows {
  const byName = new Map<string, ActiveRow>();
  const byPlace = new Map<string, ActiveRow>();
  for (const row of [...active?.unreadable ?? [], ...active?.routes ?? []]) {
    if (row.name !== undefined) byName.set(row.name, row);
    byPlace.set(getPlace(row), row);
  }
  return { byName, byPlace };
}

/** A row that states no name keeps that of its place, by which a later version may tell its place. */
function findKnown(
  fields: Partial<PrefixRoute>,
  { byName, byPlace }: ActiveRows,
): ActiveRow | undefined {
  return fields.name === undefined
    ? byPlace.get(getPlace(fields))
    : byName.get(fields.name);
}

function statesPlace({ fields }: PublishedRoute): boolean {
  return fields.hostname !== undefined && fields.prefix !== undefined;
}

/** A hostname in a request has no slash, and a prefix begins with one. */
function getPlace({ hostname, prefix }: Partial<PrefixRoute>): string {
  return `${hostname}${prefix}`;
}

interface Place {
  readonly hostname: string;
  readonly prefix: string;
  /** The active row of the same name. */
  readonly known: PrefixRoute | UnreadableRoute | undefined;
  readonly context: RouteContext;
}

/** Returns undefined if the row is unreadable or names no known service. */
function tryComplete(
  { row, fields, isReadable }: PublishedRoute,
  { hostname, prefix, known, context }: Place,
): PrefixRoute | undefined {
  if (!isReadable) return undefined;
  if (isComplete(fields) && areKnown(fields.parts, context)) return fields;
  const { parts, ...given } = { ...DEFAULT_FIELDS, ...known, ...fields };
  const knownParts = findKnownParts(parts ?? [], { row, context });
  if (knownParts === undefined) return undefined;
  return {
    name: `${hostname}${prefix}`,
    objectiveMs: given.timeoutMs,
    ...given,
    hostname,
    prefix,
    parts: knownParts,
  };
}

function isComplete(fields: Partial<PrefixRoute>): fields is PrefixRoute {
  return FIELDS.every((field) => fields[field] !== undefined);
}

function areKnown(
  parts: readonly RoutePart[],
  { isKnown }: RouteContext,
): boolean {
  return parts.length > 0 && parts.every(({ service }) => isKnown(service));
}

/** Returns undefined if no known service gets a share of the requests. */
function findKnownParts(
  parts: readonly RoutePart[],
  { row, context }: { row: string; context: RouteContext },
): readonly RoutePart[] | undefined {
  const unknown = parts.find(({ service }) => !context.isKnown(service));
  if (unknown === undefined) return parts.length === 0 ? undefined : parts;
  if (context.problems.every((problem) => problem.row !== row)) {
    const found = JSON.stringify(unknown.service.slice(0, MAX_FOUND_LENGTH));
    context.problems.push({ row, field: "service", found });
  }
  const known = parts.filter(({ service }) => context.isKnown(service));
  return known.some(({ weight }) => weight > 0) ? known : undefined;
}
