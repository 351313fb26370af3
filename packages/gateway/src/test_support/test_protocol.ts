import type { AnswerHead, RunnerAnswer, WireProtocol } from "../protocol.ts";

/** Headers of the tests' own wire, by their purpose. */
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
  cacheSource: "x-cache-source",
} as const;

/** A wire that only tests speak; the gateway knows no other names. */
export const testProtocol: WireProtocol = {
  readCallerRequest: (headers) => {
    const timeout = headers[testHeaders.timeout];
    const prompt = headers[testHeaders.prompt];
    return {
      attemptId: String(headers[testHeaders.attempt] ?? ""),
      timeoutMs: timeout === undefined ? undefined : Number(timeout),
      apiKey: headers[testHeaders.key] as string | undefined,
      prompt: prompt === undefined
        ? []
        : String(prompt).split(",").map((id) => ({ id, tokens: 1000 })),
    };
  },
  formatRunnerHeaders: (rawHeaders, send) => [
    ...rawHeaders,
    testHeaders.runner,
    send.runnerId,
    testHeaders.timeout,
    String(send.timeoutMs),
    ...(send.workspace ? [testHeaders.workspace, send.workspace] : []),
    ...(send.lastEventId ? [testHeaders.afterEvent, send.lastEventId] : []),
    ...(send.cacheSource ? [testHeaders.cacheSource, send.cacheSource] : []),
  ],
  readRunnerAnswer,
};

function readRunnerAnswer(head: AnswerHead): RunnerAnswer {
  const find = (name: string) => {
    const index = head.rawHeaders.findIndex((text, place) =>
      place % 2 === 0 && text.toLowerCase() === name
    );
    return index < 0 ? undefined : head.rawHeaders[index + 1];
  };
  return {
    attemptId: find(testHeaders.attempt),
    isNotRun: find(testHeaders.notRun) !== undefined,
    isGenuine: find(testHeaders.mark) !== undefined,
    load: undefined,
  };
}
