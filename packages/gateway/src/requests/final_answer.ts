/** Final answers of this router to requests that no runner has answered. */
import { getReturnWithinMs } from "@jasminetide/core/pools";
import { AppError, type ResultName } from "@jasminetide/core/results";
import type { GatewayContext } from "../gateway_context.ts";
import {
  createQuarantineError,
  type SuspectRequest,
} from "../quarantine/mod.ts";
import type { AttemptEnd } from "./attempt.ts";
import type { CallerAnswer } from "./caller_answer.ts";
import type { AdmittedRequest } from "./admitted_request.ts";
import { getRunnerWaitMs } from "./place_attempt.ts";

/** A whole answer of a runner. */
export type WholeAnswer = Extract<AttemptEnd, { type: "answered" }>;

/** A request that is refused, and its caller. */
export type RefusedRequest = {
  admitted: AdmittedRequest;
  answer: CallerAnswer;
  /** The request as the quarantine knows it. */
  suspect: SuspectRequest;
  context: GatewayContext;
  /** Time left until the request's deadline. */
  leftMs: number;
};

/** Refuses a request that has not run and states when to come back. */
export function refuseRequest(message: string, refused: RefusedRequest): void {
  const { admitted, answer, context, leftMs, suspect } = refused;
  const { service } = admitted;
  const quarantined = context.crashGuard.findQuarantined(suspect);
  if (quarantined !== undefined) {
    const returnMs = context.crashGuard.trials.getReturnMs(
      suspect,
      quarantined,
    );
    answer.sendError(createQuarantineError(quarantined, returnMs));
    return;
  }
  const forecastMs = context.services.getCapacityForecast(service)
    .recordRefusal({
      nowMs: context.timers.nowMs(),
      leftMs: Math.max(0, leftMs),
      returnWithinMs: getReturnMs(admitted, context),
      random: context.random.getFloat(),
    });
  const retryAfterMs = forecastMs + getRunnerWaitMs(service, context);
  answer.sendError(AppError.create("overloaded", message, { retryAfterMs }));
}

/** Gets how soon a plain request has to come back to meet its goal, if it can. */
function getReturnMs(
  { route, service }: AdmittedRequest,
  context: GatewayContext,
): number | undefined {
  const isServed = context.directory.listReady(service).length > 0;
  if (!context.limitsWait || !isServed || route.kind === "stream") {
    return undefined;
  }
  const { goalMs } = route;
  const nowMs = context.timers.nowMs();
  const serviceMs = context.services.getServiceTime(service).getMs({
    goalMs,
    nowMs,
  });
  return getReturnWithinMs({ goalMs, serviceMs });
}

/** How a request that may have run has failed. */
export type RequestFailure = {
  result: ResultName;
  message: string;
  /** Last whole answer of a runner, which the caller gets instead. */
  last: WholeAnswer | undefined;
};

/** Reports the failure of a request that may have run. */
export function failRequest(
  answer: CallerAnswer,
  { last, message, result }: RequestFailure,
): void {
  if (last !== undefined) answer.sendBuffered(last.head, last.body);
  else answer.sendError(AppError.create(result, message));
}
