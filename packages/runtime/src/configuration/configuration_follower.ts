import {
  type AcceptedConfiguration,
  hashText,
  type Parts,
  type SplitSection,
} from "@jasminetide/core/configuration";
import { AppError, normalizeError } from "@jasminetide/core/results";
import type { TimerService } from "@jasminetide/core/timers";
import type { PeerClient } from "../control/mod.ts";
import type { Logger } from "../logging/mod.ts";
import type { PlatformClient, StoredObject } from "../platform/mod.ts";
import type { ConfigurationHolder } from "./configuration_holder.ts";
import {
  completeStored,
  createPlatformSource,
  type PartSource,
} from "./load_accepted.ts";
import { configurationObject } from "./objects.ts";

/** What the follower works with. */
export type ConfigurationFollowerOptions = {
  platform: PlatformClient;
  holder: ConfigurationHolder;
  timers: TimerService;
  logger: Logger;
  /** Gets a client of the process at a control address. */
  getPeer: (controlAddress: string) => PeerClient;
  /** Settles once the members of the fleet were asked for. */
  whenReady: Promise<void>;
  /** Whether this process is one of the few that watch the platform. */
  isWatcher: () => boolean;
  /** Control addresses of peers that hold every section. */
  listPeers: () => string[];
  /** Long sections that this process needs; all unless given. */
  sections?: readonly SplitSection[];
};

const watchTimeoutMs = 10_000;
const retryDelayMs = 500;

/** How long a decision waits for a newer configuration that was heard of. */
const maximumSyncMs = 250;

const peersPerFetch = 3;

/** Peers asked at a start while the platform is down. */
const peersPerStart = 8;

/** Parts asked of a peer at once. */
const partsPerRequest = 32;

/**
 * Follows the accepted configuration: a few processes watch the platform, all
 * others hear of a version from peers and fetch it from them.
 */
export class ConfigurationFollower {
  readonly #options: ConfigurationFollowerOptions;
  readonly #abort = new AbortController();
  #heard: { version: number; address: string } = { version: 0, address: "" };
  #fetching: Promise<void> | undefined;
  /** Whether the first load has ended, with or without a result. */
  #isStarted = false;

  private constructor(options: ConfigurationFollowerOptions) {
    this.#options = options;
  }

  /** Starts to follow; the first configuration may arrive later. */
  static create(options: ConfigurationFollowerOptions): ConfigurationFollower {
    const follower = new ConfigurationFollower(options);
    void follower.#run();
    return follower;
  }

  /**
   * Takes in that a peer holds a version, and fetches it if it is newer. Until
   * the first load has ended it is only noted: a peer that lags would bring an
   * older configuration into force than this host had before its restart.
   */
  observeVersion(version: number, controlAddress: string): void {
    if (version <= this.#options.holder.version) return;
    if (version >= this.#heard.version) {
      this.#heard = { version, address: controlAddress };
    }
    if (!this.#isStarted) return;
    this.#fetching ??= this.#fetchHeard().finally(() => {
      this.#fetching = undefined;
    });
  }

