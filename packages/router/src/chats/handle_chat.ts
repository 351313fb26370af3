import type { IncomingMessage, ServerResponse } from "node:http";
import { AppError } from "@jasminetide/core/results";
import { getChatKey } from "@jasminetide/core/routing";
import { headerNames } from "@jasminetide/runtime/exchange";
import { readBody, sendJson } from "@jasminetide/runtime/http";
import { dispatchRequest } from "../attempts/mod.ts";
import { authenticateCaller, getDeadlineMs } from "../callers/mod.ts";
import { ChatChoice } from "../choice/mod.ts";
import { sendRequest } from "../relay/mod.ts";
import type { RouterContext } from "../router_context.ts";
import {
  type ChatRequest,
  getCostTokens,
  parseChatRequest,
} from "./chat_request.ts";

/** Header in which a caller names the chat that a turn belongs to. */
const chatIdHeader = "x-chat-id";

/** Handles `POST /v1/chat/completions`. */
export async function handleChat(
  request: IncomingMessage,
  response: ServerResponse,
  context: RouterContext,
): Promise<void> {
  const arrivedAtMs = context.timers.nowMs();
  const { body: configuration } = context.configuration.get();
  const workspace = authenticateCaller(request, context.getKeyIndex());
  const { settings, requestClass } = context.resolve({ workspace });
  const deadlineMs = getDeadlineMs(request, settings.request.deadlineMs);
  const body = await readBody(request, settings.request.maximumBodyBytes);
  const chat = parseChatRequest(body);
  if (!configuration.models.some((model) => model.name === chat.model)) {
    throw AppError.create(
      "unknownModel",
      `Model "${chat.model}" does not exist`,
    );
  }
  const key = getRequestChatKey(request, { workspace, chat });
  const costTokens = getCostTokens(chat, body.length);
  context.limiter.check(workspace, { tokens: costTokens });
  using choice = ChatChoice.create({
    key,
    costTokens,
    pool: context.poolViews.get(chat.model, {
      nowMs: context.timers.nowMs(),
      rampUpMs: settings.membership.rampUpMs,
    }),
    settings: settings.load,
    timers: context.timers,
  });
  await sendRequest(
    {
      request: {
        method: "POST",
        path: "/v1/chat/completions",
        headers: { "content-type": "application/json" },
        body,
      },
      envelope: {
        workspace,
        priority: requestClass.priority,
        weight: settings.workspace.weight,
        costTokens,
        pool: chat.model,
        chatKey: key.toString(16),
        isIdempotent: true,
        configurationVersion: context.configuration.version,
      },
      deadlineAtMs: arrivedAtMs + deadlineMs,
      settings,
      chooseRunner: (tried) => {
        const runner = choice.choose(tried);
        return runner === undefined
          ? context.membership.getCandidates(chat.model, tried)[0]
          : context.membership.runners.get(runner);
      },
      observeRefusal: (headers) => {
        const holder = headers[headerNames.chatHolder];
        if (typeof holder !== "string") return;
        context.metrics.count("chats-redirected");
        choice.setHolder(decodeURIComponent(holder));
      },
    },
    response,
    {
      context,
      mode: chat.stream === true ? "event-stream" : "buffered",
      dispatch: dispatchRequest,
    },
  );
}

/** Handles `GET /v1/models`. */
export function handleModels(
  request: IncomingMessage,
  response: ServerResponse,
  context: RouterContext,
): void {
  authenticateCaller(request, context.getKeyIndex());
  const { models } = context.configuration.get().body;
  const data = models.map((model) => ({
    id: model.name,
    object: "model",
    created: 0,
    owned_by: "jasminetide",
  }));
  sendJson(response, { object: "list", data });
}

function getRequestChatKey(
  request: IncomingMessage,
  options: { workspace: string; chat: ChatRequest },
): bigint {
  const chatId = request.headers[chatIdHeader];
  return getChatKey({
    workspace: options.workspace,
    model: options.chat.model,
    messages: options.chat.messages.map(({ role, content }) => ({
      role,
      content,
    })),
    chatId: typeof chatId === "string" ? chatId : undefined,
  });
}
