import { createFinding, type Finding } from "./finding.ts";

/** Settings of a gateway in which limits may contradict each other. */
export type GatewayLimits = {
  stop: { noticeMs: number; graceSeconds: number };
  repeats: { ratio: number; slack: number; windowSeconds: number };
};

/** Finds settings of a gateway that contradict each other. */
export function findGatewayFindings(settings: GatewayLimits): Finding[] {
  const { repeats: { ratio, slack }, stop } = settings;
  const stops = stop.graceSeconds * 1000 > stop.noticeMs
    ? []
    : [createFinding("stopBeforeNotice", {
      path: ["stop", "graceSeconds"],
      text: `The process is killed after ${stop.graceSeconds} s, but the ` +
        `load balancer may send requests for ${stop.noticeMs} ms`,
    })];
  const retries = ratio > 0 || slack >= 1
    ? []
    : [createFinding("noRetryAllowed", {
      path: ["repeats"],
      text: `A ratio of ${ratio} and a slack of ${slack} allow no retry`,
    })];
  return [...stops, ...retries];
}
