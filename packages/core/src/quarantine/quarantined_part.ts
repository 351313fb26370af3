import type { Crash } from "./evidence.ts";

/** Prompt part or request that is quarantined, and the evidence for it. */
export type QuarantinedPart = {
  /** Id of the part or key of the request. */
  partId: string;
  /** Time until requests with it are admitted again. */
  leftMs: number;
  /** Runner processes that crashed. */
  processes: number;
  /** Requests under which they crashed. */
  requests: number;
};

/**
 * Whether the evidence against a part is stronger. Of parts that crashed as many
 * processes, the one in fewer requests is to blame: a sound part that many
 * requests share is under way several times where a process crashes.
 */
export function isStronger(
  left: QuarantinedPart,
  right: QuarantinedPart,
): boolean {
  if (left.processes !== right.processes) {
    return left.processes > right.processes;
  }
  return left.requests < right.requests;
}

/** Lists the processes of crashes. */
export function listProcesses(crashes: readonly Crash[]): Set<string> {
  return new Set(crashes.map(({ process }) => process));
}
