/** Interface between the soak and the wire protocol of the programs it runs. */
import type { IncomingHttpHeaders, RequestListener } from "node:http";
import type { RoutingDeclaration } from "@jasminetide/core/routes";
import type { PromptPart } from "@jasminetide/gateway";
import type { RunnerRecord } from "@jasminetide/gateway/upstreams";
import type { SoakTakeUp } from "./history.ts";

/** Values of the headers of a caller's request. */
export type CallerHeaders = {
  attemptId: string;
  timeoutMs: number;
  apiKey: string;
  /** The stream that the request takes up, if it does. */
  takeUp: SoakTakeUp | undefined;
  /** Parts of the prompt; empty if the request has none. */
  prompt: readonly PromptPart[];
};

/** Values of the headers of an attempt that a router sends to a runner. */
export type AttemptHeaders = {
  attemptId: string;
  /** Runner that the attempt is addressed to. */
  runnerId: string;
  /** Last event that was relayed to the caller; 0 if none. */
  lastEventId: number;
  /** Ids of the parts of the prompt. */
  partIds: string[];
};

/** Values of the headers of a runner's answer. */
export type AnswerHeaders = {
  attemptId: string;
  runnerId: string;
  isNotRun: boolean;
  running: number;
  slots: number;
  isLeaving: boolean;
  /** Limit on the requests a second of all gateways, if it has one. */
  limitPerSecond: number | undefined;
  /** Time for which the runner wants no requests; 0 if it accepts them. */
  pauseMs: number;
};

/** Formats and reads the headers of the programs' wire protocol. */
export type SoakWire = {
  formatCallerHeaders: (caller: CallerHeaders) => Record<string, string>;
  readAttemptHeaders: (headers: IncomingHttpHeaders) => AttemptHeaders;
  formatAnswerHeaders: (runner: AnswerHeaders) => Record<string, string>;
};

/** Objects of the store. */
export type SoakObjects = {
  handle: RequestListener;
  putDeclaration: (declaration: RoutingDeclaration) => void;
  putRunner: (record: RunnerRecord) => void;
  removeRunner: (id: string) => void;
  /** Writes or removes the entry by which a failure domain is evacuated. */
  setEvacuated: (domain: string, isEvacuated: boolean) => void;
  /** Writes odd entries of another writer among those of the runners. */
  putOddEntries: (service: string) => void;
  listRunnerIds: () => string[];
  /** Sets the address that gateways read for one instead of what it writes. */
  setPeerAddress: (name: string, address: string) => void;
  /** Copies all objects; the returned function restores them. */
  copy: () => () => void;
  /** Drops the change history, so that watches from earlier revisions expire. */
  forgetHistory: () => void;
};

/** Programs and wire protocol that the soak runs with. */
export type SoakPrograms = {
  wire: SoakWire;
  createObjects: () => SoakObjects;
  /** Script of a gateway; the variable names its settings file. */
  gateway: { script: string; settingsVariable: string };
  /**
   * Script of a runner; its arguments are id, service, port, whether some
   * answers are unframed, software version and the time for which it is cold.
   */
  runnerScript: string;
};
