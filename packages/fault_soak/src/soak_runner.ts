/** Runner that answers simulated requests and reports its events. */
import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";
import type { Socket } from "node:net";
import process from "node:process";
import { coldCrashPerSecond } from "./failure_domains.ts";
import type { RunnerEvent } from "./history.ts";
import { hasCrashingPart } from "./prompts.ts";
import {
  answerFailure,
  answerRun,
  type CrashPoint,
  isUnframedRun,
} from "./scripted_answers.ts";
import { crashPath } from "./soak_declaration.ts";
import { SilentPeriod } from "./silent_period.ts";
import type { AttemptHeaders, SoakWire } from "./wire.ts";

/** Options of a runner. */
export type SoakRunnerOptions = {
  id: string;
  service: string;
  /** Version of its software. */
  softwareVersion: string;
  port: number;
  wire: SoakWire;
  /** Whether some answers have neither a length nor chunks. */
  hasUnframedAnswers: boolean;
  /** Time for which it is cold; 0 if it is not. */
  coldMs: number;
};

/** Number of requests that a runner runs concurrently. */
export const runnerSlots = 40;

/** Time for which a runner fails every run after SIGUSR2. */
export const failureMs = 2500;

/** Time for which a runner refuses all requests after SIGWINCH. */
export const restMs = 2500;

/** Time for which a runner states a limit after SIGCHLD. */
export const limitMs = 9000;

/** Limit that it states, in requests a second. */
const limitPerSecond = 4;

const keepAliveMs = 20_000;

const crashExitCode = 70;

/** Runs a runner that reports its events as JSON lines on standard output. */
export function runSoakRunner(options: SoakRunnerOptions): void {
  const runner = SoakRunnerProgram.create(options);
  const server = createServer((request, response) =>
    runner.handle(request, response)
  );
  server.keepAliveTimeout = keepAliveMs;
  server.listen(options.port, "127.0.0.1");
}

function formatRefusal(
  status: number,
  headers: Record<string, string>,
): string {
  const lines = Object.entries(headers).map(([name, value]) =>
    `${name}: ${value}\r\n`
  );
  return `HTTP/1.1 ${status} Refused\r\n${lines.join("")}` +
    "Content-Length: 0\r\n\r\n";
}

function getCrashPoint(
  { url }: IncomingMessage,
  partIds: readonly string[],
): CrashPoint | undefined {
  if (url?.endsWith(`/${crashPath}`)) return "beforeAnswer";
  return hasCrashingPart(partIds) ? "inAnswer" : undefined;
}

/** State of a runner, which signals change. */
class SoakRunnerProgram {
  readonly #options: SoakRunnerOptions;
  readonly #silence = SilentPeriod.create();
  /** The last refusal on each connection, until it is written once more. */
  readonly #refusals = new WeakMap<Socket, string>();
  #running = 0;
  #failsUntilMs = 0;
  #restsUntilMs = 0;
  #isLimitedUntilMs = 0;
  #isLeaving = false;
  readonly #coldUntilMs: number;
  /** Times of the arrivals while it is cold. */
  readonly #coldArrivalsMs: number[] = [];

  private constructor(options: SoakRunnerOptions) {
    this.#options = options;
    this.#coldUntilMs = Date.now() + options.coldMs;
  }

