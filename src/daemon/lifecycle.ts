/** Closes resources in reverse order of their registration. */

import { err, ok, type Result } from "neverthrow";

/** A resource that could not be closed. */
export interface CloseError {
  readonly name: string;
  readonly message: string;
}

/** The resources that have to be closed. */
export interface Lifecycle {
  /** Adds a resource; it is closed before those added earlier. */
  add(name: string, close: () => void | Promise<void>): void;
  /** Closes everything once; later calls return the same result. */
  close(): Promise<Result<void, CloseError[]>>;
}

interface Resource {
  readonly name: string;
  close(): void | Promise<void>;
}

/** Creates a life cycle without resources. */
export function createLifecycle(): Lifecycle {
  const resources: Resource[] = [];
  let closing: Promise<Result<void, CloseError[]>> | undefined;
  return {
    add: (name, close) => void resources.push({ name, close }),
    close: () => closing ??= closeAll(),
  };

  async function closeAll(): Promise<Result<void, CloseError[]>> {
    const errors: CloseError[] = [];
    for (const resource of resources.reverse()) {
      try {
        await resource.close();
      } catch (error) {
        errors.push({ name: resource.name, message: String(error) });
      }
    }
    return errors.length === 0 ? ok(undefined) : err(errors);
  }
}
