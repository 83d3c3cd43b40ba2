/** The client accounts in force, by name and hostname, and the matching of routes. */

import type {
  Account,
  AccountDocument,
  AccountParameters,
  ClientAccount,
  Route,
  RouteMatch,
  Template,
} from "./types.ts";

/** Accounts in force. */
export interface AccountDirectory {
  /** Applies a document that came into force. */
  apply(document: AccountDocument): void;
  /**
   * Finds an account by name. While the template that it names is missing, the
   * account's earlier version stays in effect; without one it is not found.
   */
  tryGetAccount(name: string): ClientAccount | undefined;
  tryGetByHostname(hostname: string): ClientAccount | undefined;
  forEachAccount(visit: (account: ClientAccount) => void): void;
  size(): number;
}

/** Creates an empty directory. */
export function createAccountDirectory(): AccountDirectory {
  const templates = new Map<string, Template>();
  const accounts = new Map<string, Account>();
  const resolved = new Map<string, ClientAccount>();
  const byHostname = new Map<string, string>();
  return {
    apply: applyDocument,
    tryGetAccount: (name) => resolved.get(name),
    tryGetByHostname,
    forEachAccount: (visit) => resolved.forEach(visit),
    size: () => resolved.size,
  };

  function applyDocument(document: AccountDocument): void {
    if (document.kind === "template") {
      templates.set(document.name, document);
      for (const account of accounts.values()) {
        if (account.template === document.name) resolve(account);
      }
      return;
    }
    accounts.set(document.name, document);
    resolve(document);
  }

  function resolve(account: Account): void {
    const template = templates.get(account.template);
    if (template === undefined) return;
    resolved.set(account.name, applyTemplate(account, template));
    for (const hostname of account.hostnames) {
      byHostname.set(hostname.toLowerCase(), account.name);
    }
  }

  function tryGetByHostname(hostname: string): ClientAccount | undefined {
    const name = byHostname.get(hostname.toLowerCase());
    const account = name === undefined ? undefined : resolved.get(name);
    return account?.account.hostnames.some((h) =>
        h.toLowerCase() === hostname.toLowerCase()
      )
      ? account
      : undefined;
  }
}

/** Merges an account into its template; the account's parameters take precedence. */
export function applyTemplate(
  account: Account,
  template: Template,
): ClientAccount {
  const overrides = Object.entries(account.parameters)
    .filter(([, value]) => value !== undefined);
  const parameters = {
    ...template.parameters,
    ...Object.fromEntries(overrides),
  } as AccountParameters;
  return { name: account.name, account, parameters };
}

/** The route with the longest matching path, or undefined. */
export function tryMatchRoute(
  account: Account,
  request: { method: string; path: string },
): RouteMatch | undefined {
  let best: RouteMatch | undefined;
  for (const [service, { routes }] of Object.entries(account.services)) {
    for (const route of routes) {
      if (!isMatch(route, request)) continue;
      const isLongerMatch = best === undefined ||
        route.path.length > best.route.path.length;
      if (isLongerMatch) best = { service, route };
    }
  }
  return best;
}

function isMatch(
  route: Route,
  request: { method: string; path: string },
): boolean {
  if (!route.methods.some((m) => m === request.method)) return false;
  const prefix = route.path.endsWith("/") ? route.path : `${route.path}/`;
  return request.path === route.path || request.path.startsWith(prefix);
}
