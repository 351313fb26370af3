import {
  type AcceptedConfiguration,
  hashText,
  type Parts,
  type SplitSection,
} from "@jasminetide/core/configuration";
import { AppError, normalizeError } from "@jasminetide/core/results";
import { initialPosition, type StorePosition } from "@jasminetide/core/store";
import type { TimerService } from "@jasminetide/core/timers";
import type { PeerClient } from "../control/mod.ts";
import type { Logger } from "../logging/mod.ts";
import type { PlatformClient, StoredObject } from "../platform/mod.ts";
import type { ConfigurationHolder } from "./configuration_holder.ts";
import {
  completeDeclaration,
  createPlatformSource,
  type PartSource,
  readStoredConfiguration,
  type VersionedText,
} from "./load_accepted.ts";
import { configurationObject } from "./objects.ts";
import { rewriteAccepted } from "./rewrite_accepted.ts";

/** Dependencies and settings of a follower. */
export type ConfigurationFollowerOptions = {
  platform: PlatformClient;
  holder: ConfigurationHolder;
  timers: TimerService;
  logger: Logger;
  /** Gets a client of the process at a control address. */
  getPeer: (controlAddress: string) => PeerClient;
  /** Settles after the first request for members, even if it failed. */
  whenReady: Promise<void>;
  /** Whether this process is one of the few that watch the platform. */
  isWatcher: () => boolean;
  /** Control addresses of peers that hold every section. */
  listPeers: () => string[];
  /** Sections whose parts are loaded; all of them by default. */
  sections?: readonly SplitSection[];
};

const watchTimeoutMs = 10_000;
const retryDelayMs = 500;

/** Maximum time that `sync` waits for a version that a peer announced. */
const maximumSyncMs = 250;

/** Peers from which missing parts are requested. */
const peersPerFetch = 3;

/** Peers queried at start-up while the platform is unavailable. */
const peersPerStart = 8;

/** Maximum number of parts in one request to a peer. */
const partsPerRequest = 32;

/**
 * Keeps the configuration of a process up to date: a few processes watch the
 * platform, all others receive version numbers from peers and fetch newer
 * versions from them.
 */
