import type { AnswerHead, RunnerAnswer, WireProtocol } from "../protocol.ts";

/** Names of the headers of the test protocol, by purpose. */
export const testHeaders = {
  attempt: "x-attempt",
  timeout: "x-timeout-ms",
  key: "x-key",
  prompt: "x-prompt",
  runner: "x-runner",
  workspace: "x-workspace",
  mark: "x-mark",
  notRun: "x-not-run",
  afterEvent: "x-after-event",
  firstAttempt: "x-first-attempt",
  cacheSource: "x-cache-source",
  leaving: "x-leaving",
  pause: "x-pause-ms",
  limit: "x-limit",
  load: "x-load",
} as const;

/** Header format for tests; its names differ from those of any deployment. */
export const testProtocol: WireProtocol = {
  readCallerRequest: (headers) => {
    const timeout = headers[testHeaders.timeout];
    const prompt = headers[testHeaders.prompt];
    const lastEventId = headers[testHeaders.afterEvent];
    return {
      attemptId: String(headers[testHeaders.attempt] ?? ""),
      timeoutMs: timeout === undefined ? undefined : Number(timeout),
      apiKey: headers[testHeaders.key] as string | undefined,
      takeUp: lastEventId === undefined ? undefined : {
        lastEventId: String(lastEventId),
        firstAttemptId: headers[testHeaders.firstAttempt] as string | undefined,
      },
      prompt: prompt === undefined
        ? []
        : String(prompt).split(",").map((id) => ({ id, tokens: 1000 })),
    };
  },
  formatRunnerHeaders: (rawHeaders, values) => [
    ...rawHeaders,
    testHeaders.runner,
    values.runnerId,
    testHeaders.timeout,
    String(values.timeoutMs),
    ...(values.workspace ? [testHeaders.workspace, values.workspace] : []),
    ...(values.lastEventId ? [testHeaders.afterEvent, values.lastEventId] : []),
    ...(values.cacheSource
      ? [testHeaders.cacheSource, values.cacheSource]
      : []),
  ],
  readRunnerAnswer,
};

function readRunnerAnswer(head: AnswerHead): RunnerAnswer {
  const find = (name: string) => {
    const index = head.rawHeaders.findIndex((text, position) =>
      position % 2 === 0 && text.toLowerCase() === name
    );
    return index < 0 ? undefined : head.rawHeaders[index + 1];
  };
  return {
    attemptId: find(testHeaders.attempt),
    isNotRun: find(testHeaders.notRun) !== undefined,
    isGenuine: find(testHeaders.mark) !== undefined,
    isLeaving: find(testHeaders.leaving) !== undefined,
    pauseMs: parseCount(find(testHeaders.pause)),
    limitPerSecond: parseCount(find(testHeaders.limit)),
    load: parseLoad(find(testHeaders.load)),
  };
}

function parseLoad(text: string | undefined): RunnerAnswer["load"] {
  if (text === undefined) return undefined;
  const [running, waiting, slots] = text.split(",").map(Number);
  return { running, waiting, slots };
}

function parseCount(text: string | undefined): number | undefined {
  return text === undefined ? undefined : Number(text);
}
