/**
 * Configurations with unknown or unreadable parts: what is readable is served,
 * and a fault in one part affects no other one.
 */

import fc from "fast-check";
import { expect, test } from "vitest";
import { decodeRouting } from "../platform/store_entries.ts";
import {
  ConfigOutcome,
  createActiveConfig,
  mergeWithActive,
} from "../src/core/degraded_config.ts";
import { createRouteTable, RouteMatch } from "../src/core/route_table.ts";
import type { RoutingConfig } from "../src/core/routing_types.ts";
import { Repeatability } from "../src/core/types.ts";
import { ROUTE_COLUMNS } from "./platform/mesh.ts";

type Row = readonly unknown[];

const READS: Row = ["reads", "shop", "/read/", "safe", 2, 1, 2, 3, "shop"];
const PHOTOS: Row = ["photos", "shop", "/read/photo/", "upload", 2, 1, 1, 2]
  .concat("shop");
const DATA: Row = ["data", "data", "/", "download", 2, 1, 1, 2, null, [
  { service: "shop", weight: 90 },
  { service: "canary", weight: 10 },
]];
const ROWS = [READS, PHOTOS, DATA];

/** Position of each column of routes. */
const Column = Object.fromEntries(ROUTE_COLUMNS.map((name, i) => [name, i]));

interface Published {
  version: unknown;
  routes: { columns: unknown; rows: unknown };
  services: { columns: unknown; rows: unknown };
  limits: unknown;
}

function createPublished(change: Partial<Published> = {}): Published {
  return {
    version: "00000002",
    routes: { columns: ROUTE_COLUMNS, rows: ROWS },
    services: {
      columns: ["name", "healthCheck"],
      rows: [["shop", "/healthz"], ["canary", "/ok"]],
    },
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 1_000,
      headerTimeoutS: 3,
      idleTimeoutS: 15,
    },
    ...change,
  };
}

function withRows(...rows: unknown[]): Published {
  return createPublished({ routes: { columns: ROUTE_COLUMNS, rows } });
}

function withServices(...rows: unknown[]): Published {
  const columns = ["name", "healthCheck"];
  return createPublished({ services: { columns, rows } });
}

function decode(published: unknown) {
  return decodeRouting(JSON.stringify(published)).unwrap();
}

/** The configuration in force after a version, with or without an active one. */
function merge(published: unknown, active?: RoutingConfig): RoutingConfig {
  const merged = mergeWithActive(decode(published), active);
  if (merged === undefined) throw new Error("nothing to serve");
  return merged;
}

const GOOD = merge(createPublished({ version: "00000001" }));

function find(config: RoutingConfig, hostname: string, path: string) {
  const match = createRouteTable(config).tryMatch(hostname, path);
  return typeof match === "object" ? match.name : match;
}

test("a kind that no source lists runs at most once and harms nothing else", () => {
  const config = merge(withRows(READS.with(3, "odd"), PHOTOS, DATA));
  const kinds = config.routes.map((r) => [r.name, r.repeatability]);
  expect(kinds).toEqual([
    ["reads", Repeatability.AtMostOnce],
    ["photos", Repeatability.AtMostOnce],
    ["data", Repeatability.Idempotent],
  ]);
  expect(config.problems).toEqual([
    { row: "routes.reads", field: "kind", found: '"odd"' },
  ]);
});

test.each(["constructor", "__proto__", "toString", "SAFE", ""])(
  "the kind %s is unknown, although objects have such a property",
  (kind) => {
    const config = merge(withRows(READS.with(3, kind)));
    expect(config.routes[0]?.repeatability).toBe(Repeatability.AtMostOnce);
  },
);

test.each([
  ["name", 7],
  ["name", null],
  ["kind", 7],
  ["kind", null],
  ["timeoutS", "soon"],
  ["timeoutS", 1e300],
  ["sloS", 0],
  ["priority", -1],
  ["attempts", null],
  ["attempts", 1.5],
  ["service", 7],
  ["service", null],
  ["service", "nobody"],
  ["split", []],
  ["split", [{ service: "shop" }]],
])("a route whose %s is %o matches, but can't be served", (column, value) => {
  const row = PHOTOS.concat(null).with(Column[column]!, value);
  for (const active of [undefined, GOOD]) {
    const config = merge(withRows(READS, row, DATA), active);
    // The shorter prefix of the same host name must not answer in its place.
    expect(find(config, "shop", "/read/photo/1")).toBe(RouteMatch.Unreadable);
    expect(find(config, "shop", "/read/1")).toBe("reads");
    expect(config.problems).toHaveLength(1);
    expect(config.problems[0]?.field).toBe(column);
  }
});

