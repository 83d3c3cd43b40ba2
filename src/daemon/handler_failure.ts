/**
 * Ends what a handler began when it throws. Each place that starts a handler
 * answers its own caller, so that an exception ends one request and no daemon.
 */

import type { Logger } from "./logger.ts";

/** Runs a handler to its end; an exception, thrown or rejected, is passed to `onFailure`. */
export async function runHandler(
  handle: () => void | Promise<void>,
  onFailure: (error: Error) => void,
): Promise<void> {
  try {
    await handle();
  } catch (error) {
    onFailure(error instanceof Error ? error : new Error(String(error)));
  }
}

/** Logs the exception of a handler, with where it arose. */
export function logHandlerFailure(
  logger: Logger,
  error: Error,
  about: { readonly handler: string; readonly req?: string | undefined },
): void {
  logger.error("handler_failed", {
    ...about,
    message: error.message,
    stack: error.stack?.split("\n").slice(1, 4).map((l) => l.trim()).join(" "),
  });
}
