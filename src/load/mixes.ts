/** Traffic of the two deployments, as shares of request kinds. */

/** One kind of request in a mix. */
export interface RequestKind {
  readonly name: string;
  readonly method: "GET" | "POST" | "PUT";
  readonly path: string;
  /** Share of all requests. */
  readonly share: number;
  /** Size of the body, in bytes. */
  readonly bodyBytes: number;
}

/** Traffic mix of an account. */
export interface TrafficMix {
  readonly account: string;
  readonly kinds: readonly RequestKind[];
}

/** Mixes by name. */
export const MIXES: Readonly<Record<string, TrafficMix>> = {
  karaca: {
    account: "karaca",
    kinds: [
      kind("board", "GET", { path: "/boards/", share: 0.6 }),
      kind("swatch", "GET", { path: "/swatches/", share: 0.2 }),
      kind("order", "POST", { path: "/orders", share: 0.05, bodyBytes: 512 }),
      kind("photo", "POST", {
        path: "/photos",
        share: 0.05,
        bodyBytes: 200_000,
      }),
      kind("archive", "GET", { path: "/archive/", share: 0.1 }),
    ],
  },
  mesas: {
    account: "mesas",
    kinds: [
      kind("permit", "GET", { path: "/permisos/", share: 0.5 }),
      kind("rule", "GET", { path: "/normativa/", share: 0.25 }),
      kind("fee", "POST", { path: "/pagos", share: 0.1, bodyBytes: 256 }),
      kind("renewal", "POST", {
        path: "/renovaciones",
        share: 0.05,
        bodyBytes: 2_048,
      }),
      kind("plan", "PUT", { path: "/planos/", share: 0.1, bodyBytes: 200_000 }),
    ],
  },
};

function kind(
  name: string,
  method: RequestKind["method"],
  rest: { path: string; share: number; bodyBytes?: number },
): RequestKind {
  return { name, method, bodyBytes: 0, ...rest };
}
