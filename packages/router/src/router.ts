import type { IncomingMessage, ServerResponse } from "node:http";
import { type Match, resolveSettings } from "@jasminetide/core/configuration";
import { createSystemRandom } from "@jasminetide/core/random";
import { AppError, normalizeError } from "@jasminetide/core/results";
import type { TimerService } from "@jasminetide/core/timers";
import {
  ConfigurationHolder,
  watchConfiguration,
} from "@jasminetide/runtime/configuration";
import {
  createPeerRouter,
  startControlServer,
} from "@jasminetide/runtime/control";
import { ResourceStack } from "@jasminetide/runtime/disposal";
import {
  type ListeningServer,
  sendJson,
  sendProblem,
  startServer,
} from "@jasminetide/runtime/http";
import type { Logger } from "@jasminetide/runtime/logging";
import { Metrics } from "@jasminetide/runtime/metrics";
import { PlatformClient } from "@jasminetide/runtime/platform";
import polka from "polka";
import { Connections, PoolStates } from "./attempts/mod.ts";
import { createKeyIndex, type KeyIndex } from "./callers/mod.ts";
import { handleChat, handleModels } from "./chats/mod.ts";
import { RunnerDirectory } from "./membership/mod.ts";
import type { RequestSettings, RouterContext } from "./router_context.ts";
import { handleService } from "./services/mod.ts";
import type { RouterSettings } from "./settings.ts";

/** What a router is started with. */
export type RouterOptions = {
  settings: RouterSettings;
  timers: TimerService;
  logger: Logger;
};

const hostListPeriodMs = 1000;

/** Settings of requests that are kept before the cache is emptied. */
const maxResolvedSubjects = 50_000;

/** Takes requests of callers and brings them to runners. */
export class Router {
  readonly #options: RouterOptions;
  readonly #metrics = Metrics.create();
  readonly #configuration = ConfigurationHolder.create();
  readonly #directory: RunnerDirectory;
  readonly #connections = Connections.create();
  readonly #pools = PoolStates.create();
  readonly #abort = new AbortController();
  readonly #resources = ResourceStack.create();
  readonly #resolved = new Map<string, RequestSettings>();
  #keyIndex: KeyIndex = new Map();
  #callerAddress = "";
  #controlAddress = "";

  private constructor(options: RouterOptions) {
    this.#options = options;
    this.#directory = RunnerDirectory.create(options.logger);
  }

  /** Starts a router and its listeners. */
  static async create(options: RouterOptions): Promise<Router> {
    const router = new Router(options);
    await router.#start();
    return router;
  }

  /** `ip:port` for callers. */
  get callerAddress(): string {
    return this.#callerAddress;
  }

  /** `ip:port` for peers and operators. */
  get controlAddress(): string {
    return this.#controlAddress;
  }

  /** Whether the router has a configuration and knows a live runner. */
  get isReady(): boolean {
    return this.#configuration.isLoaded && this.#directory.runners.size > 0;
  }

  /** Stops accepting, finishes the requests in flight, and closes. */
  async [Symbol.asyncDispose](): Promise<void> {
    await this.#resources[Symbol.asyncDispose]();
  }

  async #start(): Promise<void> {
    const { settings, timers, logger } = this.#options;
    const platform = PlatformClient.create({
      address: settings.platformAddress,
    });
    this.#resources.use(platform);
    this.#resources.use(this.#connections);
    this.#startMembership(platform);
    this.#resources.use(this.#configuration.subscribe(({ body }) => {
      this.#keyIndex = createKeyIndex(body);
      this.#resolved.clear();
      this.#pools.clear();
    }));
    void watchConfiguration(this.#abort.signal, {
      platform,
      holder: this.#configuration,
      logger,
      wait: (durationMs) =>
        new Promise((resolve) => timers.schedule(durationMs, () => resolve())),
    });
    this.#resources.defer(() => this.#abort.abort());
    const control = await this.#startControl();
    this.#resources.use(control);
    this.#controlAddress = control.address;
    const callers = await this.#startCallers();
    this.#resources.defer(() => callers.close());
    this.#callerAddress = callers.address;
    logger.info("router-started", { callers: callers.address });
  }

  #startMembership(platform: PlatformClient): void {
    const { timers } = this.#options;
    const load = (nowMs: number) => void this.#directory.load(platform, nowMs);
    load(timers.nowMs());
    this.#resources.use(timers.subscribe(hostListPeriodMs, load));
  }

  #startControl(): Promise<ListeningServer> {
    const { settings } = this.#options;
    return startControlServer({
      address: settings.controlAddress,
      operatorKeyHash: settings.operatorKeyHash,
      getDump: () => this.#getDump(),
      router: createPeerRouter({
        getConfiguration: (afterVersion) =>
          this.#configuration.version > afterVersion
            ? this.#configuration.get()
            : undefined,
      }),
    });
  }

  #startCallers(): Promise<ListeningServer> {
    const context = this.#createContext();
    const app = polka({
      onNoMatch: (_request, response) =>
        sendProblem(response, AppError.create("notFound", "No such path")),
    });
    app.get(
      "/healthz",
      (_request, response) => sendJson(response, { status: "ok" }),
    );
    app.get("/readyz", (_request, response) => this.#sendReady(response));
    app.get(
      "/v1/models",
      handleWith(context, handleModels),
    );
    app.post("/v1/chat/completions", handleWith(context, handleChat));
    app.all("/*", handleWith(context, handleService));
    return startServer(
      this.#options.settings.callerAddress,
      (request, response) => {
        app.handler(request as polka.Request, response);
      },
    );
  }

  #sendReady(response: ServerResponse): void {
    sendJson(response, { ready: this.isReady }, {
      status: this.isReady ? 200 : 503,
    });
  }

  #createContext(): RouterContext {
    return {
      configuration: this.#configuration,
      directory: this.#directory,
      connections: this.#connections,
      pools: this.#pools,
      timers: this.#options.timers,
      random: createSystemRandom(),
      metrics: this.#metrics,
      logger: this.#options.logger,
      getKeyIndex: () => this.#keyIndex,
      resolve: (subject) => this.#resolve(subject),
    };
  }

  #resolve(subject: Match): RequestSettings {
    const cacheKey = JSON.stringify(subject);
    const cached = this.#resolved.get(cacheKey);
    if (cached !== undefined) return cached;
    const { body } = this.#configuration.get();
    const { settings } = resolveSettings(body, subject);
    const requestClass =
      body.classes.find((entry) => entry.name === settings.request.class) ??
        body.classes[0];
    const resolved = { settings, requestClass };
    if (this.#resolved.size >= maxResolvedSubjects) this.#resolved.clear();
    this.#resolved.set(cacheKey, resolved);
    return resolved;
  }

  #getDump() {
    return {
      process: { type: "router", name: this.#options.settings.name },
      configurationVersion: this.#configuration.version,
      runners: [...this.#directory.runners.rows()],
      metrics: this.#metrics.getSnapshot(),
    };
  }
}

type Handler = (
  request: IncomingMessage,
  response: ServerResponse,
  context: RouterContext,
) => Promise<void> | void;

/** Answers with a problem document when a handler throws. */
function handleWith(context: RouterContext, handler: Handler) {
  return async (request: IncomingMessage, response: ServerResponse) => {
    try {
      await handler(request, response, context);
    } catch (thrown) {
      const error = normalizeError(thrown);
      context.metrics.count(`answered-${error.result}`);
      if (error.result === "internal") {
        context.logger.error("request-failed", {
          code: error.code,
          detail: error.message,
        });
      }
      sendProblem(response, error);
    }
  };
}
