/** What a registry entry says about one process of a runner. */
export type RunnerEvidence = {
  /** Start of the process, in Unix milliseconds; 0 if it is unknown. */
  startedAtMs: number;
  /** Number of the runner's last heartbeat; counts from the process's start. */
  heartbeat: number;
};

/** Which of two entries about a runner describes its present state. */
export type EvidenceChoice = "known" | "restored";

/**
 * Chooses between what a router knows of a runner and an entry of a store that
 * was restored from a copy, which may be some seconds old. The entry wins only
 * if it must have been written after the known one: by a later process, or by
 * the same process with a later heartbeat. So a runner that was known to drain
 * or to be gone does not return by an old entry.
 */
export function chooseRestoredEvidence(
  known: RunnerEvidence,
  restored: RunnerEvidence,
): EvidenceChoice {
  if (restored.startedAtMs !== known.startedAtMs) {
    return restored.startedAtMs > known.startedAtMs ? "restored" : "known";
  }
  return restored.heartbeat > known.heartbeat ? "restored" : "known";
}
