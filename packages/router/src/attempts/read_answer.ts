import type { Buffer } from "node:buffer";
import { AppError, normalizeError } from "@jasminetide/core/results";
import { getSilenceLimitMs } from "@jasminetide/core/retries";
import { headerNames } from "@jasminetide/runtime/exchange";
import { SilenceWatch, subscribeAbort } from "@jasminetide/runtime/streams";
import type { AnswerStart, Attempt, AttemptContext } from "./attempt.ts";
import { isRefusal, readRefusal, recoverAnswer } from "./open_answer.ts";

/**
 * Reads an answer to its end. When the connection fails or goes silent, the
 * rest is read on a new one, from the byte after the last received.
 *
 * @throws AppError `streamInterrupted` if the answer ended early.
 */
export async function* readAnswer(
  attempt: Attempt,
  start: AnswerStart,
  context: AttemptContext,
): AsyncGenerator<Buffer> {
  let current = start;
  let offsetBytes = 0;
  while (true) {
    try {
      for await (const chunk of readChunks(attempt, current, context)) {
        offsetBytes += chunk.length;
        yield chunk;
      }
      checkEnd(attempt, current, offsetBytes);
      return;
    } catch (thrown) {
      const cause = normalizeReadError(attempt, thrown);
      if (cause.result !== "runnerFailed") throw cause;
      context.metrics.count("answers-resumed");
      current.abort.abort(cause);
      current = await resumeAnswer(attempt, context, {
        offsetBytes,
        cause,
        failedPool: current.pool,
      });
    }
  }
}

async function resumeAnswer(
  attempt: Attempt,
  context: AttemptContext,
  options: Parameters<typeof recoverAnswer>[2],
): Promise<AnswerStart> {
  const start = await recoverAnswer(attempt, context, options);
  if (!isRefusal(start)) return start;
  const refusal = await readRefusal(start);
  throw AppError.create("streamInterrupted", refusal.message, {
    cause: refusal,
  });
}

async function* readChunks(
  attempt: Attempt,
  start: AnswerStart,
  context: AttemptContext,
): AsyncGenerator<Buffer> {
  const { timers } = context;
  using watch = SilenceWatch.create({
    timers,
    limitMs: getSilenceLimitMs(context.silences, {
      boundMs: context.stream.betweenChunksMs,
      nowMs: timers.nowMs(),
    }),
    onSilence: () => start.abort.abort(createSilenceError(attempt)),
  });
  using _deadline = timers.schedule(
    attempt.deadlineAtMs - timers.nowMs(),
    () => start.abort.abort(createDeadlineError(attempt)),
  );
  using _caller = subscribeAbort(
    context.callerSignal,
    () =>
      start.abort.abort(AppError.create("callerGone", "Caller disconnected")),
  );
  let lastChunkAtMs = timers.nowMs();
  for await (const chunk of start.response.body) {
    const nowMs = timers.nowMs();
    context.silences.record(nowMs - lastChunkAtMs, nowMs);
    watch.recordActivity();
    yield chunk as Buffer;
    // Excludes the time that the caller took to read the chunk.
    lastChunkAtMs = timers.nowMs();
    watch.recordActivity();
  }
}

function checkEnd(attempt: Attempt, start: AnswerStart, bytes: number): void {
  const trailers = start.response.trailers as { [name: string]: string };
  const end = trailers[headerNames.answerEnd];
  const size = Number(trailers[headerNames.answerBytes]);
  if (end === "complete" && size === bytes) return;
  throw AppError.create(
    "streamInterrupted",
    `Answer of runner ${attempt.runner.id} ended as ${end ?? "truncated"} ` +
      `after ${bytes} of ${size} bytes`,
  );
}

function normalizeReadError(attempt: Attempt, thrown: unknown): AppError {
  const error = normalizeError(thrown);
  if (error.result !== "internal") return error;
  return AppError.create(
    "runnerFailed",
    `Connection to runner ${attempt.runner.id} failed`,
    { cause: thrown },
  );
}

function createSilenceError(attempt: Attempt): AppError {
  return AppError.create(
    "runnerFailed",
    `Answer of runner ${attempt.runner.id} stalled`,
  );
}

function createDeadlineError(attempt: Attempt): AppError {
  return AppError.create(
    "deadlineExceeded",
    `Answer of runner ${attempt.runner.id} was not complete by the deadline`,
  );
}
