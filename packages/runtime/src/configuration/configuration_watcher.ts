import {
  type AcceptedConfiguration,
  configurationSchema,
  hashConfiguration,
} from "@jasminetide/core/configuration";
import { normalizeError } from "@jasminetide/core/results";
import type { Logger } from "../logging/mod.ts";
import type {
  ObjectName,
  PlatformClient,
  StoredObject,
} from "../platform/mod.ts";
import type { ConfigurationHolder } from "./configuration_holder.ts";

/** Where the operators' declaration stands in the platform. */
export const configurationObject: ObjectName = {
  kind: "configuration",
  name: "fleet",
};

const watchTimeoutMs = 10_000;
const retryDelayMs = 500;

/** What the watcher works with. */
export type ConfigurationWatcherOptions = {
  platform: PlatformClient;
  holder: ConfigurationHolder;
  logger: Logger;
  /** Waits between failed tries. */
  wait: (durationMs: number) => Promise<void>;
};

/** Parses a stored declaration. */
export function parseAccepted(stored: StoredObject): AcceptedConfiguration {
  const body = configurationSchema.parse(JSON.parse(stored.value));
  return { version: stored.version, hash: hashConfiguration(body), body };
}

/** Follows the declaration in the platform until aborted. */
export async function watchConfiguration(
  signal: AbortSignal,
  options: ConfigurationWatcherOptions,
): Promise<void> {
  while (!signal.aborted) {
    try {
      await applyNext(signal, options);
    } catch (thrown) {
      if (signal.aborted) return;
      const error = normalizeError(thrown);
      options.logger.warn("configuration-watch-failed", {
        code: error.code,
        detail: error.message,
      });
      await options.wait(retryDelayMs);
    }
  }
}

async function applyNext(
  signal: AbortSignal,
  options: ConfigurationWatcherOptions,
): Promise<void> {
  const stored = await options.platform.watch(configurationObject, {
    afterVersion: options.holder.version,
    timeoutMs: watchTimeoutMs,
    signal,
  });
  if (stored === undefined) return;
  if (options.holder.apply(parseAccepted(stored))) {
    options.logger.info("configuration-applied", { version: stored.version });
  }
}
