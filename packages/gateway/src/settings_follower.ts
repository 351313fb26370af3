import { readFile } from "node:fs/promises";
import process from "node:process";
import { normalizeError } from "@jasminetide/core/results";
import type { TimerService } from "@jasminetide/core/timers";
import type { Logger } from "@jasminetide/runtime/logging";
import { loadSettings } from "@jasminetide/runtime/settings";
import { type GatewaySettings, gatewaySettingsSchema } from "./settings.ts";

/** What following a settings file needs. */
export type SettingsFollowerOptions = {
  file: string;
  timers: TimerService;
  logger: Logger;
  /** Called with settings that are valid and differ from those before. */
  onSettings: (settings: GatewaySettings) => void;
};

/**
 * Reads the settings file again on SIGHUP, and from time to time, since it may
 * change without a signal. Settings that cannot be read change nothing.
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

  /** Starts to follow a file that was read at the start of the process. */
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

/** Settings change seldom, and a change is not urgent. */
const readPeriodMs = 5000;
