import {
  type Match,
  resolveSettings,
  type Settings,
  settingsSchema,
} from "@jasminetide/core/configuration";
import type { ConfigurationHolder } from "./configuration_holder.ts";

/** Whose settings are wanted, and where the configuration is. */
export type EffectiveSettingsOptions = {
  configuration: ConfigurationHolder;
  subject: Match;
};

/** Effective settings of one subject, resolved once for each version. */
export class EffectiveSettings {
  readonly #options: EffectiveSettingsOptions;
  #settings: Settings = settingsSchema.parse({});
  #version = 0;

  private constructor(options: EffectiveSettingsOptions) {
    this.#options = options;
  }

  /** Creates the settings of a subject. */
  static create(options: EffectiveSettingsOptions): EffectiveSettings {
    return new EffectiveSettings(options);
  }

  /** Gets the settings in force; the product's defaults before the first. */
  get(): Settings {
    const { configuration, subject } = this.#options;
    if (configuration.version !== this.#version) {
      const { body, version } = configuration.get();
      this.#settings = resolveSettings(body, subject).settings;
      this.#version = version;
    }
    return this.#settings;
  }
}
