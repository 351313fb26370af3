import {
  resolveSettings,
  type Settings,
} from "@jasminetide/core/configuration";
import type { ConfigurationHolder } from "@jasminetide/runtime/configuration";

/** Settings of the ledger of one service. */
export type LedgerSettings = Settings["ledger"];

/**
 * Creates a function that gets a service's settings from the current
 * configuration, or undefined before the first one is loaded.
 */
export function createSettingsReader(
  service: string,
  configuration: ConfigurationHolder,
): () => LedgerSettings | undefined {
  let version = 0;
  let settings: LedgerSettings | undefined;
  return () => {
    if (configuration.version !== version) {
      version = configuration.version;
      const { body } = configuration.get();
      settings = resolveSettings(body, { service }).settings.ledger;
    }
    return settings;
  };
}
