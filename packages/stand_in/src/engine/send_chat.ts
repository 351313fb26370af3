import type { ServerResponse } from "node:http";
import { sendJson } from "@jasminetide/runtime/http";
import {
  type AnswerStamp,
  createAnswerTokens,
  createChunk,
  createCompletion,
  createUsage,
  createUsageChunk,
} from "./chat_answer.ts";
import type { ChatRequest } from "./chat_request.ts";
import type { EngineSink } from "./engine_driver.ts";
import type { EngineFaults } from "./faults.ts";
import type { EngineRequest } from "./model/mod.ts";

/** What an answer is made of. */
export type ChatAnswerOptions = {
  chat: ChatRequest;
  request: EngineRequest;
  stamp: AnswerStamp;
  faults: EngineFaults;
};

/** Creates the sink that sends a request's events as its answer. */
export function createChatSink(
  response: ServerResponse,
  options: ChatAnswerOptions,
): EngineSink {
  const send = options.chat.stream === true
    ? createStreamSink(response, options)
    : createWholeSink(response, options);
  return createFaultySink(response, { faults: options.faults, send });
}

/** Cuts or silences an answer as the faults say. */
function createFaultySink(
  response: ServerResponse,
  options: { faults: EngineFaults; send: EngineSink },
): EngineSink {
  const { faults, send } = options;
  let tokens = 0;
  return (event) => {
    if (faults.failBeforeFirstByte && event.type !== "started") {
      response.destroy();
    } else if (tokens === faults.cutAfterTokens) {
      response.socket?.destroySoon();
    } else if (tokens !== faults.stallAfterTokens) {
      if (event.type === "token") tokens += 1;
      send(event);
    }
  };
}

function createStreamSink(
  response: ServerResponse,
  options: ChatAnswerOptions,
): EngineSink {
  const { chat, request, stamp } = options;
  const tokens = createAnswerTokens(chat);
  let cached = 0;
  return (event) => {
    switch (event.type) {
      case "started":
        cached = event.cachedTokens;
        response.writeHead(200, { "content-type": "text/event-stream" });
        break;
      case "token":
        writeEvent(
          response,
          createChunk(chat, { ...stamp, content: tokens[event.index] }),
        );
        break;
      case "finished": {
        writeEvent(response, createChunk(chat, stamp));
        if (chat.stream_options?.include_usage === true) {
          const usage = createUsage(getTokens(request, cached));
          writeEvent(response, createUsageChunk(chat, { ...stamp, usage }));
        }
        response.end("data: [DONE]\n\n");
      }
    }
  };
}

function createWholeSink(
  response: ServerResponse,
  options: ChatAnswerOptions,
): EngineSink {
  const { chat, request, stamp } = options;
  let cached = 0;
  return (event) => {
    if (event.type === "started") cached = event.cachedTokens;
    if (event.type !== "finished") return;
    const usage = createUsage(getTokens(request, cached));
    const offsetTokens = request.offsetTokens ?? 0;
    sendJson(
      response,
      createCompletion(chat, { ...stamp, usage, offsetTokens }),
    );
  };
}

function getTokens(request: EngineRequest, cached: number) {
  return {
    prompt: request.promptTokens,
    cached,
    answer: request.answerTokens - (request.offsetTokens ?? 0),
  };
}

function writeEvent(response: ServerResponse, event: unknown): void {
  response.write(`data: ${JSON.stringify(event)}\n\n`);
}