test.each([7, null, "read", ""])(
  "a route whose prefix is %o has the prefix of the active route of its name",
  (prefix) => {
    const published = withRows(READS, PHOTOS.with(2, prefix), DATA);
    const config = merge(published, GOOD);
    expect(find(config, "shop", "/read/photo/1")).toBe(RouteMatch.Unreadable);
    // It stays known over several such versions.
    const next = merge(published, config);
    expect(next.unreadable).toEqual(config.unreadable);
    const first = merge(published);
    expect(first.unreadable).toEqual([]);
    expect(find(first, "shop", "/read/photo/1")).toBe("reads");
  },
);

test("a row without any readable value is left out, and the others are served", () => {
  for (const row of [7, null, "photos", {}, []]) {
    const config = merge(withRows(READS, row, DATA), GOOD);
    expect(config.routes.map((r) => r.name)).toEqual(["reads", "data"]);
    expect(config.unreadable).toEqual([]);
    expect(config.problems.map((p) => p.row)).toEqual(["routes.1"]);
  }
});

test("an unreadable row takes no requests of a readable one", () => {
  // An earlier row of the same place answers, as it did before.
  const same = PHOTOS.with(2, "/read/").with(4, "soon");
  expect(find(merge(withRows(READS, same)), "shop", "/read/1")).toBe("reads");
  // Of two rows of one place the first counts, also if it is unreadable.
  expect(find(merge(withRows(same, READS)), "shop", "/read/1"))
    .toBe(RouteMatch.Unreadable);
  // The active prefix was given to another route.
  const moved = READS.with(0, "moved").with(2, "/read/photo/");
  const config = merge(withRows(PHOTOS.with(2, 7), moved), GOOD);
  expect(find(config, "shop", "/read/photo/1")).toBe("moved");
});

test("a split serves its known services; one without any can't be served", () => {
  const split = (...weights: [string, number][]) =>
    DATA.with(9, weights.map(([service, weight]) => ({ service, weight })));
  const config = merge(withRows(split(["shop", 1], ["nobody", 9])));
  expect(config.routes[0]?.parts).toEqual([{ service: "shop", weight: 1 }]);
  expect(config.problems).toEqual([
    { row: "routes.data", field: "service", found: '"nobody"' },
  ]);
  for (const rest of [[], [["shop", 0]]] as [string, number][][]) {
    const none = merge(withRows(split(["nobody", 9], ...rest)));
    expect(find(none, "data", "/")).toBe(RouteMatch.Unreadable);
  }
});

test("unknown columns, fields and keys are ignored", () => {
  const published = createPublished({
    routes: {
      columns: ["new", ...ROUTE_COLUMNS, 7, "__proto__"],
      rows: ROWS.map((row) => ["?", ...row]),
    },
    services: {
      columns: ["name", "healthCheck", "new"],
      rows: [["shop", "/healthz", {}], ["canary", "/ok", null]],
    },
    limits: { ...createPublished().limits as object, new: [] },
  });
  const config = merge({ ...published, new: 1 });
  expect(config).toEqual({ ...merge(createPublished()) });
  expect(config.problems).toEqual([]);
});

test.each(ROUTE_COLUMNS)(
  "without the column %s the active routes or defaults supply its values",
  (column) => {
    const columns = ROUTE_COLUMNS.with(Column[column]!, `${column}2`);
    const published = createPublished({ routes: { columns, rows: ROWS } });
    const config = merge(published, GOOD);
    const isNeeded = column === "name" || column === "split";
    if (!isNeeded) expect(config.routes).toEqual(GOOD.routes);
    // Without names or an active version, what has a default is served.
    const hasDefault = !["host", "prefix", "service", "split"].includes(column);
    const first = merge(published);
    expect(first.routes).toHaveLength(
      hasDefault ? 3 : column === "split" ? 2 : column === "service" ? 1 : 0,
    );
    // Either of two columns has the service: each row without one is reported.
    const reported: Record<string, string[]> = {
      service: ["routes.reads", "routes.photos"],
      split: ["routes.data"],
    };
    expect(first.problems.map((p) => p.row)).toEqual(
      reported[column] ?? [`routes.columns.${column}`],
    );
  },
);

test("without the column of kinds, routes without an active one run at most once", () => {
  const columns = ROUTE_COLUMNS.with(Column.kind!, "kinds");
  const config = merge(createPublished({ routes: { columns, rows: ROWS } }));
  const kinds = config.routes.map((r) => r.repeatability);
  expect(new Set(kinds)).toEqual(new Set([Repeatability.AtMostOnce]));
});

