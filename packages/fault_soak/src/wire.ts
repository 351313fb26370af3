import type { IncomingHttpHeaders, RequestListener } from "node:http";
import type { RoutingDeclaration } from "@jasminetide/core/routes";
import type { RunnerRecord } from "@jasminetide/gateway/upstreams";

/** What a caller tells of itself. */
export type CallerHeaders = {
  attemptId: string;
  timeoutMs: number;
  apiKey: string;
};

/** What a router tells a runner of an attempt. */
export type SentHeaders = {
  attemptId: string;
  /** Runner that is meant. */
  runnerId: string;
  /** Last event that the caller has already. */
  lastEventId: number;
};

/** What a runner tells of itself in an answer. */
export type RunnerHeaders = {
  attemptId: string;
  runnerId: string;
  isNotRun: boolean;
  running: number;
  slots: number;
};

/** Header names of the wire that the programs under test speak. */
export type SoakWire = {
  formatCallerHeaders: (caller: CallerHeaders) => Record<string, string>;
  readSentHeaders: (headers: IncomingHttpHeaders) => SentHeaders;
  formatRunnerHeaders: (runner: RunnerHeaders) => Record<string, string>;
};

/** Objects that the store serves. */
export type SoakObjects = {
  handle: RequestListener;
  putDeclaration: (declaration: RoutingDeclaration) => void;
  putRunner: (record: RunnerRecord) => void;
  removeRunner: (id: string) => void;
  /** Forgets which changes led to the present objects. */
  forgetHistory: () => void;
};

/** What the soak runs. */
export type SoakPrograms = {
  wire: SoakWire;
  createObjects: () => SoakObjects;
  /** Script of a gateway; the variable names its settings file. */
  gateway: { script: string; settingsVariable: string };
  /** Script of a runner; its arguments are id, service and port. */
  runnerScript: string;
};
