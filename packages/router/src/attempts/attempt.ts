import type { Buffer } from "node:buffer";
import type { IncomingHttpHeaders } from "node:http";
import type { Settings } from "@jasminetide/core/configuration";
import {
  AppError,
  formatProblem,
  resultCodes,
  type ResultName,
} from "@jasminetide/core/results";
import type { RunnerRow } from "@jasminetide/core/tables";
import type { TimerService } from "@jasminetide/core/timers";
import { createSidecarClient } from "@jasminetide/runtime/control";
import {
  formatEnvelope,
  headerNames,
  type RequestEnvelope,
} from "@jasminetide/runtime/exchange";
import type { Metrics } from "@jasminetide/runtime/metrics";
import type { Dispatcher, Pool } from "undici";
import type { Connections } from "./connections.ts";
import { waitAtMost } from "./timeouts.ts";

/** A request as it goes to a sidecar. */
export type OutgoingRequest = {
  method: string;
  path: string;
  headers: { [name: string]: string | string[] };
  body: Uint8Array;
};

/** What attempts work with. */
export type AttemptContext = {
  connections: Connections;
  timers: TimerService;
  metrics: Metrics;
  stream: Settings["stream"];
};

/** One attempt at a request at one runner. */
export type Attempt = {
  runner: RunnerRow;
  envelope: RequestEnvelope;
  request: OutgoingRequest;
  deadlineAtMs: number;
};

/** Start of an answer; the body is read by `readAnswer`. */
export type AnswerStart = {
  status: number;
  headers: IncomingHttpHeaders;
  response: Dispatcher.ResponseData;
  pool: Pool;
};

/**
 * Sends an attempt and waits for the head of its answer. When none comes in
 * time, the attempt is settled with the sidecar on a new connection.
 *
 * @throws AppError whose `executed` is `no` only when the sidecar said so or
 * nothing was sent.
 */
export async function sendAttempt(
  attempt: Attempt,
  context: AttemptContext,
): Promise<AnswerStart> {
  const pool = context.connections.get(attempt.runner.dataAddress);
  let start: AnswerStart;
  try {
    start = await request(attempt, { pool, context });
  } catch (error) {
    start = await settleAttempt(attempt, { pool, context, cause: error });
  }
  checkOwnAnswer(attempt, start, context);
  return start;
}

/** Reads an answer to its end, resuming it where a connection fails. */
export async function* readAnswer(
  attempt: Attempt,
  start: AnswerStart,
  context: AttemptContext,
): AsyncGenerator<Buffer> {
  let current = start;
  let offsetBytes = 0;
  let resumes = 0;
  while (true) {
    try {
      for await (const chunk of readChunks(current, context)) {
        offsetBytes += chunk.length;
        yield chunk;
      }
      checkEnd(attempt, current, offsetBytes);
      return;
    } catch (error) {
      if (isFinal(error)) throw error;
      resumes += 1;
      if (resumes > context.stream.maximumResumes) {
        throw AppError.create("streamInterrupted", "Answer was cut short", {
          cause: error,
        });
      }
      context.metrics.count("answers-resumed");
      const pool = context.connections.replace(
        attempt.runner.dataAddress,
        current.pool,
      );
      current = await resumeAnswer(attempt, { pool, offsetBytes, context });
    }
  }
}

/** Tells the sidecar that nobody waits for the answer any more. */
export async function cancelAttempt(
  attempt: Attempt,
  context: AttemptContext,
): Promise<void> {
  const pool = context.connections.get(attempt.runner.dataAddress);
  const answer = await pool.request({
    method: "DELETE",
    path: `/attempts/${attempt.envelope.attempt}`,
  });
  await answer.body.dump();
}

async function request(
  attempt: Attempt,
  options: { pool: Pool; context: AttemptContext },
): Promise<AnswerStart> {
  const { context, pool } = options;
  const remainingMs = attempt.deadlineAtMs - context.timers.nowMs();
  const response = await waitAtMost(
    pool.request({
      method: attempt.request.method as Dispatcher.HttpMethod,
      path: attempt.request.path,
      headers: {
        ...attempt.request.headers,
        ...formatEnvelope({ ...attempt.envelope, remainingMs }),
      },
      body: attempt.request.body.length === 0 ? null : attempt.request.body,
    }),
    {
      timers: context.timers,
      durationMs: Math.min(remainingMs, context.stream.firstByteMs),
      result: "deadlineExceeded",
      describe: `Runner ${attempt.runner.id} did not answer in time`,
    },
  );
  return createStart(response, pool);
}

