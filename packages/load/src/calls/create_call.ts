import { createAnswerTokens } from "@jasminetide/stand_in";
import type { Arrival } from "../arrivals/mod.ts";
import type { Operation } from "../history/mod.ts";
import type { CallRequest } from "./send_call.ts";

/** A request and its operation, without a target and the caller's key. */
export type PlannedCall = {
  request: Omit<CallRequest, "targets" | "key">;
  operation: Operation;
};

/** One message of a chat. */
export type Message = { role: string; content: string };

/** Messages and answer length of a chat turn. */
export type TurnOptions = { messages: Message[]; answerTokens: number };

type ArrivalOf<Kind extends Arrival["kind"]> = Extract<Arrival, { kind: Kind }>;

/** Creates the request of a chat turn, with the answer it must receive. */
export function createChatCall(
  { mix }: ArrivalOf<"chat">,
  turn: TurnOptions,
): PlannedCall & { answer: string } {
  const body = {
    model: mix.model,
    messages: turn.messages,
    max_tokens: turn.answerTokens,
    stream: mix.isStreamed,
  };
  const tokens = createAnswerTokens(body);
  return {
    answer: tokens.join(""),
    request: {
      method: "POST",
      path: "/v1/chat/completions",
      body: JSON.stringify(body),
      answerFormat: mix.isStreamed ? "stream" : "completion",
    },
    operation: {
      kind: "chat",
      workspace: mix.workspace,
      model: mix.model,
      answerToken: tokens[0].slice(0, tokens[0].lastIndexOf("-")),
      answerTokens: tokens.length,
    },
  };
}

/** Creates the request of an idempotent lookup. */
export function createLookupCall(
  { mix, account }: ArrivalOf<"lookup">,
): PlannedCall {
  const path = mix.path.replaceAll("{account}", account);
  return {
    request: {
      method: "GET",
      path: `/${mix.service}${path}`,
      answerFormat: "body",
    },
    operation: { kind: "lookup", service: mix.service, account },
  };
}

/** Creates the request of a call that moves money. */
export function createMoneyCall(
  { mix, account, amount }: ArrivalOf<"money">,
  key: string | undefined,
): PlannedCall {
  return {
    request: {
      method: "POST",
      path: `/${mix.service}${mix.path}`,
      body: JSON.stringify({ account, amount }),
      answerFormat: "body",
      ...(key === undefined ? {} : { idempotencyKey: key }),
    },
    operation: {
      kind: "money",
      service: mix.service,
      account,
      amount,
      ...(key === undefined ? {} : { key }),
    },
  };
}
