import { Admission, type MeanLoad } from "@jasminetide/core/admission";
import type { Match } from "@jasminetide/core/configuration";
import { createSystemRandom } from "@jasminetide/core/random";
import { MinuteMeter, PeakGate, PeakHold } from "@jasminetide/core/peak";
import type { Epoch } from "@jasminetide/core/tables";
import type { TimerService } from "@jasminetide/core/timers";
import {
  ConfigurationHolder,
  EffectiveSettings,
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

/** Time after which an idempotent attempt that nobody reads is cancelled. */
const orphanMs = 5000;

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
  readonly #peak: PeakGate;
  readonly #runner: Pool;
  readonly #abort = new AbortController();
  readonly #resources = ResourceStack.create();
  #isLeaving = false;
  #dataAddress = "";
  #controlAddress = "";

  private constructor(options: SidecarOptions) {
    const { settings, timers } = options;
    this.#options = options;
    this.#attempts = AttemptStore.create({
      epoch: createEpoch(timers.nowMs()),
      retentionMs: attemptRetentionMs,
      orphanMs,
    });
    const effective = EffectiveSettings.create({
      configuration: this.#configuration,
      subject: getSubject(settings),
    });
    this.#peak = PeakGate.create({
      hold: PeakHold.create({
        getSettings: () => effective.get().peak,
        meter: MinuteMeter.create(),
      }),
      timers,
    });
    this.#admission = Admission.create({
      getSettings: () => effective.get(),
      capacity: settings.capacity,
      getMeanLoad: () => this.#getMeanLoad(),
      timers,
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

  get epoch(): Epoch {
    return this.#attempts.epoch;
  }

  /** Refuses new work, finishes what is in flight, and closes. */
  async [Symbol.asyncDispose](): Promise<void> {
    this.#isLeaving = true;
    this.#peak.refuseAll();
    await this.#resources[Symbol.asyncDispose]();
  }

  async #start(): Promise<void> {
    const { settings, timers, logger } = this.#options;
    const platform = PlatformClient.create({
      address: settings.platformAddress,
    });
    this.#resources.use(platform);
    this.#resources.defer(() => this.#runner.close());
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

  #startData(): Promise<ListeningServer> {
    const context: RequestContext = {
      attempts: this.#attempts,
      admission: this.#admission,
      peak: this.#peak,
      isDeferrable: (priority) => this.#isDeferrable(priority),
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
        void handleRequest(request, response, context);
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

  #getPeakDump() {
    const { meter, size } = this.#peak.hold;
    const nowMs = this.#options.timers.nowMs();
    return {
      held: size,
      minuteTokens: meter.getCurrent(nowMs).tokens,
      peakTokens: meter.getPeakTokens(nowMs),
    };
  }

  #isDeferrable(priority: number): boolean {
    if (!this.#configuration.isLoaded) return false;
    const { classes } = this.#configuration.get().body;
    const sharing = classes.filter((each) => each.priority === priority);
    return sharing.length > 0 && sharing.every((each) => each.deferrable);
  }

  /** The runner's own load is all that the sidecar knows of the pool. */
  #getMeanLoad(): MeanLoad {
    const tokens = this.#admission.loadTokens / this.#options.settings.capacity;
    return { tokens, ageMs: 0, errorTokens: 0, runners: 1, staleRunners: 0 };
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
        concurrencyLimit: this.#admission.concurrencyLimit,
      },
      peak: this.#getPeakDump(),
      metrics: this.#metrics.getSnapshot(),
    };
  }
}

/** What exceptions for this runner may match. */
function getSubject(settings: SidecarSettings): Match {
  const { runner, host, failureDomain, kind, pools } = settings;
  const pool = pools[0];
  return {
    runner,
    host,
    failureDomain,
    ...(kind === "engine" ? { model: pool } : { service: pool }),
  };
}

function createEpoch(nowMs: number): Epoch {
  return Math.floor(nowMs) * epochsPerMs +
    createSystemRandom().getInteger(epochsPerMs);
}
