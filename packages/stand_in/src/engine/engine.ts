import { once } from "node:events";
import type { IncomingMessage, ServerResponse } from "node:http";
import { AppError } from "@jasminetide/core/results";
import type { TimerService } from "@jasminetide/core/timers";
import { readBody, sendJson, sendProblem } from "@jasminetide/runtime/http";
import {
  type ChatBody,
  createAnswerTokens,
  createChunk,
  createCompletion,
} from "./chat_answer.ts";

/** How an engine behaves. */
export type EngineOptions = {
  timers: TimerService;
  models: string[];
  firstTokenMs: number;
  betweenTokensMs: number;
};

const maxBodyBytes = 4_194_304;

/** Serves the OpenAI-compatible protocol with made-up answers. */
export class Engine {
  readonly #options: EngineOptions;
  #count = 0;
  #running = 0;

  private constructor(options: EngineOptions) {
    this.#options = options;
  }

  /** Creates an idle engine. */
  static create(options: EngineOptions): Engine {
    return new Engine(options);
  }

  /** Requests that run. */
  get running(): number {
    return this.#running;
  }

  /** Handles one HTTP request. */
  async handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    try {
      if (request.url !== "/v1/chat/completions") {
        throw AppError.create("notFound", `No path ${request.url}`);
      }
      const text = (await readBody(request, maxBodyBytes)).toString("utf8");
      await this.#answer(JSON.parse(text) as ChatBody, response);
    } catch (error) {
      sendProblem(response, error);
    }
  }

  async #answer(body: ChatBody, response: ServerResponse): Promise<void> {
    if (!this.#options.models.includes(body.model)) {
      throw AppError.create("unknownModel", `No model "${body.model}"`);
    }
    this.#count += 1;
    this.#running += 1;
    try {
      await this.#wait(this.#options.firstTokenMs);
      if (body.stream === true) await this.#stream(body, response);
      else await this.#sendWhole(body, response);
    } finally {
      this.#running -= 1;
    }
  }

  async #sendWhole(body: ChatBody, response: ServerResponse): Promise<void> {
    const tokens = createAnswerTokens(body).length;
    await this.#wait(this.#options.betweenTokensMs * tokens);
    const promptTokens = Math.ceil(JSON.stringify(body.messages).length / 4);
    sendJson(
      response,
      createCompletion(body, { ...this.#createStamp(), promptTokens }),
    );
  }

  async #stream(body: ChatBody, response: ServerResponse): Promise<void> {
    const stamp = this.#createStamp();
    response.writeHead(200, { "content-type": "text/event-stream" });
    for (const content of createAnswerTokens(body)) {
      if (response.closed) return;
      await this.#write(response, createChunk(body, { ...stamp, content }));
      await this.#wait(this.#options.betweenTokensMs);
    }
    await this.#write(response, createChunk(body, stamp));
    response.end("data: [DONE]\n\n");
  }

  async #write(response: ServerResponse, event: unknown): Promise<void> {
    if (response.write(`data: ${JSON.stringify(event)}\n\n`)) return;
    await Promise.race([once(response, "drain"), once(response, "close")]);
  }

  #createStamp(): { id: string; createdSeconds: number } {
    return {
      id: `chatcmpl-${this.#count}`,
      createdSeconds: Math.floor(this.#options.timers.nowMs() / 1000),
    };
  }

  #wait(durationMs: number): Promise<void> {
    return new Promise((resolve) => {
      this.#options.timers.schedule(durationMs, () => resolve());
    });
  }
}
