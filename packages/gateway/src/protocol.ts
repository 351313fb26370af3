import type { IncomingHttpHeaders } from "node:http";
import type { ReportedLoad } from "@jasminetide/core/pools";

/** Part of a prompt. Engines read the parts in the order of their list. */
export type PromptPart = { id: string; tokens: number };

/**
 * Lists the parts of a prompt that other prompts may have in common with it:
 * all but the last, which belongs to this request alone.
 */
export function listSharedParts(
  prompt: readonly PromptPart[],
): readonly PromptPart[] {
  return prompt.slice(0, -1);
}

/** A stream that broke off and that its caller takes up again. */
export type StreamTakeUp = {
  /** Last event that the caller has. */
  lastEventId: string;
  /** Attempt that brought its first event; undefined if it is not named. */
  firstAttemptId: string | undefined;
};

/** Data read from the headers of a caller's request. */
export type CallerRequest = {
  /** Identifier of the caller's attempt; empty when the caller sent none. */
  attemptId: string;
  /** How long the caller waits after sending, in milliseconds. */
  timeoutMs: number | undefined;
  apiKey: string | undefined;
  /** The stream that the request takes up; undefined if it begins one. */
  takeUp: StreamTakeUp | undefined;
  /** Parts of the prompt; empty for requests to plain services. */
  prompt: PromptPart[];
};

/** Values that a router sends to a runner in headers of its own. */
export type RunnerHeaderValues = {
  runnerId: string;
  /** Time left for the answer, in milliseconds. */
  timeoutMs: number;
  workspace: string | undefined;
  /** Priority of the request; 0 is served first. */
  priority: number;
  /** Last event that the caller received; set when a stream is resumed. */
  lastEventId: string | undefined;
  /**
   * `ip:port` of another engine, from whose cache the runner may copy the
   * prompt's shared prefix.
   */
  cacheSource: string | undefined;
};

/** Status and headers of an answer, as received. */
export type AnswerHead = {
  status: number;
  /** Alternating names and values. */
  rawHeaders: readonly string[];
  /** Whether headers or status define the body's end; else it ends at close. */
  isFramed: boolean;
};

/** A successful answer of a runner that has begun. */
export type BegunAnswer = {
  atMs: number;
  /** Whether its headers define its end. */
  isFramed: boolean;
};

/** Data read from the headers of a runner's answer. */
export type RunnerAnswer = {
  /** Attempt that the answer belongs to, if the answer names it. */
  attemptId: string | undefined;
  /** Whether the runner states that the request did not run. */
  isNotRun: boolean;
  /** Whether the answer has the header that only runners set. */
  isGenuine: boolean;
  /** Whether the runner states that it is about to leave. */
  isLeaving: boolean;
  /** Time for which a runner that refused a request wants no others. */
  pauseMs: number | undefined;
  /** Requests a second that the runner accepts from all routers together. */
  limitPerSecond: number | undefined;
  load: ReportedLoad | undefined;
};

/**
 * Header format of requests and answers in one deployment. The callers of these
 * functions remove headers that belong to a single connection.
 */
export type WireProtocol = {
  readCallerRequest: (headers: IncomingHttpHeaders) => CallerRequest;
  /**
   * Converts a caller's headers into those for a runner: removes the headers
   * that only routers may set, and adds this router's values.
   */
  formatRunnerHeaders: (
    rawHeaders: readonly string[],
    values: RunnerHeaderValues,
  ) => string[];
  readRunnerAnswer: (head: AnswerHead) => RunnerAnswer;
};