test("an unreadable service keeps its active values", () => {
  for (const path of [7, null, "healthz"]) {
    const published = withServices(["shop", path], ["canary", "/new"]);
    const config = merge(published, GOOD);
    expect(config.healthPaths).toEqual(
      new Map([["shop", "/healthz"], ["canary", "/new"]]),
    );
    expect(config.routes).toEqual(GOOD.routes);
    // Without an active version it gets no health checks.
    const first = merge(published);
    expect(first.healthPaths).toEqual(new Map([["canary", "/new"]]));
    expect(first.routes).toEqual(GOOD.routes);
    expect(first.problems.map((p) => p.row)).toEqual(["services.shop"]);
  }
});

test("a service row without a readable name may be that of any missing service", () => {
  for (const row of [7, null, [null, "/x"], [7, "/x"]]) {
    const config = merge(withServices(row, ["canary", "/new"]), GOOD);
    expect(config.healthPaths.get("shop")).toBe("/healthz");
    expect(config.routes).toEqual(GOOD.routes);
    expect(merge(withServices(row)).routes).toEqual(GOOD.routes);
  }
});

test.each([undefined, null, 7, [], {}, { columns: 7, rows: [] }])(
  "tables of routes or services that are %o keep their active rows",
  (table) => {
    const services = { ...createPublished(), services: table };
    expect(merge(services, GOOD).healthPaths).toEqual(GOOD.healthPaths);
    expect(merge(services).routes).toEqual(GOOD.routes);
    const routes = { ...createPublished(), routes: table };
    expect(merge(routes, GOOD).routes).toEqual(GOOD.routes);
    // Without an active version there is nothing to serve.
    expect(mergeWithActive(decode(routes), undefined)).toBeUndefined();
  },
);

test("routes that are kept from the active version need a known service", () => {
  const published = {
    ...withServices(["canary", "/ok"]),
    routes: 7,
  };
  const config = merge(published, GOOD);
  expect(config.routes.map((r) => r.name)).toEqual(["data"]);
  expect(find(config, "shop", "/read/1")).toBe(RouteMatch.Unreadable);
});

test("each unreadable limit keeps its active value, or has its default", () => {
  const limits = {
    ...createPublished().limits as object,
    maxBodyBytes: "much",
    idleTimeoutS: 1e9,
    headerTimeoutS: 5,
  };
  const config = merge(createPublished({ limits }), GOOD);
  expect(config.limits).toEqual({ ...GOOD.limits, headerTimeoutMs: 5_000 });
  expect(config.problems.map((p) => p.row))
    .toEqual(["limits.maxBodyBytes", "limits.idleTimeoutS"]);
  for (const none of [undefined, 7, null, []]) {
    const kept = merge(createPublished({ limits: none }), GOOD);
    expect(kept.limits).toEqual(GOOD.limits);
    const first = merge(createPublished({ limits: none }));
    expect(Math.min(...Object.values(first.limits))).toBeGreaterThan(0);
    expect(first.routes).toEqual(GOOD.routes);
  }
});

test("an unreadable version changes nothing, and is reported once", () => {
  const state = createActiveConfig();
  state.apply(decode(createPublished()));
  const active = state.tryGet();
  for (const version of ["2", "0000000G", 7, null, undefined]) {
    const odd = decode(withRows(READS));
    const published = { ...odd, ...decode(createPublished({ version })) };
    const first = state.apply(published);
    expect(first.outcome).toBe(ConfigOutcome.Unusable);
    expect(first.problems[0]?.field).toBe("version");
    expect(state.apply(published).problems).toEqual([]);
    expect(state.tryGet()).toBe(active);
  }
});

test("a daemon that starts with an unreadable version serves it until there is a readable one", () => {
  const state = createActiveConfig();
  const unreadable = decode(createPublished({ version: "?" }));
  expect(state.apply(unreadable).outcome).toBe(ConfigOutcome.Applied);
  expect(state.tryGet()?.routes).toEqual(GOOD.routes);
  expect(state.apply(unreadable).outcome).toBe(ConfigOutcome.Unusable);
  const oldest = decode(createPublished({ version: "00000000" }));
  expect(state.apply(oldest).outcome).toBe(ConfigOutcome.Applied);
  expect(state.apply(oldest).outcome).toBe(ConfigOutcome.Older);
});

test("the problems of a version are reported once", () => {
  const state = createActiveConfig();
  const odd = decode(withRows(READS.with(3, "odd")));
  expect(state.apply(odd).problems).toHaveLength(1);
  expect(state.apply(odd).problems).toEqual([]);
});

test("a text that is no configuration is an error", () => {
  const text = JSON.stringify(createPublished());
  for (const bad of ["", "7", "null", "[]", "{}", text.slice(0, -9)]) {
    expect(decodeRouting(bad).err).toBe(true);
  }
});