  /**
   * Waits until a newer configuration that was heard of is in force, but not
   * for long: a peer or platform that does not answer holds nothing up.
   */
  async sync(): Promise<void> {
    if (this.#fetching === undefined) return;
    const { timers } = this.#options;
    await new Promise<void>((resolve) => {
      const timer = timers.schedule(maximumSyncMs, () => resolve());
      void this.#fetching?.finally(() => {
        timer[Symbol.dispose]();
        resolve();
      });
    });
  }

  [Symbol.dispose](): void {
    this.#abort.abort();
  }

  async #run(): Promise<void> {
    await this.#options.whenReady;
    await this.#try("configuration-load-failed", () => this.#loadFirst());
    this.#isStarted = true;
    this.observeVersion(this.#heard.version, this.#heard.address);
    while (!this.#abort.signal.aborted) {
      const isDone = this.#options.isWatcher() &&
        await this.#try("configuration-watch-failed", () => this.#watch());
      if (!isDone) await this.#wait();
    }
  }

  /** At the start: from the platform, else the highest of several peers. */
  async #loadFirst(): Promise<void> {
    const { platform } = this.#options;
    try {
      const stored = await platform.get(configurationObject);
      if (stored !== undefined) {
        await this.#apply(stored, this.#listPeerSources());
      }
    } catch (thrown) {
      if (!await this.#fetchHighest()) throw thrown;
    }
  }

  /** @returns whether a peer gave a configuration. */
  async #fetchHighest(): Promise<boolean> {
    const { listPeers } = this.#options;
    const answers = await Promise.all(
      listPeers().slice(0, peersPerStart).map((address) => this.#ask(address)),
    );
    const found = answers.filter((answer) => answer !== undefined);
    found.sort((left, right) => right.stored.version - left.stored.version);
    for (const { stored, source } of found) {
      if (await this.#apply(stored, [source, ...this.#listPeerSources()])) {
        return true;
      }
    }
    return false;
  }

  async #watch(): Promise<void> {
    const { holder, platform } = this.#options;
    const stored = await platform.watch(configurationObject, {
      afterVersion: holder.version,
      timeoutMs: watchTimeoutMs,
      signal: this.#abort.signal,
    });
    // Nobody has heard of it before those who watch.
    if (stored !== undefined) {
      await this.#apply(stored, [this.#getPlatformSource()]);
    }
  }

  async #fetchHeard(): Promise<void> {
    const { version, address } = this.#heard;
    const isFetched = await this.#try(
      "configuration-fetch-failed",
      async () => {
        if (await this.#fetchFrom(address)) return;
        if (!await this.#fetchFromPlatform(version)) {
          throw AppError.create(
            "notFound",
            `Nobody gave configuration ${version}`,
          );
        }
      },
    );
    // The next digest that names the version starts another try.
    if (!isFetched) this.#heard = { version: 0, address: "" };
  }

  /** @returns whether a newer configuration came into force. */
  async #fetchFrom(address: string): Promise<boolean> {
    const answer = await this.#ask(address);
    if (answer === undefined) return false;
    const { stored, source } = answer;
    return this.#apply(stored, [source, ...this.#listPeerSources()]);
  }

  /** Asks a peer for a newer configuration; undefined where it has none. */
  async #ask(
    address: string,
  ): Promise<{ stored: StoredObject; source: PartSource } | undefined> {
    const { getPeer, holder } = this.#options;
    const peer = getPeer(address);
    const answer = await peer.getConfiguration.query({
      afterVersion: holder.version,
    }, { signal: this.#abort.signal }).catch(() => null);
    if (answer === null) return undefined;
    if (hashText(answer.text) !== answer.hash) {
      throw AppError.create(
        "hashMismatch",
        `Configuration ${answer.version} of ${address} has another hash`,
      );
    }
    const stored = { version: answer.version, value: answer.text };
    return { stored, source: createPeerSource(peer) };
  }

  async #fetchFromPlatform(version: number): Promise<boolean> {
    const stored = await this.#options.platform.get(configurationObject);
    if (stored === undefined || stored.version < version) return false;
    return this.#apply(stored, this.#listPeerSources());
  }

  async #apply(stored: StoredObject, sources: PartSource[]): Promise<boolean> {
    const { holder, logger, sections } = this.#options;
    if (stored.version <= holder.version) return false;
    const accepted = await completeStored(stored, {
      known: this.#getKnownParts(),
      sections,
      sources: [...sources, this.#getPlatformSource()],
    });
    const isApplied = holder.apply(accepted);
    if (isApplied) {
      logger.info("configuration-applied", { version: stored.version });
    }
    return isApplied;
  }

  #getKnownParts(): Parts {
    const { holder } = this.#options;
    return holder.isLoaded ? holder.get().parts : new Map();
  }

  #getPlatformSource(): PartSource {
    return withoutErrors(createPlatformSource(this.#options.platform));
  }

  #listPeerSources(): PartSource[] {
    const { getPeer, listPeers } = this.#options;
    return listPeers().slice(0, peersPerFetch)
      .map((address) => createPeerSource(getPeer(address)));
  }

  async #try(event: string, action: () => Promise<unknown>): Promise<boolean> {
    try {
      await action();
      return true;
    } catch (thrown) {
      if (this.#abort.signal.aborted) return false;
      const error = normalizeError(thrown);
      this.#options.logger.warn(event, {
        code: error.code,
        detail: error.message,
      });
      return false;
    }
  }

  #wait(): Promise<void> {
    return new Promise((resolve) => {
      this.#options.timers.schedule(retryDelayMs, () => resolve());
    });
  }
}

/** Formats what a process answers to peers that ask for its configuration. */
export function formatForPeer(accepted: AcceptedConfiguration) {
  const { hash, text, version } = accepted;
  return { version, hash, text };
}

/** Selects the asked parts that a process holds. */
export function selectParts(
  holder: ConfigurationHolder,
  hashes: string[],
): { [hash: string]: string } {
  if (!holder.isLoaded) return {};
  const { parts } = holder.get();
  return Object.fromEntries(
    hashes.flatMap((hash) => {
      const text = parts.get(hash);
      return text === undefined ? [] : [[hash, text]];
    }),
  );
}

function createPeerSource(peer: PeerClient): PartSource {
  return withoutErrors(async (hashes) => {
    const parts = new Map<string, string>();
    for (let begin = 0; begin < hashes.length; begin += partsPerRequest) {
      const answer = await peer.getParts.query({
        hashes: hashes.slice(begin, begin + partsPerRequest),
      });
      for (const [hash, text] of Object.entries(answer)) parts.set(hash, text);
    }
    return parts;
  });
}

/** A source that fails gives nothing, so that the next one is asked. */
function withoutErrors(source: PartSource): PartSource {
  return async (hashes) => {
    try {
      return await source(hashes);
    } catch {
      return new Map();
    }
  };
}