export class ConfigurationFollower {
  readonly #options: ConfigurationFollowerOptions;
  readonly #abort = new AbortController();
  #announced: { version: number; address: string } = {
    version: 0,
    address: "",
  };
  /** Position of the object that the last watch or read returned. */
  #watchedAt: StorePosition = initialPosition;
  #fetching: Promise<void> | undefined;
  /** Whether the initial load has ended, successfully or not. */
  #isInitialLoadDone = false;

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
   * Records that a peer holds a version, and fetches it if it is newer. Until
   * the initial load has ended the version is only recorded: from a peer that
   * lags, this process would apply an older configuration than it had before
   * its restart.
   */
  observeVersion(version: number, controlAddress: string): void {
    if (version <= this.#options.holder.version) return;
    if (version >= this.#announced.version) {
      this.#announced = { version, address: controlAddress };
    }
    if (!this.#isInitialLoadDone) return;
    this.#fetching ??= this.#fetchAnnounced().finally(() => {
      this.#fetching = undefined;
    });
  }

  /**
   * Waits until a newer version that a peer announced has been applied, for at
   * most `maximumSyncMs`, so that a peer or platform that does not answer
   * cannot block the caller.
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
    await this.#try("configuration-load-failed", () => this.#loadInitial());
    this.#isInitialLoadDone = true;
    this.observeVersion(this.#announced.version, this.#announced.address);
    while (!this.#abort.signal.aborted) {
      const isDone = this.#options.isWatcher() &&
        await this.#try("configuration-watch-failed", () => this.#watch());
      if (!isDone) await this.#waitForRetry();
    }
  }

  /** Loads from the platform, or else the highest version of several peers. */
  async #loadInitial(): Promise<void> {
    const { platform } = this.#options;
    try {
      const stored = await platform.get(configurationObject);
      if (stored === undefined) return;
      const configuration = readStoredConfiguration(stored);
      // A restored store may hold an older one than peers have announced.
      const { address, version } = this.#announced;
      const isKnown = version > configuration.version &&
        await this.#fetchFromPeer(address);
      if (!isKnown) await this.#apply(configuration, this.#listPeerSources());
    } catch (thrown) {
      if (!await this.#fetchHighestVersion()) throw thrown;
    }
  }

  /** @returns whether a configuration from a peer was applied. */
  async #fetchHighestVersion(): Promise<boolean> {
    const { listPeers } = this.#options;
    const answers = await Promise.all(
      listPeers().slice(0, peersPerStart)
        .map((address) => this.#fetchNewer(address)),
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
    const { platform } = this.#options;
    const stored = await platform.watch(configurationObject, {
      after: this.#watchedAt,
      timeoutMs: watchTimeoutMs,
      signal: this.#abort.signal,
    });
    // Peers do not have the version yet: watchers are the first to receive it.
    if (stored !== undefined) {
      await this.#apply(readStoredConfiguration(stored), [
        this.#getPlatformSource(),
      ]);
    } else if (platform.epoch === this.#watchedAt.epoch) return;
    await this.#rewrite(stored);
    this.#watchedAt = stored?.position ??
      { epoch: platform.epoch, revision: 0 };
  }

  /** Writes what is in force again if a restore of the store has lost it. */
  async #rewrite(stored: StoredObject | undefined): Promise<void> {
    const { holder, logger, platform } = this.#options;
    if (!holder.isLoaded) return;
    const accepted = holder.get();
    if (!await rewriteAccepted(platform, accepted, stored)) return;
    logger.warn("configuration-rewritten", { version: accepted.version });
  }

  async #fetchAnnounced(): Promise<void> {
    const { version, address } = this.#announced;
    const isFetched = await this.#try(
      "configuration-fetch-failed",
      async () => {
        if (await this.#fetchFromPeer(address)) return;
        if (!await this.#fetchFromPlatform(version)) {
          throw AppError.create(
            "notFound",
            `Configuration ${version} is available neither from ${address} ` +
              "nor from the platform",
          );
        }
      },
    );
    // The next digest with this version starts another attempt.
    if (!isFetched) this.#announced = { version: 0, address: "" };
  }

  /** @returns whether a newer configuration was applied. */
  async #fetchFromPeer(address: string): Promise<boolean> {
    const answer = await this.#fetchNewer(address);
    if (answer === undefined) return false;
    const { stored, source } = answer;
    return this.#apply(stored, [source, ...this.#listPeerSources()]);
  }

  /** Queries a peer; undefined if it has no newer version or no answer. */
  async #fetchNewer(
    address: string,
  ): Promise<{ stored: VersionedText; source: PartSource } | undefined> {
    const { getPeer, holder } = this.#options;
    const peer = getPeer(address);
    const answer = await peer.getConfiguration.query({
      afterVersion: holder.version,
    }, { signal: this.#abort.signal }).catch(() => null);
    if (answer === null) return undefined;
    if (hashText(answer.text) !== answer.hash) {
      throw AppError.create(
        "hashMismatch",
        `Text of configuration ${answer.version} from ${address} ` +
          "does not match its hash",
      );
    }
    const stored = { version: answer.version, text: answer.text };
    return { stored, source: createPeerSource(peer) };
  }

  async #fetchFromPlatform(version: number): Promise<boolean> {
    const stored = await this.#options.platform.get(configurationObject);
    if (stored === undefined) return false;
    const configuration = readStoredConfiguration(stored);
    if (configuration.version < version) return false;
    return this.#apply(configuration, this.#listPeerSources());
  }

  async #apply(
    stored: VersionedText,
    sources: PartSource[],
  ): Promise<boolean> {
    const { holder, logger, sections } = this.#options;
    if (stored.version <= holder.version) return false;
    const accepted = await completeDeclaration(stored, {
      knownParts: this.#getKnownParts(),
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
    return ignoreErrors(createPlatformSource(this.#options.platform));
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

  #waitForRetry(): Promise<void> {
    return new Promise((resolve) => {
      this.#options.timers.schedule(retryDelayMs, () => resolve());
    });
  }
}

/** Formats the answer to a peer that requests the configuration. */
export function formatForPeer(accepted: AcceptedConfiguration) {
  const { hash, text, version } = accepted;
  return { version, hash, text };
}

/** Selects those of the requested parts that a process holds. */
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
  return ignoreErrors(async (hashes) => {
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

/** Makes a failing source return no parts, so that the next one is tried. */
function ignoreErrors(source: PartSource): PartSource {
  return async (hashes) => {
    try {
      return await source(hashes);
    } catch {
      return new Map();
    }
  };
}
