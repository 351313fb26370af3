/** The faults that a soak run injects, each for a limited time. */
import fc from "fast-check";

/** Kinds of faults. */
export const faultKinds = [
  "runner-restart",
  "runner-flap",
  "planned-stop",
  "process-paused",
  "holder-paused",
  "lists-differ",
  "workspace-surge",
  "platform-down",
  "platform-slow",
  "write-answer-lost",
  "editors-race",
  "connection-silent",
  "links-lossy",
  "links-slow",
  "answers-crossed",
] as const;

/** Kind of a fault. */
export type FaultKind = (typeof faultKinds)[number];

/** One fault in an episode. */
export type Fault = {
  kind: FaultKind;
  startMs: number;
  durationMs: number;
  /** Selects the affected process, modulo the number of candidates. */
  target: number;
};

/** Latest start of a fault or group, so that an episode can settle at its end. */
export const lastFaultStartMs = 30_000;

const maxDurationMs = 12_000;
const minDurationMs = 1000;
/** Longest time between the starts of the faults of a group. */
const maxOffsetMs = 900;
/** Limit on the random faults that are added to groups of more than one. */
const maxExtraFaults = 3;
const maxTarget = 1000;

/** Every pair of kinds, including each kind with itself. */
export const faultPairs: readonly (readonly FaultKind[])[] = faultKinds.flatMap(
  (first, index) => faultKinds.slice(index).map((second) => [first, second]),
);

const pairsPerEpisode = 3;

/** Episodes after which every fault was active alone and with every other. */
export const cycleEpisodes = faultKinds.length +
  Math.ceil(faultPairs.length / pairsPerEpisode);

/** Selects the groups of faults that an episode must run at the same time. */
export function selectFaultGroups(
  episode: number,
): readonly (readonly FaultKind[])[] {
  const index = episode % cycleEpisodes;
  if (index < faultKinds.length) return [[faultKinds[index]]];
  const first = (index - faultKinds.length) * pairsPerEpisode;
  return faultPairs.slice(first, first + pairsPerEpisode);
}

/**
 * Draws the faults of an episode: those of a group start at nearly the same
 * time. If the groups are pairs, a few random faults are added at any time.
 */
export function drawFaults(
  groups: readonly (readonly FaultKind[])[],
): fc.Arbitrary<Fault[]> {
  const isAlone = groups.every((group) => group.length === 1);
  const others = fc.array(
    drawFault(fc.constantFrom(...faultKinds), fc.nat(lastFaultStartMs)),
    { maxLength: isAlone ? 0 : maxExtraFaults },
  );
  return fc.tuple(fc.tuple(...groups.map(drawGroup)), others).map(
    ([together, rest]) => [...together.flat(), ...rest],
  );
}

function drawGroup(kinds: readonly FaultKind[]): fc.Arbitrary<Fault[]> {
  return fc.nat(lastFaultStartMs).chain((startMs) =>
    fc.tuple(
      ...kinds.map((kind) =>
        drawFault(
          fc.constant(kind),
          fc.nat(maxOffsetMs).map((offsetMs) => startMs + offsetMs),
        )
      ),
    )
  );
}

function drawFault(
  kind: fc.Arbitrary<FaultKind>,
  startMs: fc.Arbitrary<number>,
): fc.Arbitrary<Fault> {
  return fc.record({
    kind,
    startMs,
    durationMs: fc.integer({ min: minDurationMs, max: maxDurationMs }),
    target: fc.nat(maxTarget),
  });
}

/** Counts how often faults were active, by kind and by pair. */
export class FaultCoverage {
  readonly #kinds = new Map<string, number>();
  readonly #pairs = new Map<string, number>();

  private constructor() {}

  /** Creates a coverage without any faults. */
  static create(): FaultCoverage {
    return new FaultCoverage();
  }

  /** Counts the faults of an episode, and the pairs that overlapped. */
  record(faults: readonly Fault[]): void {
    for (const fault of faults) countKey(this.#kinds, fault.kind);
    faults.forEach((first, index) => {
      for (const second of faults.slice(index + 1)) {
        if (isOverlapping(first, second)) {
          countKey(this.#pairs, formatPair(first.kind, second.kind));
        }
      }
    });
  }

  /** Lists the counts by kind, including kinds that were never active. */
  listKinds(): [FaultKind, number][] {
    return faultKinds.map((kind) => [kind, this.#kinds.get(kind) ?? 0]);
  }

  /** Lists the pairs that were never active together. */
  listMissingPairs(): string[] {
    return faultPairs.map(([first, second]) => formatPair(first, second))
      .filter((pair) => !this.#pairs.has(pair));
  }

  /** Number of pairs that were active together. */
  get pairCount(): number {
    return this.#pairs.size;
  }
}

function countKey(counts: Map<string, number>, key: string): void {
  counts.set(key, (counts.get(key) ?? 0) + 1);
}

function isOverlapping(first: Fault, second: Fault): boolean {
  return first.startMs < second.startMs + second.durationMs &&
    second.startMs < first.startMs + first.durationMs;
}

function formatPair(first: FaultKind, second: FaultKind): string {
  return [first, second].sort().join(" + ");
}
