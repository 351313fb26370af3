/** Configuration of the simulated processes of an episode. */
import {
  ConfigurationFollower,
  ConfigurationHolder,
  formatForPeer,
  selectParts,
} from "@jasminetide/runtime/configuration";
import type { PeerClient } from "@jasminetide/runtime/control";
import { createSilentLogger } from "@jasminetide/runtime/logging";
import { AppError } from "@jasminetide/core/results";
import type { FakePlatform } from "./fake_platform.ts";
import type { World } from "./world.ts";

const peerDelayMs = 4;
const peerTimeoutMs = 2000;
const lossProbability = 0.15;

/** Time in which a starting process loads its first configuration. */
const startMs = 4000;

/** Dependencies and identity of one process. */
export type SoakConfigurationOptions = {
  world: World;
  platform: FakePlatform;
  /** Name of the process in the history, and its address. */
  process: string;
  /** Whether this process watches the platform. */
  isWatcher: boolean;
  /** All processes by address. */
  peers: Map<string, SoakConfiguration>;
};

/**
 * The configuration of one process: the real holder and follower with a fake
 * platform and fake peers.
 */
export class SoakConfiguration {
  readonly #options: SoakConfigurationOptions;
  #holder = ConfigurationHolder.create();
  #incarnation = 1;
  #follower: ConfigurationFollower;

  private constructor(options: SoakConfigurationOptions) {
    this.#options = options;
    this.#follower = this.#startFollower();
    options.peers.set(options.process, this);
  }

  /** Creates the configuration of a process that has just started. */
  static create(options: SoakConfigurationOptions): SoakConfiguration {
    return new SoakConfiguration(options);
  }

  /** Current version, 0 before the first is loaded. */
  get version(): number {
    return this.#holder.version;
  }

  /** Address at which peers query this process. */
  get address(): string {
    return this.#options.process;
  }

  /** Processes the version that another process has announced. */
  observe(version: number, address: string): void {
    this.#follower.observeVersion(version, address);
  }

  /**
   * Restarts without a configuration. During an outage of the platform it can
   * only be loaded from peers, whose version may be older than the one that
   * this process had. The history then records it as a new process.
   */
  restart(): void {
    const { world } = this.#options;
    if (world.willBeActiveWithin("platform-down", startMs)) {
      this.#incarnation += 1;
    }
    this.#follower[Symbol.dispose]();
    this.#holder = ConfigurationHolder.create();
    this.#follower = this.#startFollower();
  }

  #startFollower(): ConfigurationFollower {
    const { isWatcher, peers, platform, process, world } = this.#options;
    const holder = this.#holder;
    this.#record(0);
    // What the previous holder loads after a restart is not recorded.
    holder.subscribe(({ version }) => {
      if (holder === this.#holder) this.#record(version);
    });
    return ConfigurationFollower.create({
      platform: platform.client,
      holder,
      timers: world.timers,
      logger: createSilentLogger(),
      getPeer: (address) => this.#createPeer(address),
      whenReady: Promise.resolve(),
      isWatcher: () => isWatcher,
      listPeers: () => [...peers.keys()].filter((name) => name !== process),
    });
  }

  /** Calls another process as its control client would. */
  #createPeer(address: string): PeerClient {
    const query = async <Value>(
      read: (holder: ConfigurationHolder) => Value,
    ) => {
      await this.#sendMessage();
      const peer = this.#options.peers.get(address);
      if (peer === undefined) throw AppError.create("notFound", address);
      const value = read(peer.#holder);
      await this.#sendMessage();
      return value;
    };
    const client = {
      getConfiguration: {
        query: ({ afterVersion }: { afterVersion: number }) =>
          query((holder) =>
            holder.version > afterVersion ? formatForPeer(holder.get()) : null
          ),
      },
      getParts: {
        query: ({ hashes }: { hashes: string[] }) =>
          query((holder) => selectParts(holder, hashes)),
      },
    };
    return client as unknown as PeerClient;
  }

  async #sendMessage(): Promise<void> {
    const { world } = this.#options;
    const isLost = world.isActive("links-lossy") &&
      world.drawBoolean(lossProbability);
    await world.wait(isLost ? peerTimeoutMs : peerDelayMs);
    if (isLost) throw AppError.create("runnerFailed", "No answer in time");
  }

  #record(version: number): void {
    const { world } = this.#options;
    const process = `${this.address}#${this.#incarnation}`;
    const atMs = world.nowMs();
    world.events.push({ type: "configuration", process, atMs, version });
  }
}
