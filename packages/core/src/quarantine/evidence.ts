/** A runner process that ended while it ran a request or just began to. */
export type Crash = {
  /** Key of the process, which differs when a runner's id is reused. */
  process: string;
  /** Id of the request. */
  request: string;
  /**
   * What was not known to be sound: shared parts of the prompt, if the answer
   * had begun, and the key of the request as a whole.
   */
  partIds: readonly string[];
  /** Those for which the request was sent on trial, if it was. */
  triedPartIds?: readonly string[];
  atMs: number;
};

/** A crash as routers send it to each other; their clocks may differ. */
export type AgedCrash = Omit<Crash, "atMs"> & { ageMs: number };

/** Prompt part or request that was answered whole, and how long ago. */
export type SoundPart = { partId: string; ageMs: number };

/** What a router knows of crashes, as it is sent to other routers. */
export type Evidence = { crashes: AgedCrash[]; sound: SoundPart[] };

/** Crashes and parts to select for other routers. */
export type EvidenceSelection = {
  crashes: Iterable<Crash>;
  /** Parts whose last whole answer is included, if one is known. */
  partIds: Iterable<string>;
};

/** What a router has learned from the evidence of another one. */
export type EvidenceNews = {
  /** Crashes that it did not know. */
  crashes: Crash[];
  /**
   * Parts that turned out to be sound although several crashes spoke against
   * them.
   */
  clearedParts: string[];
};
