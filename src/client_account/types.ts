/** Client accounts as operators write them: a template and overriding parameters. */

import { z } from "zod";
import { Repeatability } from "../core/types.ts";

const name = z.string().regex(
  /^[a-z0-9][a-z0-9-]{0,62}$/,
  "lower-case letters, digits and hyphens, 63 at most",
);

const routePath = z.string().regex(
  /^\/[^?#\s]*$/,
  "a path that starts with / and has no query",
);

const parameters = {
  /** Timeout of a request that states none, in ms. */
  timeoutMs: z.int().min(1).max(600_000),
  /** Share of a contended upstream, relative to other accounts. */
  weight: z.number().min(0.01).max(1_000),
  /** Retries per successful request. */
  retryBudget: z.number().min(0).max(1),
  /** Hedges per request, before multiplication by tailWeight. */
  hedgeBudget: z.number().min(0).max(1),
  /** Percentile of recent latency after which a hedge is sent. */
  hedgePercentile: z.number().min(50).max(99.99),
  /** Weight of tail latency: scales hedgeBudget, and low values disable probes. */
  tailWeight: z.number().min(0).max(1),
  /** Largest request body, in bytes. */
  maxBodyBytes: z.int().min(0).max(10_000_000_000),
};

/** Schema of a template: every parameter has a value. */
export const templateSchema = z.strictObject({
  kind: z.literal("template"),
  name,
  parameters: z.strictObject(parameters),
});

const routeSchema = z.strictObject({
  path: routePath,
  methods: z.array(
    z.enum(["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"]),
  ).min(1),
  /** Whether a request of this route may be executed more than once. */
  repeatability: z.enum(Repeatability),
  timeoutMs: parameters.timeoutMs.optional(),
});

/** Schema of an account: the name of its template and what overrides it. */
export const accountSchema = z.strictObject({
  kind: z.literal("account"),
  name,
  template: name,
  hostnames: z.array(z.string().min(1)).default([]),
  failureDomains: z.array(z.string().min(1)).min(1),
  services: z.record(
    name,
    z.strictObject({ routes: z.array(routeSchema).min(1) }),
  ),
  parameters: z.strictObject(parameters).partial().prefault({}),
});

/** A template document. */
export type Template = z.output<typeof templateSchema>;
/** An account document. */
export type Account = z.output<typeof accountSchema>;
/** All parameters of an account once its template is applied. */
export type AccountParameters = Template["parameters"];
/** A template or an account. */
export type AccountDocument = Template | Account;
/** One route. */
export type Route = z.output<typeof routeSchema>;

/** An account with its template applied. */
export interface ClientAccount {
  readonly name: string;
  readonly account: Account;
  readonly parameters: AccountParameters;
}

/** Service and route of an account that match a request. */
export interface RouteMatch {
  readonly service: string;
  readonly route: Route;
}
