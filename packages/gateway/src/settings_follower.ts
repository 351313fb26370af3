import { readFile } from "node:fs/promises";
import process from "node:process";
import { normalizeError } from "@jasminetide/core/results";
import type { TimerService } from "@jasminetide/core/timers";
import type { Logger } from "@jasminetide/runtime/logging";
import { loadSettings } from "@jasminetide/runtime/settings";
import { type GatewaySettings, gatewaySettingsSchema } from "./settings.ts";

/** Options of a settings follower. */
export type SettingsFollowerOptions = {
  file: string;
  timers: TimerService;
  logger: Logger;
  /** Called with valid settings when the file has changed. */
  onSettings: (settings: GatewaySettings) => void;
};

/**
 * Reloads the settings file on SIGHUP and periodically, since it may change
 * without a signal. Invalid settings are logged and not applied.
 */
export class SettingsFollower {
  readonly #options: SettingsFollowerOptions;
  readonly #subscription: Disposable;
  readonly #handleSignal = () => void this.#read();
  #text: string | undefined;

  private constructor(options: SettingsFollowerOptions) {
    this.#options = options;
    process.on("SIGHUP", this.#handleSignal);
    this.#subscription = options.timers.subscribe(
      readPeriodMs,
      this.#handleSignal,
    );
  }

  /** Starts to follow a file that was loaded when the process started. */
  static async create(
    options: SettingsFollowerOptions,
  ): Promise<SettingsFollower> {
    const follower = new SettingsFollower(options);
    follower.#text = await readFile(options.file, "utf8");
    return follower;
  }

  [Symbol.dispose](): void {
    process.off("SIGHUP", this.#handleSignal);
    this.#subscription[Symbol.dispose]();
  }

  async #read(): Promise<void> {
    const { file, logger, onSettings } = this.#options;
    try {
      const text = await readFile(file, "utf8");
      if (text === this.#text) return;
      this.#text = text;
      const settings = await loadSettings(file, gatewaySettingsSchema);
      logger.info("settings-reloaded");
      onSettings(settings);
    } catch (thrown) {
      const error = normalizeError(thrown);
      logger.error("settings-refused", {
        code: error.code,
        detail: error.message,
      });
    }
  }
}

/** Period of reloads; changes are rare and not urgent. */
const readPeriodMs = 5000;
