import { loadDeclaration } from "@jasminetide/operator/declaration";
import { ConfigurationHolder } from "@jasminetide/runtime/configuration";
import type { FakePlatform } from "./fake_platform.ts";
import type { World } from "./world.ts";

const pollMs = 1000;

/** What a process follows the declaration with. */
export type SoakConfigurationOptions = {
  world: World;
  platform: FakePlatform;
  /** Name of the process in the history. */
  process: string;
};

/**
 * The configuration of one process: the real holder, fed by the platform and
 * woken by versions that other processes mention.
 */
export class SoakConfiguration {
  readonly #options: SoakConfigurationOptions;
  #holder = ConfigurationHolder.create();
  #isLoading = false;

  private constructor(options: SoakConfigurationOptions) {
    this.#options = options;
    this.#record(options.world.nowMs());
    options.world.timers.subscribe(pollMs, () => void this.#load());
  }

  /** Creates the configuration of a process that has just begun. */
  static create(options: SoakConfigurationOptions): SoakConfiguration {
    return new SoakConfiguration(options);
  }

  /** Version in force, 0 before the first. */
  get version(): number {
    return this.#holder.version;
  }

  /** Takes in a version that another process has; loads it if newer. */
  observe(version: number): void {
    if (version > this.version) void this.#load();
  }

  /** Starts anew without any. */
  forget(): void {
    this.#holder = ConfigurationHolder.create();
    this.#record(this.#options.world.nowMs());
    void this.#load();
  }

  async #load(): Promise<void> {
    if (this.#isLoading) return;
    this.#isLoading = true;
    const holder = this.#holder;
    try {
      const { platform, world } = this.#options;
      const accepted = await loadDeclaration(platform.client);
      if (accepted !== undefined && holder.apply(accepted)) {
        if (holder === this.#holder) this.#record(world.nowMs());
      }
    } catch {
      this.#options.world.count("configuration loads failed");
    } finally {
      this.#isLoading = false;
    }
  }

  #record(atMs: number): void {
    const { process, world } = this.#options;
    const { version } = this;
    world.events.push({ type: "configuration", process, atMs, version });
  }
}