  /** Creates a runner that reacts to the signals of the soak. */
  static create(options: SoakRunnerOptions): SoakRunnerProgram {
    const runner = new SoakRunnerProgram(options);
    process.on("SIGUSR2", () => runner.#failsUntilMs = Date.now() + failureMs);
    process.on("SIGWINCH", () => runner.#restsUntilMs = Date.now() + restMs);
    // Ignored by default, so that a process that has just started survives it.
    process.on(
      "SIGCHLD",
      () => runner.#isLimitedUntilMs = Date.now() + limitMs,
    );
    process.on("SIGHUP", () => runner.#isLeaving = true);
    process.on("SIGURG", () => runner.#silence.begin());
    process.on("SIGCONT", () => runner.#silence.end());
    return runner;
  }

  /** Answers a request. */
  handle(request: IncomingMessage, response: ServerResponse): void {
    const { id, wire } = this.#options;
    const attempt = wire.readAttemptHeaders(request.headers);
    const isMisdirected = attempt.runnerId !== id;
    this.#report("arrived", attempt.attemptId, { isMisdirected });
    if (isMisdirected) {
      void this.#refuse(421, attempt, response);
      return;
    }
    this.#countWhileCold();
    if (this.#running >= runnerSlots || this.#getRestLeftMs() > 0) {
      void this.#refuse(503, attempt, response);
    } else void this.#run(attempt, request, response);
  }

  /** Exits if more requests arrive in a second than it stands while cold. */
  #countWhileCold(): void {
    const nowMs = Date.now();
    if (nowMs >= this.#coldUntilMs) return;
    const count = this.#coldArrivalsMs.push(nowMs);
    const earlierMs = this.#coldArrivalsMs[count - coldCrashPerSecond - 1];
    if (earlierMs > nowMs - 1000) process.exit(crashExitCode);
  }

  async #refuse(
    status: 421 | 503,
    { attemptId }: AttemptHeaders,
    response: ServerResponse,
  ): Promise<void> {
    await this.#silence.ended;
    const pauseMs = this.#getRestLeftMs();
    if (pauseMs > 0) this.#report("refused", attemptId);
    const headers = this.#formatHeaders(attemptId, { isNotRun: true, pauseMs });
    response.writeHead(status, headers).end();
    const { socket } = response;
    if (socket !== null) {
      this.#refusals.set(socket, formatRefusal(status, headers));
    }
  }

  /** Writes an earlier refusal once more, before the answer to a request. */
  #repeatRefusal({ socket }: IncomingMessage): void {
    const refusal = this.#refusals.get(socket);
    this.#refusals.delete(socket);
    if (refusal !== undefined) socket.write(refusal);
  }

  async #run(
    { attemptId, lastEventId, partIds }: AttemptHeaders,
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const { hasUnframedAnswers, id, softwareVersion } = this.#options;
    this.#running += 1;
    const run = {
      request,
      response,
      attemptId,
      runnerId: id,
      headers: this.#formatHeaders(attemptId, { isNotRun: false, pauseMs: 0 }),
      lastEventId,
      softwareVersion,
      crashes: getCrashPoint(request, partIds),
      silence: this.#silence,
      hasUnframedAnswers,
    };
    this.#report("ran", attemptId, { isUnframed: isUnframedRun(run) });
    this.#repeatRefusal(request);
    const isFailing = Date.now() < this.#failsUntilMs;
    const end = await (isFailing ? answerFailure(run) : answerRun(run));
    this.#running -= 1;
    this.#report(end, attemptId);
    if (end === "crashed") process.exit(crashExitCode);
  }

  #formatHeaders(
    attemptId: string,
    answer: { isNotRun: boolean; pauseMs: number },
  ): Record<string, string> {
    const { id, wire } = this.#options;
    return wire.formatAnswerHeaders({
      ...answer,
      attemptId,
      runnerId: id,
      running: this.#running,
      slots: runnerSlots,
      isLeaving: this.#isLeaving,
      limitPerSecond: this.#getLimit(),
    });
  }

  #getRestLeftMs(): number {
    return Math.max(0, this.#restsUntilMs - Date.now());
  }

  #getLimit(): number | undefined {
    return Date.now() < this.#isLimitedUntilMs ? limitPerSecond : undefined;
  }

  #report(
    type: RunnerEvent["type"],
    attemptId: string,
    { isMisdirected = false, isUnframed = false } = {},
  ): void {
    const { id, service } = this.#options;
    const event: RunnerEvent = {
      type,
      atMs: Date.now(),
      attemptId,
      runner: id,
      service,
      ...(this.#isLeaving ? { isLeaving: true } : {}),
      limitPerSecond: this.#getLimit(),
      ...(isUnframed ? { isUnframed } : {}),
      ...(isMisdirected ? { isMisdirected } : {}),
      ...(type === "refused" ? { restsUntilMs: this.#restsUntilMs } : {}),
    };
    process.stdout.write(`${JSON.stringify(event)}\n`);
  }
}
