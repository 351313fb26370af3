/**
 * Checks that evacuated failure domains get no requests, and cold runners no
 * more than they tolerate.
 */
import { isRunnerHeldUp, isStoreAccessDisturbed } from "./disturbances.ts";
import { coldPerSecond, evacuationLimitMs } from "./failure_domains.ts";
import type {
  CallRecord,
  ColdRunner,
  History,
  RunnerEvent,
} from "./history.ts";
import { formatCall, type Violation } from "./violation.ts";

/** Undisturbed time after which a gateway must know of an evacuation. */
const contactMs = 4000;

const windowMs = 1000;

/** Time by which arrivals may be held up before they are counted. */
const heldUpMs = 1000;

/** Requests in a second beyond which a cold runner has got too many. */
const maxPerWindow = 1.5 * coldPerSecond + 5;

type Arrival = { event: RunnerEvent; call: CallRecord };

/** Lists the requests that reached the runners for which they were meant. */
function listArrivals({ calls, runnerEvents }: History): Arrival[] {
  const byAttempt = new Map(calls.map((call) => [call.attemptId, call]));
  return runnerEvents.flatMap((event) => {
    const call = byAttempt.get(event.attemptId);
    const isMeant = event.type === "arrived" && event.isMisdirected !== true;
    return isMeant && call !== undefined ? [{ event, call }] : [];
  });
}

/** Finds requests at runners of domains that had been evacuated for long. */
export function findEvacuatedArrivals(history: History): Violation[] {
  const { domains, evacuated, faults } = history;
  return listArrivals(history).flatMap(({ call, event }) => {
    const domain = domains.get(event.runner);
    const isLate = evacuated.some((each) =>
      each.domain === domain && event.atMs < each.untilMs &&
      event.atMs > each.fromMs + evacuationLimitMs
    );
    const interval = {
      gateway: call.gateway,
      fromMs: event.atMs - contactMs,
      toMs: event.atMs,
    };
    if (!isLate || isStoreAccessDisturbed(faults, interval)) return [];
    const detail = `at ${event.runner} in evacuated ${domain}: ` +
      formatCall(call);
    return [{ check: "evacuated-domains" as const, detail }];
  });
}

/** Finds cold runners that got more in a second than they tolerate. */
export function findColdExcess(history: History): Violation[] {
  const arrivals = listArrivals(history);
  return history.cold.flatMap((cold) => findExcess(cold, arrivals, history));
}

/** Finds the first second with too many arrivals at a cold runner. */
function findExcess(
  { fromMs, index, runner, untilMs }: ColdRunner,
  arrivals: readonly Arrival[],
  { faults }: History,
): Violation[] {
  const timesMs = arrivals
    .filter(({ event }) => event.runner === runner)
    .map(({ event }) => event.atMs)
    .filter((atMs) => atMs >= fromMs && atMs <= untilMs);
  const count = (startMs: number) =>
    timesMs.filter((atMs) => atMs >= startMs && atMs < startMs + windowMs)
      .length;
  const excessMs = timesMs.find((atMs) =>
    count(atMs) > maxPerWindow &&
    // What a pause or a link has held up may have been sent earlier.
    !isRunnerHeldUp(faults, {
      index,
      fromMs: atMs - heldUpMs,
      toMs: atMs + windowMs,
    })
  );
  if (excessMs === undefined) return [];
  const detail = `${count(excessMs)} requests from ${excessMs} on at ${runner}`;
  return [{ check: "cold-runners", detail }];
}
