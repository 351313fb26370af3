import type { IncomingHttpHeaders } from "node:http";
import type { ReportedLoad } from "@jasminetide/core/pools";

/** One part of a prompt, in the order in which engines read it. */
export type PromptPart = { id: string; tokens: number };

/** What a caller's headers say about its request. */
export type CallerRequest = {
  /** Identifier of the caller's attempt; empty when the caller sent none. */
  attemptId: string;
  /** How long the caller waits, in milliseconds from its sending. */
  timeoutMs: number | undefined;
  apiKey: string | undefined;
  /** Parts of the prompt; empty for requests to plain services. */
  prompt: PromptPart[];
};

/** What a router adds to a request that it sends to a runner. */
export type RunnerSend = {
  runnerId: string;
  /** Time that is left for the answer, in milliseconds. */
  timeoutMs: number;
  workspace: string | undefined;
  /** Rank of the request; 0 goes first. */
  priority: number;
  /** Last event that the caller has; set when a broken stream goes on. */
  lastEventId: string | undefined;
  /**
   * `ip:port` of another engine, from which the runner may copy what that one
   * keeps of the prompt.
   */
  cacheSource: string | undefined;
};

/** Status line and headers of an answer, as they came. */
export type AnswerHead = {
  status: number;
  /** Names and values by turns. */
  rawHeaders: readonly string[];
  /** Whether the end of the body shows; else it ends with its connection. */
  isFramed: boolean;
};

/** What the headers of a runner's answer say. */
export type RunnerAnswer = {
  /** Attempt that the answer belongs to, where it says so. */
  attemptId: string | undefined;
  /** Whether the runner promises that the request did not run. */
  isNotRun: boolean;
  /** Whether the answer bears the runner's own mark. */
  isGenuine: boolean;
  load: ReportedLoad | undefined;
};

/**
 * How requests and answers look on the wire of one deployment. Headers that
 * belong to a single connection are left out by the callers of these
 * functions.
 */
export type WireProtocol = {
  readCallerRequest: (headers: IncomingHttpHeaders) => CallerRequest;
  /**
   * Makes the headers for a runner of those of a caller: without what only
   * routers may set, with what this router sets.
   */
  formatRunnerHeaders: (
    rawHeaders: readonly string[],
    send: RunnerSend,
  ) => string[];
  readRunnerAnswer: (head: AnswerHead) => RunnerAnswer;
};
