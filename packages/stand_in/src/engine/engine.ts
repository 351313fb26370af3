import type { IncomingMessage, ServerResponse } from "node:http";
import {
  createSystemRandom,
  type RandomSource,
} from "@jasminetide/core/random";
import { AppError } from "@jasminetide/core/results";
import type { TimerService } from "@jasminetide/core/timers";
import { readBody, sendProblem } from "@jasminetide/runtime/http";
import {
  createEngineRequest,
  engineHeaders,
  parseChat,
} from "./chat_request.ts";
import { handleControlRequest } from "./control.ts";
import { EngineDriver } from "./engine_driver.ts";
import { createEngineFaults, type EngineFaults, takeFaults } from "./faults.ts";
import {
  createEngineProfile,
  EngineModel,
  type EngineProfile,
  type WeightStore,
} from "./model/mod.ts";
import { createChatSink } from "./send_chat.ts";

/** Options of an engine. */
export type EngineOptions = {
  timers: TimerService;
  models: string[];
  profile?: Partial<EngineProfile>;
  random?: RandomSource;
  /** Store from which weights are loaded; without it, loading takes no time. */
  weights?: WeightStore;
};

const maxBodyBytes = 4_194_304;
const chatPath = "/v1/chat/completions";
const cancelPath = /^\/v1\/chat\/completions\/([^/]+)\/cancel$/;

/** Serves the OpenAI-compatible HTTP API of a simulated engine. */
export class Engine {
  readonly faults: EngineFaults = createEngineFaults();
  readonly #options: EngineOptions;
  readonly #driver: EngineDriver;
  #requestCount = 0;

  private constructor(options: EngineOptions) {
    this.#options = options;
    const model = EngineModel.create({
      profile: createEngineProfile(options.profile),
      models: options.models,
      random: options.random ?? createSystemRandom(),
      weights: options.weights,
    });
    this.#driver = EngineDriver.create(model, options.timers);
  }

  /** Creates an idle engine. */
  static create(options: EngineOptions): Engine {
    return new Engine(options);
  }

  /** Number of requests that are waiting or running. */
  get running(): number {
    return this.#driver.model.activeCount;
  }

  /** Number of chat requests parsed since the start. */
  get requestCount(): number {
    return this.#requestCount;
  }

  /** The model that simulates scheduling and timing. */
  get model(): EngineModel {
    return this.#driver.model;
  }

  /** Handles one HTTP request. */
  async handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    try {
      const text = (await readBody(request, maxBodyBytes)).toString("utf8");
      const path = request.url ?? "/";
      const cancel = cancelPath.exec(path);
      if (cancel !== null) this.#cancel(cancel[1], response);
      else if (path === chatPath) this.#answer(text, request, response);
      else {
        await handleControlRequest({ request, text }, response, {
          driver: this.#driver,
          faults: this.faults,
          nowMs: this.#options.timers.nowMs(),
        });
      }
    } catch (error) {
      sendProblem(response, error);
    }
  }

  #cancel(id: string, response: ServerResponse): void {
    if (!this.#driver.cancel(id)) {
      throw AppError.create(
        "notFound",
        `No request "${id}" is waiting or running`,
      );
    }
    response.writeHead(204).end();
  }

  #answer(
    text: string,
    incoming: IncomingMessage,
    response: ServerResponse,
  ): void {
    const faults = takeFaults(this.faults);
    if (faults.refuse) {
      throw AppError.create(
        "runnerRefused",
        "Engine refuses requests (injected fault)",
      );
    }
    const chat = parseChat(text);
    const { headers } = incoming;
    const id = this.#createId(headers[engineHeaders.requestId]);
    const { model } = this.#driver;
    const request = createEngineRequest(chat, { id, headers, model });
    const createdSeconds = Math.floor(this.#options.timers.nowMs() / 1000);
    const metadata = { id, createdSeconds };
    const sink = createChatSink(response, {
      chat,
      request,
      metadata,
      faults,
    });
    this.#driver.start(request, sink);
    response.on("close", () => this.#driver.cancel(id));
  }

  #createId(requestId: string | string[] | undefined): string {
    this.#requestCount += 1;
    return typeof requestId === "string"
      ? requestId
      : `chatcmpl-${this.#requestCount}`;
  }
}
