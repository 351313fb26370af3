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
import { handleControl } from "./control.ts";
import { EngineDriver } from "./engine_driver.ts";
import { createEngineFaults, type EngineFaults, takeFaults } from "./faults.ts";
import {
  createEngineProfile,
  EngineModel,
  type EngineProfile,
  type WeightStore,
} from "./model/mod.ts";
import { createChatSink } from "./send_chat.ts";

/** How an engine behaves. */
export type EngineOptions = {
  timers: TimerService;
  models: string[];
  profile?: Partial<EngineProfile>;
  random?: RandomSource;
  /** Store that orders to load a model fetch from; absent means at once. */
  weights?: WeightStore;
};

const maxBodyBytes = 4_194_304;
const chatPath = "/v1/chat/completions";
const cancelPath = /^\/v1\/chat\/completions\/([^/]+)\/cancel$/;

/** Serves the OpenAI-compatible protocol from an engine model. */
export class Engine {
  readonly faults: EngineFaults = createEngineFaults();
  readonly #options: EngineOptions;
  readonly #driver: EngineDriver;
  #count = 0;

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

  /** Requests that wait or run. */
  get running(): number {
    return this.#driver.model.size;
  }

  /** Chats that have arrived since the start. */
  get requestCount(): number {
    return this.#count;
  }

  /** The model that decides what happens when. */
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
        await handleControl({ request, text }, response, {
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
      throw AppError.create("notFound", `No request "${id}" runs`);
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
      throw AppError.create("runnerRefused", "Engine takes no request now");
    }
    const chat = parseChat(text);
    const { headers } = incoming;
    const id = this.#createId(headers[engineHeaders.requestId]);
    const { model } = this.#driver;
    const request = createEngineRequest(chat, { id, headers, model });
    const createdSeconds = Math.floor(this.#options.timers.nowMs() / 1000);
    const stamp = { id, createdSeconds };
    const sink = createChatSink(response, { chat, request, stamp, faults });
    this.#driver.start(request, sink);
    response.on("close", () => this.#driver.cancel(id));
  }

  #createId(requestId: string | string[] | undefined): string {
    this.#count += 1;
    return typeof requestId === "string"
      ? requestId
      : `chatcmpl-${this.#count}`;
  }
}
