import { PrefixHolders, RepeatBudget } from "@jasminetide/core/pools";
import { createSystemRandom } from "@jasminetide/core/random";
import { RouteTable, type RoutingDeclaration } from "@jasminetide/core/routes";
import { type TimerService, wait } from "@jasminetide/core/timers";
import { ResourceStack } from "@jasminetide/runtime/disposal";
import type { Logger } from "@jasminetide/runtime/logging";
import { Metrics } from "@jasminetide/runtime/metrics";
import { ObjectFollower, type ObjectSource } from "./following/mod.ts";
import type { GatewayContext } from "./gateway_context.ts";
import { CallerListener, startReadinessListener } from "./listening/mod.ts";
import type { WireProtocol } from "./protocol.ts";
import { RequestLog } from "./request_log.ts";
import { serveRequest } from "./requests/mod.ts";
import type { GatewaySettings } from "./settings.ts";
import { Directory, type RunnerRecord } from "./upstreams/mod.ts";

/** What a gateway is started with. */
export type GatewayOptions = {
  settings: GatewaySettings;
  timers: TimerService;
  logger: Logger;
  protocol: WireProtocol;
  declarations: ObjectSource<RoutingDeclaration>;
  runners: ObjectSource<RunnerRecord>;
};

/**
 * A router without sidecars: takes any request by declared routes and brings
 * it to a runner of the route's service.
 */
export class Gateway {
  readonly #options: GatewayOptions;
  readonly #resources = ResourceStack.create();
  readonly #metrics = Metrics.create();
  readonly #directory: Directory;
  readonly #budgets = new Map<string, RepeatBudget>();
  readonly #context: GatewayContext;
  #listener: CallerListener | undefined;
  #routes: RouteTable | undefined;
  #callerAddress = "";
  #hasRunners = false;
  #isStopping = false;
  #openRequests = 0;

  private constructor(options: GatewayOptions) {
    this.#options = options;
    this.#directory = Directory.create(options);
    this.#context = this.#createContext();
  }

  /** Starts a gateway and its listeners. */
  static async create(options: GatewayOptions): Promise<Gateway> {
    const gateway = new Gateway(options);
    await gateway.#start();
    return gateway;
  }

  /** Whether the balancer should send callers here. */
  get isReady(): boolean {
    return !this.#isStopping && this.#routes !== undefined && this.#hasRunners;
  }

  /** `ip:port` for callers. */
  get callerAddress(): string {
    return this.#callerAddress;
  }

  /** Version of the declaration in force, 0 before the first. */
  get declarationVersion(): number {
    return this.#routes?.declaration.version ?? 0;
  }

  /** Tells the balancer, finishes the requests in flight, and closes. */
  async [Symbol.asyncDispose](): Promise<void> {
    if (this.#isStopping) return;
    this.#isStopping = true;
    const { settings: { stop }, timers, logger } = this.#options;
    const startedAtMs = timers.nowMs();
    const limitMs = stop.graceSeconds * 1000 - stopMarginMs;
    logger.info("leaving", { openRequests: this.#openRequests });
    await wait(timers, stop.noticeMs);
    this.#listener?.closeIdle();
    while (
      this.#openRequests > 0 && timers.nowMs() - startedAtMs < limitMs
    ) {
      await wait(timers, stopCheckPeriodMs);
      // Answers that had begun before the stop did not say that it was coming.
      this.#listener?.closeIdle();
    }
    logger.info("left", { openRequests: this.#openRequests });
    await this.#resources[Symbol.asyncDispose]();
  }

  async #start(): Promise<void> {
    const { settings, logger } = this.#options;
    this.#resources.use(
      await startReadinessListener(
        settings.readinessAddress,
        () => this.isReady,
      ),
    );
    this.#listener = this.#resources.use(
      await CallerListener.create(
        settings.callerAddress,
        (request, response) => {
          this.#openRequests += 1;
          void serveRequest(request, response, this.#context)
            .finally(() => this.#openRequests -= 1);
        },
      ),
    );
    this.#callerAddress = this.#listener.address;
    this.#follow();
    logger.info("gateway-started", { callers: this.#callerAddress });
  }

  #follow(): void {
    const { declarations, runners, settings: { platform } } = this.#options;
    const common = {
      ...this.#options,
      random: this.#context.random,
      watchMs: platform.noticeSilenceMs * watchShare,
    };
    this.#resources.use(ObjectFollower.create({
      ...common,
      name: "declarations",
      source: declarations,
      keepMissingMs: 0,
      onObjects: (objects) => this.#applyDeclarations(objects.values()),
    }));
    this.#resources.use(ObjectFollower.create({
      ...common,
      name: "runners",
      source: runners,
      keepMissingMs: platform.keepMissingMs,
      onObjects: (objects) => {
        this.#directory.apply(objects);
        this.#hasRunners = true;
      },
    }));
  }

  /** Puts the newest declaration in force; an older one never replaces it. */
  #applyDeclarations(declarations: Iterable<RoutingDeclaration>): void {
    for (const declaration of declarations) {
      if (declaration.version <= this.declarationVersion) continue;
      this.#options.logger.info("declaration-applied", {
        version: declaration.version,
        before: this.declarationVersion,
        routes: declaration.routes.length,
      });
      this.#routes = RouteTable.create(declaration);
      this.#listener?.setLimits(declaration.callerLimits);
    }
  }

  #createContext(): GatewayContext {
    const { logger, protocol, settings, timers } = this.#options;
    return {
      protocol,
      directory: this.#directory,
      holders: PrefixHolders.create({ maxParts: rememberedParts }),
      failureDomain: settings.failureDomain,
      timers,
      random: createSystemRandom(),
      metrics: this.#metrics,
      requestLog: RequestLog.create({ logger, timers, ...settings.log }),
      getRoutes: () => this.#routes,
      getRepeatBudget: (service) => this.#getRepeatBudget(service),
      countRouters: () => assumedRouters,
      isStopping: () => this.#isStopping,
    };
  }

  #getRepeatBudget(service: string): RepeatBudget {
    let budget = this.#budgets.get(service);
    if (budget === undefined) {
      const { ratio, slack, windowSeconds } = this.#options.settings.repeats;
      budget = RepeatBudget.create({
        ratio,
        slack,
        windowMs: windowSeconds * 1000,
      });
      this.#budgets.set(service, budget);
    }
    return budget;
  }
}

const stopCheckPeriodMs = 50;

/** Time that is left for closing before the process is killed. */
const stopMarginMs = 400;

/** Part of the time for noticing silence that one watch may take. */
const watchShare = 0.6;

/** Shared parts of prompts of which a router remembers the engines. */
const rememberedParts = 20_000;

/** Routers that a budget is split over while the others are not known. */
const assumedRouters = 6;
