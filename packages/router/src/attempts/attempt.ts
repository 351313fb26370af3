import type { IncomingHttpHeaders } from "node:http";
import type { Settings } from "@jasminetide/core/configuration";
import type { LatencyTracker } from "@jasminetide/core/retries";
import type { RunnerRow } from "@jasminetide/core/tables";
import type { TimerService } from "@jasminetide/core/timers";
import type { RequestEnvelope } from "@jasminetide/runtime/exchange";
import type { Metrics } from "@jasminetide/runtime/metrics";
import type { Dispatcher, Pool } from "undici";
import type { Connections } from "./connections.ts";

/** HTTP request that is sent to a sidecar. */
export type OutgoingRequest = {
  method: string;
  path: string;
  headers: { [name: string]: string | string[] };
  body: Uint8Array;
};

/** Services and settings that attempts use. */
export type AttemptContext = {
  connections: Connections;
  timers: TimerService;
  metrics: Metrics;
  stream: Settings["stream"];
  /** Silences observed between chunks of answers from the pool. */
  silences: LatencyTracker;
  /** Aborted when the caller disconnects. */
  callerSignal: AbortSignal;
};

/** One attempt to run a request on one runner. */
export type Attempt = {
  runner: RunnerRow;
  envelope: RequestEnvelope;
  request: OutgoingRequest;
  deadlineAtMs: number;
};

/** Status and headers of an answer; `readAnswer` reads its body. */
export type AnswerStart = {
  status: number;
  headers: IncomingHttpHeaders;
  response: Dispatcher.ResponseData;
  pool: Pool;
  /** Aborts reading the answer and closes its connection. */
  abort: AbortController;
};
