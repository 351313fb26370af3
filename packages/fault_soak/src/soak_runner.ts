/** Runner that answers simulated requests and reports its events. */
import { createServer } from "node:http";
import process from "node:process";
import type { RunnerEvent } from "./history.ts";
import { answerFailure, answerRun } from "./scripted_answers.ts";
import { SilentPeriod } from "./silent_period.ts";
import type { SoakWire } from "./wire.ts";

/** Options of a runner. */
export type SoakRunnerOptions = {
  id: string;
  service: string;
  port: number;
  wire: SoakWire;
  /** Whether some answers have neither a length nor chunks. */
  hasUnframedAnswers: boolean;
};

/** Number of requests that a runner runs concurrently. */
export const runnerSlots = 40;

/** Time for which a runner fails every run after SIGUSR2. */
export const failureMs = 2500;

/** Time for which a runner refuses all requests after SIGWINCH. */
export const restMs = 2500;

/** Runs a runner that reports its events as JSON lines on standard output. */
export function runSoakRunner(options: SoakRunnerOptions): void {
  const { hasUnframedAnswers, id, port, service, wire } = options;
  let running = 0;
  let failsUntilMs = 0;
  let restsUntilMs = 0;
  let isLeaving = false;
  process.on("SIGUSR2", () => failsUntilMs = Date.now() + failureMs);
  process.on("SIGWINCH", () => restsUntilMs = Date.now() + restMs);
  process.on("SIGHUP", () => isLeaving = true);
  const silence = SilentPeriod.create();
  process.on("SIGURG", () => silence.begin());
  process.on("SIGCONT", () => silence.end());
  const report = (type: RunnerEvent["type"], attemptId: string) => {
    const event: RunnerEvent = {
      type,
      atMs: Date.now(),
      attemptId,
      runner: id,
      service,
      ...(isLeaving ? { isLeaving } : {}),
      ...(type === "refused" ? { restsUntilMs } : {}),
    };
    process.stdout.write(`${JSON.stringify(event)}\n`);
  };
  const server = createServer((request, response) => {
    const { attemptId, lastEventId, runnerId } = wire.readAttemptHeaders(
      request.headers,
    );
    report("arrived", attemptId);
    const pauseMs = Math.max(0, restsUntilMs - Date.now());
    const isNotRun = runnerId !== id || running >= runnerSlots || pauseMs > 0;
    const headers = wire.formatAnswerHeaders({
      attemptId,
      runnerId: id,
      isNotRun,
      running,
      slots: runnerSlots,
      isLeaving,
      pauseMs,
    });
    if (pauseMs > 0) report("refused", attemptId);
    if (isNotRun) {
      const status = runnerId === id ? 503 : 421;
      void silence.ended.then(() => response.writeHead(status, headers).end());
      return;
    }
    running += 1;
    report("ran", attemptId);
    const run = {
      request,
      response,
      attemptId,
      runnerId: id,
      headers,
      lastEventId,
      silence,
      hasUnframedAnswers,
    };
    const ended = Date.now() < failsUntilMs
      ? answerFailure(run)
      : answerRun(run);
    void ended.then((end) => {
      running -= 1;
      report(end, attemptId);
    });
  });
  server.keepAliveTimeout = 20_000;
  server.listen(port, "127.0.0.1");
}