async function settleAttempt(
  attempt: Attempt,
  options: { pool: Pool; context: AttemptContext; cause: unknown },
): Promise<AnswerStart> {
  const { context } = options;
  context.metrics.count("attempts-settled");
  const { dataAddress, controlAddress } = attempt.runner;
  const pool = context.connections.replace(dataAddress, options.pool);
  const client = createSidecarClient({
    address: controlAddress,
    dispatcher: context.connections.get(controlAddress),
  });
  let settlement;
  try {
    settlement = await waitAtMost(
      client.settle.mutate({
        attempt: attempt.envelope.attempt,
        epoch: attempt.envelope.epoch,
      }),
      {
        timers: context.timers,
        durationMs: settleTimeoutMs,
        result: "runnerFailed",
        describe: `Runner ${attempt.runner.id} does not answer`,
      },
    );
  } catch {
    throw AppError.create(
      "runnerFailed",
      `Runner ${attempt.runner.id} failed`,
      {
        cause: options.cause,
      },
    );
  }
  switch (settlement.type) {
    case "tombstoned":
      throw AppError.create(
        "runnerRefused",
        `Runner ${attempt.runner.id} did not run the request`,
        { cause: options.cause },
      );
    case "unknown":
      throw AppError.create(
        "runnerFailed",
        `Runner ${attempt.runner.id} was restarted`,
        { cause: options.cause },
      );
    case "running":
    case "done":
      return await resumeAnswer(attempt, { pool, offsetBytes: 0, context });
  }
}

const settleTimeoutMs = 1000;

async function resumeAnswer(
  attempt: Attempt,
  options: { pool: Pool; offsetBytes: number; context: AttemptContext },
): Promise<AnswerStart> {
  const { context, pool } = options;
  const response = await waitAtMost(
    pool.request({
      method: "GET",
      path:
        `/attempts/${attempt.envelope.attempt}?offset=${options.offsetBytes}`,
    }),
    {
      timers: context.timers,
      durationMs: attempt.deadlineAtMs - context.timers.nowMs(),
      result: "deadlineExceeded",
      describe: `Runner ${attempt.runner.id} did not resume in time`,
    },
  );
  return createStart(response, pool);
}

async function* readChunks(
  start: AnswerStart,
  context: AttemptContext,
): AsyncGenerator<Buffer> {
  const iterator = start.response.body[Symbol.asyncIterator]();
  while (true) {
    const next = await waitAtMost(iterator.next(), {
      timers: context.timers,
      durationMs: context.stream.betweenChunksMs,
      result: "runnerFailed",
      describe: "Answer stalled",
    });
    if (next.done === true) return;
    yield next.value as Buffer;
  }
}

function createStart(
  response: Dispatcher.ResponseData,
  pool: Pool,
): AnswerStart {
  return {
    status: response.statusCode,
    headers: response.headers,
    response,
    pool,
  };
}

/** Drops an answer that belongs to another attempt; closes its connection. */
function checkOwnAnswer(
  attempt: Attempt,
  start: AnswerStart,
  context: AttemptContext,
): void {
  const told = start.headers[headerNames.attempt];
  if (told === undefined || told === attempt.envelope.attempt) return;
  context.metrics.count("answers-mismatched");
  start.response.body.destroy();
  throw AppError.create(
    "answerMismatch",
    `Answer of runner ${attempt.runner.id} belongs to another attempt`,
  );
}

function checkEnd(attempt: Attempt, start: AnswerStart, bytes: number): void {
  const trailers = start.response.trailers as { [name: string]: string };
  const end = trailers[headerNames.answerEnd];
  const size = Number(trailers[headerNames.answerBytes]);
  if (end === "complete" && size === bytes) return;
  throw AppError.create(
    "streamInterrupted",
    `Answer of runner ${attempt.runner.id} ended as ${end ?? "truncated"} ` +
      `after ${bytes} bytes`,
  );
}

function isFinal(error: unknown): boolean {
  return error instanceof AppError && error.result === "streamInterrupted";
}

/** Turns a sidecar's refusal into the error that it stands for. */
export async function readRefusal(start: AnswerStart): Promise<AppError> {
  const text = await start.response.body.text();
  const problem = JSON.parse(text) as ReturnType<typeof formatProblem>;
  const names = Object.keys(resultCodes) as ResultName[];
  const result = names.find((name) => resultCodes[name].code === problem.code);
  const retryAfter = Number(start.headers["retry-after"]);
  return AppError.create(result ?? "runnerFailed", problem.detail, {
    executed: problem.executed,
    ...(Number.isFinite(retryAfter) ? { retryAfterMs: retryAfter * 1000 } : {}),
  });
}
