import { type Dispatcher, request } from "undici";
import type { Outcome } from "../history/mod.ts";
import {
  parseCompletion,
  parseJson,
  parseProblem,
  StreamReader,
} from "./read_answer.ts";

/** A request of a caller. */
export type CallRequest = {
  /** Where to send it; those after the first when a connection is refused. */
  targets: readonly string[];
  method: "GET" | "POST";
  path: string;
  key: string;
  idempotencyKey?: string;
  body?: string;
  /** How the answer is read. */
  answer: "stream" | "completion" | "body";
};

/** What became of a request. */
export type CallResult = {
  outcome: Outcome;
  /** When the first piece of the answer came; undefined without one. */
  firstAtMs?: number;
};

/** What calls are sent with. */
export type CallContext = {
  dispatcher: Dispatcher;
  getNowMs: () => number;
  signal: AbortSignal;
};

/**
 * Sends one request and reads its answer; it never throws. As a balancer
 * would, it goes to the next target when a connection is refused.
 */
export async function sendCall(
  call: CallRequest,
  context: CallContext,
): Promise<CallResult> {
  for (const target of call.targets) {
    try {
      return await sendTo(target, call, context);
    } catch (error) {
      if (!isRefused(error)) break;
    }
  }
  return { outcome: { type: "lost" } };
}

async function sendTo(
  target: string,
  call: CallRequest,
  context: CallContext,
): Promise<CallResult> {
  const response = await request(`http://${target}${call.path}`, {
    method: call.method,
    headers: createHeaders(call),
    ...(call.body === undefined ? {} : { body: call.body }),
    dispatcher: context.dispatcher,
    signal: context.signal,
  });
  return readResponse(call, response, context);
}

function isRefused(error: unknown): boolean {
  return error instanceof Error && "code" in error &&
    error.code === "ECONNREFUSED";
}

function createHeaders(call: CallRequest): Record<string, string> {
  return {
    authorization: `Bearer ${call.key}`,
    ...(call.body === undefined ? {} : { "content-type": "application/json" }),
    ...(call.idempotencyKey === undefined
      ? {}
      : { "idempotency-key": call.idempotencyKey }),
  };
}

async function readResponse(
  call: CallRequest,
  response: Dispatcher.ResponseData,
  context: CallContext,
): Promise<CallResult> {
  if (response.statusCode >= 400) {
    const problem = parseJson(await response.body.text());
    return { outcome: parseProblem(problem) };
  }
  if (call.answer === "stream") return await readStream(response, context);
  const text = await response.body.text();
  const firstAtMs = context.getNowMs();
  const outcome: Outcome = call.answer === "completion"
    ? parseCompletion(text)
    : { type: "answered", answer: text };
  return { outcome, firstAtMs };
}

async function readStream(
  response: Dispatcher.ResponseData,
  context: CallContext,
): Promise<CallResult> {
  const reader = StreamReader.create();
  const decoder = new TextDecoder();
  let firstAtMs: number | undefined;
  for await (const piece of response.body) {
    reader.read(decoder.decode(piece as Uint8Array, { stream: true }));
    if (reader.hasText) firstAtMs ??= context.getNowMs();
  }
  const outcome = reader.getOutcome();
  return firstAtMs === undefined ? { outcome } : { outcome, firstAtMs };
}
