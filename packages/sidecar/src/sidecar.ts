import { Admission } from "@jasminetide/core/admission";
import { createSystemRandom } from "@jasminetide/core/random";
import type { Epoch } from "@jasminetide/core/tables";
import type { TimerService } from "@jasminetide/core/timers";
import {
  ConfigurationHolder,
  watchConfiguration,
} from "@jasminetide/runtime/configuration";
import {
  createSidecarRouter,
  startControlServer,
} from "@jasminetide/runtime/control";
import { ResourceStack } from "@jasminetide/runtime/disposal";
import { headerNames } from "@jasminetide/runtime/exchange";
import { type ListeningServer, startServer } from "@jasminetide/runtime/http";
import type { Logger } from "@jasminetide/runtime/logging";
import { Metrics } from "@jasminetide/runtime/metrics";
import { PlatformClient } from "@jasminetide/runtime/platform";
import { Pool } from "undici";
import {
  createSettingsReader,
  handleCall,
  isMoneyCall,
  Ledger,
} from "./ledger/mod.ts";
import {
  AttemptStore,
  handleRequest,
  type RequestContext,
} from "./requests/mod.ts";
import type { SidecarSettings } from "./settings.ts";

/** What a sidecar is started with. */
export type SidecarOptions = {
  settings: SidecarSettings;
  timers: TimerService;
  logger: Logger;
};

/** How long answers and tombstones are kept. */
const attemptRetentionMs = 60_000;

const expirePeriodMs = 1000;

const runnerConnections = 256;

const maxBodyBytes = 4_194_304;

/** Random numbers that tell apart two starts in the same millisecond. */
const epochsPerMs = 1024;

/** The process beside one runner. */
export class Sidecar {
  readonly #options: SidecarOptions;
  readonly #metrics = Metrics.create();
  readonly #configuration = ConfigurationHolder.create();
  readonly #attempts: AttemptStore;
  readonly #admission: Admission;
  readonly #runner: Pool;
  readonly #abort = new AbortController();
  readonly #resources = ResourceStack.create();
  #ledger: Ledger | undefined;
  #isLeaving = false;
  #dataAddress = "";
  #controlAddress = "";

  private constructor(options: SidecarOptions) {
    const { settings, timers } = options;
    this.#options = options;
    this.#attempts = AttemptStore.create({
      epoch: createEpoch(timers.nowMs()),
      retentionMs: attemptRetentionMs,
    });
    this.#admission = Admission.create({
      maximumConcurrency: 64,
      maximumQueueLength: 512,
      capMultiple: 1.25,
      minimumTokens: Number.MAX_SAFE_INTEGER,
      capacity: settings.capacity,
      getMeanLoad: () => ({ tokens: 0, ageMs: 0 }),
      getNowMs: () => timers.nowMs(),
    });
    this.#runner = new Pool(`http://${settings.runnerAddress}`, {
      connections: runnerConnections,
    });
  }

  /** Starts a sidecar and its listeners. */
  static async create(options: SidecarOptions): Promise<Sidecar> {
    const sidecar = new Sidecar(options);
    await sidecar.#start();
    return sidecar;
  }

  /** `ip:port` for routers. */
  get dataAddress(): string {
    return this.#dataAddress;
  }

  /** `ip:port` for peers and operators. */
  get controlAddress(): string {
    return this.#controlAddress;
  }

  /** Shards of the ledger that this sidecar knows. */
  get ledgerShards(): ReturnType<Ledger["getDump"]> {
    return this.#ledger?.getDump() ?? [];
  }

  get epoch(): Epoch {
    return this.#attempts.epoch;
  }

  /** Refuses new work, finishes what is in flight, and closes. */
  async [Symbol.asyncDispose](): Promise<void> {
    this.#isLeaving = true;
    await this.#resources[Symbol.asyncDispose]();
  }

  async #start(): Promise<void> {
    const { settings, timers, logger } = this.#options;
    const platform = PlatformClient.create({
      address: settings.platformAddress,
    });
    this.#resources.use(platform);
    this.#resources.defer(() => this.#runner.close());
    this.#ledger = this.#createLedger(platform);
    this.#resources.use(this.#ledger);
    const data = await this.#startData();
    this.#dataAddress = data.address;
    const control = await this.#startControl();
    this.#controlAddress = control.address;
    this.#resources.use(control);
    this.#resources.defer(() => data.close());
    this.#resources.defer(() => this.#abort.abort());
    const expiry = timers.subscribe(
      expirePeriodMs,
      (nowMs) => this.#attempts.expire(nowMs),
    );
    this.#resources.defer(() => expiry[Symbol.dispose]());
    void watchConfiguration(this.#abort.signal, {
      platform,
      holder: this.#configuration,
      logger,
      wait: (durationMs) =>
        new Promise((resolve) => timers.schedule(durationMs, () => resolve())),
    });
    logger.info("sidecar-started", {
      runner: settings.runner,
      epoch: this.epoch,
    });
  }

  #createLedger(platform: PlatformClient): Ledger {
    const { settings, timers, logger } = this.#options;
    const [service] = settings.pools;
    return Ledger.create({
      service,
      owner: { name: settings.runner, epoch: this.epoch },
      platform,
      timers,
      logger,
      metrics: this.#metrics,
      runner: { pool: this.#runner, admission: this.#admission },
      isOffered: settings.kind === "service",
      getSettings: createSettingsReader(service, this.#configuration),
    });
  }

  #startData(): Promise<ListeningServer> {
    const context: RequestContext = {
      attempts: this.#attempts,
      admission: this.#admission,
      runner: this.#runner,
      timers: this.#options.timers,
      metrics: this.#metrics,
      isLeaving: () => this.#isLeaving,
      getAnswerHeaders: () => ({
        [headerNames.configurationVersion]: String(this.#configuration.version),
      }),
      maximumBodyBytes: maxBodyBytes,
    };
    return startServer(
      this.#options.settings.dataAddress,
      (request, response) => {
        if (isMoneyCall(request) && this.#ledger !== undefined) {
          void handleCall(request, response, {
            ...context,
            ledger: this.#ledger,
          });
        } else void handleRequest(request, response, context);
      },
    );
  }

  #startControl(): Promise<ListeningServer> {
    const { settings, timers } = this.#options;
    return startControlServer({
      address: settings.controlAddress,
      operatorKeyHash: settings.operatorKeyHash,
      getDump: () => this.#getDump(),
      router: createSidecarRouter({
        getConfiguration: (afterVersion) =>
          this.#configuration.version > afterVersion
            ? this.#configuration.get()
            : undefined,
        settle: ({ attempt, epoch }) =>
          this.#attempts.settle(attempt, { epoch, nowMs: timers.nowMs() }),
      }),
    });
  }

  #getDump() {
    const { settings } = this.#options;
    return {
      process: {
        type: "sidecar",
        name: settings.name,
        runner: settings.runner,
        epoch: this.epoch,
      },
      isLeaving: this.#isLeaving,
      configurationVersion: this.#configuration.version,
      attempts: this.#attempts.size,
      admission: {
        loadTokens: this.#admission.loadTokens,
        queueLength: this.#admission.queueLength,
        running: this.#admission.running,
      },
      ledger: this.#ledger?.getDump() ?? [],
      metrics: this.#metrics.getSnapshot(),
    };
  }
}

function createEpoch(nowMs: number): Epoch {
  return Math.floor(nowMs) * epochsPerMs +
    createSystemRandom().getInteger(epochsPerMs);
}
