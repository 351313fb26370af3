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
  /** Addresses to try in order; the next one if a connection is refused. */
  targets: readonly string[];
  method: "GET" | "POST";
  path: string;
  key: string;
  idempotencyKey?: string;
  body?: string;
  /** Format in which the answer is parsed. */
  answerFormat: "stream" | "completion" | "body";
};

/** Result of a request. */
export type CallResult = {
  outcome: Outcome;
  /** Arrival of a stream's first text or of a buffered body; else undefined. */
  firstByteAtMs?: number;
};

/** Connections, clock and cancellation for sending calls. */
export type CallContext = {
  dispatcher: Dispatcher;
  getNowMs: () => number;
  signal: AbortSignal;
};

/**
 * Sends one request and reads its answer; never throws. Like a load balancer, it
 * tries the next target when a connection is refused.
 */
export async function sendCall(
  call: CallRequest,
  context: CallContext,
): Promise<CallResult> {
  for (const target of call.targets) {
    try {
      return await sendTo(target, call, context);
    } catch (error) {
      if (!isConnectionRefused(error)) break;
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

function isConnectionRefused(error: unknown): boolean {
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
  if (call.answerFormat === "stream") {
    return await readStream(response, context);
  }
  const text = await response.body.text();
  const firstByteAtMs = context.getNowMs();
  const outcome: Outcome = call.answerFormat === "completion"
    ? parseCompletion(text)
    : { type: "answered", answer: text };
  return { outcome, firstByteAtMs };
}

async function readStream(
  response: Dispatcher.ResponseData,
  context: CallContext,
): Promise<CallResult> {
  const reader = StreamReader.create();
  const decoder = new TextDecoder();
  let firstByteAtMs: number | undefined;
  for await (const chunk of response.body) {
    reader.read(decoder.decode(chunk as Uint8Array, { stream: true }));
    if (reader.hasText) firstByteAtMs ??= context.getNowMs();
  }
  const outcome = reader.getOutcome();
  return firstByteAtMs === undefined ? { outcome } : { outcome, firstByteAtMs };
}
