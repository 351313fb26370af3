/** Answers of the scripted runner to plain requests and streams. */
import type { IncomingMessage, ServerResponse } from "node:http";
import { setTimeout } from "node:timers/promises";
import { hash64 } from "@jasminetide/core/hashing";
import type { SilentPeriod } from "./silent_period.ts";

/** Number of events in each stream. */
export const streamEvents = 10;

const eventPeriodMs = 100;
const serviceTimeMs = 25;

/** The runner itself breaks off one run in this many. */
const breakOffOneIn = 60n;

/** One answer in this many has neither a length nor chunks. */
const unframedOneIn = 6n;

/** One unframed answer in this many is broken off. */
const unframedBreakOffOneIn = 10n;

/** Time in which bytes before a break-off are sent. */
const flushMs = 10;

/** Time from the begin of a run or an answer to the crash of its runner. */
const crashDelays = { smallestMs: 50, rangeMs: 100 };

/** How a stream is broken off after some of its events. */
const breakOffs = [
  { isInsideEvent: false, isReset: false },
  { isInsideEvent: true, isReset: false },
  { isInsideEvent: false, isReset: true },
  { isInsideEvent: true, isReset: true },
] as const;

/** Where a run crashes its runner: soon after it or its answer has begun. */
export type CrashPoint = "beforeAnswer" | "inAnswer";

/** A request that runs at a runner, and how it is answered. */
export type ScriptedRun = {
  request: IncomingMessage;
  response: ServerResponse;
  attemptId: string;
  runnerId: string;
  headers: Record<string, string>;
  /** Last event that the caller has received; 0 if none. */
  lastEventId: number;
  /** Version of the runner's software. */
  softwareVersion: string;
  /** Where the runner exits, if it does. */
  crashes: CrashPoint | undefined;
  /** Nothing is sent while it lasts. */
  silence: SilentPeriod;
  /** Whether some answers have neither a length nor chunks. */
  hasUnframedAnswers: boolean;
};

/** How a run ended. */
export type RunEnd = "finished" | "cut" | "brokenOff" | "crashed";

/** Answers a request and returns how its run ended. */
export async function answerRun(run: ScriptedRun): Promise<RunEnd> {
  if (run.crashes === "beforeAnswer") {
    await setTimeout(getCrashDelayMs(run));
    return "crashed";
  }
  const isStream = /^\/(story|summary)\//.test(run.request.url ?? "");
  return isStream ? await answerStream(run) : await answerPlain(run);
}

/** Answers 500 after the usual service time. */
export async function answerFailure(run: ScriptedRun): Promise<RunEnd> {
  const { headers, response } = run;
  await setTimeout(serviceTimeMs);
  if (!await isOpenAfterSilence(run)) return "cut";
  response.writeHead(500, headers).end("failed");
  return "finished";
}

async function answerPlain(run: ScriptedRun): Promise<RunEnd> {
  const { attemptId, headers, response } = run;
  await setTimeout(serviceTimeMs);
  if (!await isOpenAfterSilence(run)) return "cut";
  if (isBreakingOff(run)) return breakOff(run);
  beginAnswer(run);
  response.writeHead(200, headers).end(formatBody(attemptId));
  return "finished";
}

async function answerStream(run: ScriptedRun): Promise<RunEnd> {
  const { attemptId, headers, lastEventId, request, response } = run;
  const { softwareVersion } = run;
  beginAnswer(run);
  response.writeHead(200, { ...headers, "Content-Type": "text/event-stream" });
  for (let event = lastEventId + 1; event <= streamEvents; event++) {
    if (!await isOpenAfterSilence(run)) return "cut";
    response.write(formatEvent(attemptId, event, softwareVersion));
    await setTimeout(
      run.crashes === "inAnswer" ? getCrashDelayMs(run) : eventPeriodMs,
    );
    if (run.crashes === "inAnswer") return "crashed";
    if (request.socket.destroyed) return "cut";
    if (isBreakingOff(run) && event === streamEvents / 2) {
      return await breakOffStream(run);
    }
  }
  if (!await isOpenAfterSilence(run)) return "cut";
  response.end();
  return "finished";
}

function getCrashDelayMs(run: ScriptedRun): number {
  const { rangeMs, smallestMs } = crashDelays;
  return smallestMs + Number(draw(run, "crash") % BigInt(rangeMs));
}

/** Waits while the runner is silent; whether the connection is open then. */
async function isOpenAfterSilence(
  { request, silence }: ScriptedRun,
): Promise<boolean> {
  await silence.ended;
  return !request.socket.destroyed;
}

/** Lets an answer without framing end with its connection. */
function beginAnswer(run: ScriptedRun): void {
  if (!isUnframedRun(run)) return;
  run.response.useChunkedEncodingByDefault = false;
  run.response.shouldKeepAlive = false;
}

/** Whether the answer has neither a length nor chunks. */
export function isUnframedRun(run: ScriptedRun): boolean {
  return run.hasUnframedAnswers &&
    draw(run, "framing") % unframedOneIn === 0n;
}

function isBreakingOff(run: ScriptedRun): boolean {
  const { attemptId, runnerId } = run;
  const isDrawn = hash64(`${attemptId} ${runnerId}`) % breakOffOneIn === 0n;
  return isDrawn || (isUnframedRun(run) &&
    draw(run, "unframed break-off") % unframedBreakOffOneIn === 0n);
}

/** Draws a property of a run, the same each time. */
function draw({ attemptId, runnerId }: ScriptedRun, property: string): bigint {
  return hash64(`${property} ${attemptId} ${runnerId}`);
}

function breakOff({ request }: ScriptedRun): "brokenOff" {
  request.socket.destroy();
  return "brokenOff";
}

/**
 * Breaks off between events or inside one, by a close or a reset. An unframed
 * stream that is closed between events would look complete.
 */
async function breakOffStream(run: ScriptedRun): Promise<RunEnd> {
  const { attemptId, request, response } = run;
  const recognizable = isUnframedRun(run) ? breakOffs.slice(1) : breakOffs;
  const index = draw(run, "break-off") % BigInt(recognizable.length);
  const { isInsideEvent, isReset } = recognizable[Number(index)];
  if (isInsideEvent) {
    const event = formatEvent(
      attemptId,
      streamEvents / 2 + 1,
      run.softwareVersion,
    );
    response.write(event.slice(0, event.length / 2));
    await setTimeout(flushMs);
  }
  if (isReset) request.socket.resetAndDestroy();
  return breakOff(run);
}

/** Formats the answer to a plain request. */
export function formatBody(attemptId: string): string {
  return `answer to ${attemptId}`;
}

/** Formats one event of a stream, which names its runner's version. */
export function formatEvent(
  attemptId: string,
  event: number,
  softwareVersion = "v1",
): string {
  return `id: ${event}\ndata: ${attemptId} ${event} ${softwareVersion}\n\n`;
}

/** Formats a stream from after an event to its end. */
export function formatStream(
  attemptId: string,
  afterEvent = 0,
  softwareVersion = "v1",
): string {
  return Array.from(
    { length: streamEvents - afterEvent },
    (_, index) =>
      formatEvent(attemptId, afterEvent + index + 1, softwareVersion),
  ).join("");
}
