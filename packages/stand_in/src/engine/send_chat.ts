import type { ServerResponse } from "node:http";
import { sendJson } from "@jasminetide/runtime/http";
import {
  type AnswerMetadata,
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

/** Request, metadata and faults from which an answer is created. */
export type ChatAnswerOptions = {
  chat: ChatRequest;
  request: EngineRequest;
  metadata: AnswerMetadata;
  faults: EngineFaults;
};

/** Creates a sink that writes the events of a request to the response. */
export function createChatSink(
  response: ServerResponse,
  options: ChatAnswerOptions,
): EngineSink {
  const send = options.chat.stream === true
    ? createStreamSink(response, options)
    : createBufferedSink(response, options);
  return createFaultInjectingSink(response, { faults: options.faults, send });
}

/** Closes or stalls the connection according to the faults. */
function createFaultInjectingSink(
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
  const { chat, request, metadata } = options;
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
          createChunk(chat, { ...metadata, content: tokens[event.index] }),
        );
        break;
      case "finished": {
        writeEvent(response, createChunk(chat, metadata));
        if (chat.stream_options?.include_usage === true) {
          const usage = createUsage(getTokenCounts(request, cached));
          writeEvent(response, createUsageChunk(chat, { ...metadata, usage }));
        }
        response.end("data: [DONE]\n\n");
      }
    }
  };
}

function createBufferedSink(
  response: ServerResponse,
  options: ChatAnswerOptions,
): EngineSink {
  const { chat, request, metadata } = options;
  let cached = 0;
  return (event) => {
    if (event.type === "started") cached = event.cachedTokens;
    if (event.type !== "finished") return;
    const usage = createUsage(getTokenCounts(request, cached));
    const offsetTokens = request.offsetTokens ?? 0;
    sendJson(
      response,
      createCompletion(chat, { ...metadata, usage, offsetTokens }),
    );
  };
}

function getTokenCounts(request: EngineRequest, cached: number) {
  return {
    prompt: request.promptTokens,
    cached,
    answer: request.answerTokens - (request.offsetTokens ?? 0),
  };
}

function writeEvent(response: ServerResponse, event: unknown): void {
  response.write(`data: ${JSON.stringify(event)}\n\n`);
}
