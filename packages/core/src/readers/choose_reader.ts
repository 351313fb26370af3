import { hash32, mix32 } from "../hashing/mod.ts";

/** A process of the fleet that may read for others. */
export type ReaderCandidate = {
  name: string;
  /** What its host can serve, relative to that of others. */
  capacity: number;
};

/** What the choice of a reader depends on. */
export type ReaderChoiceOptions = {
  /** The process that chooses. */
  self: ReaderCandidate;
  /** The known processes of the fleet, in any order; may lack this one. */
  candidates: Iterable<ReaderCandidate>;
  /** Whether a process has failed to answer lately. */
  isAvoided: (name: string) => boolean;
};

/** From where a process takes the store's changes. */
export type ReaderChoice =
  /** From the store; the fleet is too small for others to follow. */
  | { type: "alone" }
  /** From the store; other processes may follow this one. */
  | { type: "reader" }
  /** From another process. */
  | { type: "follower"; reader: string };

/**
 * Chooses the process from which this one takes the store's changes, so that
 * few processes watch the store. All rank the processes by the same rendezvous
 * hash, weighted by capacity, and the first ones read the store for the others;
 * one that does not answer is passed over, until the ranking reaches the
 * choosing process itself.
 */
export function chooseReader(options: ReaderChoiceOptions): ReaderChoice {
  const { isAvoided, self } = options;
  const others = [...options.candidates]
    .filter(({ name }) => name !== self.name);
  const fleetSize = others.length + 1;
  if (fleetSize < minFleetSize) return { type: "alone" };
  const readers = [self, ...others.filter(({ name }) => !isAvoided(name))]
    .map((candidate) => ({ ...candidate, score: getScore(candidate) }))
    .sort((left, right) => right.score - left.score)
    .slice(0, Math.ceil(fleetSize / processesPerReader))
    .map(({ name }) => name);
  if (readers.includes(self.name)) return { type: "reader" };
  const index = hash32(self.name) % readers.length;
  return { type: "follower", reader: readers[index] };
}

/**
 * Score of weighted rendezvous hashing (logarithmic, after Schindelhauer and
 * Schomaker, 2005).
 */
function getScore({ capacity, name }: ReaderCandidate): number {
  const fraction = (mix32(readerKey, hash32(name)) + 0.5) / 2 ** 32;
  return -capacity / Math.log(fraction);
}

/** Processes that one reader serves; each keeps one call waiting there. */
const processesPerReader = 40;

/** Fleet size below which every process reads the store itself. */
const minFleetSize = 8;

/** Key of the rendezvous hash by which readers are ranked. */
const readerKey = hash32("store readers");
