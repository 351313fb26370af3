import {
  type Match,
  resolveSettings,
  type Settings,
  settingsSchema,
} from "@jasminetide/core/configuration";
import type { ConfigurationHolder } from "./configuration_holder.ts";

/** The subject of the settings, and the holder of the configuration. */
export type EffectiveSettingsOptions = {
  configuration: ConfigurationHolder;
  subject: Match;
};

/** Resolves the effective settings of a subject, once for each version. */
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

  /** Gets the current settings; the built-in defaults until one is loaded. */
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
