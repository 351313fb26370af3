import type { GatewaySettings } from "./settings.ts";

/** What callers and peers may use of a host, derived from its size. */
export type HostLimits = {
  /** Connections of callers. */
  callerConnections: number;
  /** Connections of other gateways and of operators. */
  peerConnections: number;
  /** Connections of the load balancer. */
  readinessConnections: number;
  /** Idle connections to runners. */
  idleRunnerConnections: number;
  /** Memory for answers of runners that are not complete yet. */
  answerBytes: number;
  /** Memory for the bodies of callers' requests. */
  bodyBytes: number;
  /** Memory for requests that wait their turn and answers that are not read. */
  heldBytes: number;
};

/** Derives the limits of a gateway from the memory and descriptors it may use. */
export function getHostLimits(
  { maxDescriptors, memoryMb }: GatewaySettings["host"],
): HostLimits {
  const files = Math.min(fileDescriptors, maxDescriptors / 2);
  const sockets = maxDescriptors - files;
  const budgetBytes = Math.min(
    maxBudgetBytes,
    memoryMb * budgetShare * bytesPerMb,
  );
  return {
    callerConnections: Math.floor(
      Math.min(sockets * callerShare, memoryMb * connectionsPerMb),
    ),
    peerConnections: Math.ceil(sockets * peerShare),
    idleRunnerConnections: Math.floor(sockets * idleRunnerShare),
    readinessConnections: Math.ceil(sockets * readinessShare),
    answerBytes: budgetBytes,
    bodyBytes: budgetBytes,
    heldBytes: budgetBytes,
  };
}

/** Descriptors for files, which sockets cannot use. */
const fileDescriptors = 200;

/** Shares of the sockets; runners and the store get the rest. */
const callerShare = 0.5;
const peerShare = 0.125;
const readinessShare = 0.03;
const idleRunnerShare = 0.125;

/** Connections of callers for each megabyte of the host. */
const connectionsPerMb = 8;

/** Share of the host's memory that each budget has. */
const budgetShare = 1 / 8;

/** Largest budget: a dozen of the largest answers or bodies. */
const maxBudgetBytes = 48 * 1024 * 1024;

const bytesPerMb = 1024 * 1024;
