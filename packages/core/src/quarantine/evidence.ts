/** A runner process that ended just after it began to answer a request. */
export type Crash = {
  /** Key of the process, which differs when a runner's id is reused. */
  process: string;
  /** Id of the request. */
  request: string;
  /** Shared parts of the prompt that were not known to be sound. */
  partIds: readonly string[];
  atMs: number;
};

/** A crash as routers send it to each other; their clocks may differ. */
export type AgedCrash = Omit<Crash, "atMs"> & { ageMs: number };

/** Prompt part of a request that was answered whole, and how long ago. */
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
