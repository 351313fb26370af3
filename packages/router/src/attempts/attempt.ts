import type { IncomingHttpHeaders } from "node:http";
import type { Settings } from "@jasminetide/core/configuration";
import type { LatencyTracker } from "@jasminetide/core/retries";
import type { RunnerRow } from "@jasminetide/core/tables";
import type { TimerService } from "@jasminetide/core/timers";
import type { RequestEnvelope } from "@jasminetide/runtime/exchange";
import type { Metrics } from "@jasminetide/runtime/metrics";
import type { Dispatcher, Pool } from "undici";
import type { Connections } from "./connections.ts";

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
  /** Silences between chunks that the pool has shown. */
  silences: LatencyTracker;
  /** Aborted when the caller has gone. */
  callerSignal: AbortSignal;
};

/** One attempt at a request at one runner. */
export type Attempt = {
  runner: RunnerRow;
  envelope: RequestEnvelope;
  request: OutgoingRequest;
  deadlineAtMs: number;
};

/** Head of an answer; the body is read by `readAnswer`. */
export type AnswerStart = {
  status: number;
  headers: IncomingHttpHeaders;
  response: Dispatcher.ResponseData;
  pool: Pool;
  /** Gives up the connection of this answer. */
  abort: AbortController;
};