/** Another value in one column, or another value in place of the row. */
const anyFault = fc.oneof(
  fc.jsonValue().map((value) => ({ column: undefined, value })),
  fc.record({
    column: fc.nat(ROUTE_COLUMNS.length - 1),
    value: fc.oneof(fc.jsonValue(), fc.constantFrom("/", "shop", "reads")),
  }),
);

test("a fault in one row of routes never affects another row", () => {
  const faults = fc.record({
    index: fc.nat(ROWS.length - 1),
    fault: anyFault,
    active: fc.constantFrom(undefined, GOOD),
  });
  fc.assert(fc.property(faults, ({ index, fault, active }) => {
    const { column, value } = fault;
    const changed = column === undefined
      ? value
      : [...ROWS[index]!, null].with(column, value);
    const rows = (ROWS as unknown[]).with(index, changed);
    const { routes } = merge(withRows(...rows), active);
    const others = GOOD.routes.filter((r) => r.name !== ROWS[index]![0]);
    expect(routes).toEqual(expect.arrayContaining(others));
  }));
});

test("a fault in one service never affects the routes of another one", () => {
  fc.assert(fc.property(fc.jsonValue(), fc.boolean(), (fault, isStart) => {
    const active = isStart ? undefined : GOOD;
    const config = merge(withServices(["shop", "/healthz"], fault), active);
    expect(config.healthPaths.get("shop")).toBe("/healthz");
    const names = config.routes.map((r) => r.name);
    expect(names).toEqual(expect.arrayContaining(["reads", "photos", "data"]));
  }));
});

function withoutColumn(column: string, version: string): Published {
  const columns = ROUTE_COLUMNS.map((it) => it === column ? `${it}?` : it);
  return createPublished({ version, routes: { columns, rows: ROWS } });
}

test.each(
  ["name", "host", "prefix"].flatMap((first) =>
    ROUTE_COLUMNS.map((second) => ({ first, second }))
  ),
)(
  "versions that lack $first and then $second keep the routes in their places",
  ({ first, second }) => {
    // Guards against routes that the version between has left without the name by which they are found.
    const state = createActiveConfig();
    state.apply(decode(createPublished({ version: "00000001" })));
    state.apply(decode(withoutColumn(first, "00000002")));
    state.apply(decode(withoutColumn(second, "00000003")));
    const config = state.tryGet()!;
    expect(find(config, "shop", "/read/photo/1")).toBe("photos");
    expect(find(config, "shop", "/read/1")).toBe("reads");
    expect(config.version).toBe(3);
  },
);

test("a table in which no row tells its place leaves the active routes in force", () => {
  const active = merge(withoutColumn("name", "00000001"));
  const config = merge(withoutColumn("prefix", "00000002"), active);
  expect(config.routes.map((it) => it.prefix)).toEqual(
    active.routes.map((it) => it.prefix),
  );
  expect(config.routes.length).toBeGreaterThan(0);
});

test("an unreadable row without a name keeps the name of its place", () => {
  const first = merge(withRows(READS, PHOTOS.with(0, 7), DATA), GOOD);
  const config = merge(withRows(READS, PHOTOS.with(2, 7), DATA), first);
  expect(find(config, "shop", "/read/photo/1")).toBe(RouteMatch.Unreadable);
});

test("active versions never go back, and routes stay, whatever byte is changed", () => {
  const texts = ["00000002", "00000003", "00000001"]
    .map((version) => JSON.stringify(createPublished({ version })));
  const changes = fc.array(
    fc.record({
      text: fc.constantFrom(...texts),
      at: fc.nat(),
      byte: fc.integer({ min: 32, max: 126 }),
      isCut: fc.boolean(),
    }),
    { minLength: 1, maxLength: 6 },
  );
  fc.assert(
    fc.property(changes, (list) => {
      const state = createActiveConfig();
      state.apply(decode(createPublished({ version: "00000001" })));
      let version = 1;
      for (const { text, at, byte, isCut } of list) {
        const i = at % text.length;
        const changed = text.slice(0, i) + String.fromCharCode(byte) +
          (isCut ? "" : text.slice(i + 1));
        const decoded = decodeRouting(changed);
        if (decoded.err) continue;
        state.apply(decoded.val);
        const config = state.tryGet()!;
        expect(config.version).toBeGreaterThanOrEqual(version);
        version = config.version;
        // One byte is in one row at most, or in the name of one column.
        expect(config.routes.length).toBeGreaterThan(0);
      }
    }),
    { numRuns: 2_000 },
  );
});
