import {
  chooseReader,
  DelayChange,
  type ReaderCandidate,
  type ReaderChoice,
} from "@jasminetide/core/readers";
import type { RandomSource } from "@jasminetide/core/random";
import { normalizeError } from "@jasminetide/core/results";
import {
  type TimerService,
  type TimerSubscription,
  wait,
} from "@jasminetide/core/timers";
import type { Logger } from "@jasminetide/runtime/logging";
import { type News, type NewsLine, unpackNews } from "./news.ts";
import type { NewsSubscription } from "./news_connection.ts";
import type { PeerRecord } from "./peer_registry.ts";

/** Options of a follower of another gateway. */
export type NewsFollowerOptions = {
  /** This gateway, as others may know it. */
  self: ReaderCandidate;
  timers: TimerService;
  random: RandomSource;
  logger: Logger;
  /** Age from which this gateway has to read the store itself. */
  maxAgeMs: number;
  /** Time since this gateway's state was known to be up to date. */
  getAgeMs: () => number;
  listGateways: () => ReadonlyMap<string, PeerRecord>;
  /** Subscribes to the changes that another gateway reads. */
  subscribe: (
    address: string,
    onLine: (line: NewsLine) => void,
  ) => NewsSubscription;
  /** Called with changes, and the age of what they lead to. */
  onNews: (news: News, ageMs: number) => void;
  /** Called when this gateway begins or ceases to read the store itself. */
  onReadingChange: (isReading: boolean) => void;
};

/** A gateway that did not answer, and until when it is passed over. */
type AvoidedGateway = { failures: number; untilMs: number };

/**
 * Takes the changes of the store from another gateway, so that few gateways
 * call the store. This gateway reads the store itself if it ranks first, if no
 * reader answers, or whenever its state gets older than `maxAgeMs`.
 */
export class NewsFollower {
  readonly #options: NewsFollowerOptions;
  readonly #avoided = new Map<string, AvoidedGateway>();
  #isReading = true;
  #role: ReaderChoice["type"] = "alone";
  #ageTimer: TimerSubscription | undefined;
  #subscription: NewsSubscription | undefined;
  #isStopped = false;

  private constructor(options: NewsFollowerOptions) {
    this.#options = options;
  }

  /** Creates a follower and starts to follow. */
  static create(options: NewsFollowerOptions): NewsFollower {
    const follower = new NewsFollower(options);
    void follower.#run();
    return follower;
  }

  /** Whether this gateway reads the store itself at present. */
  get isReading(): boolean {
    return this.#isReading;
  }

  /** Whether this gateway reads for itself, for others, or follows another. */
  get role(): ReaderChoice["type"] {
    return this.#role;
  }

  [Symbol.dispose](): void {
    this.#isStopped = true;
    this.#subscription?.[Symbol.dispose]();
    this.#ageTimer?.[Symbol.dispose]();
  }

  async #run(): Promise<void> {
    const { timers } = this.#options;
    while (!this.#isStopped) {
      const reader = this.#chooseReader();
      if (reader !== undefined) await this.#follow(reader);
      else {
        this.#setReading(true, "no gateway to follow");
        await wait(timers, reviewPeriodMs);
      }
    }
  }

  #chooseReader(): string | undefined {
    const { listGateways, self, timers } = this.#options;
    const nowMs = timers.nowMs();
    const gateways = listGateways();
    const choice = chooseReader({
      self,
      candidates: [...gateways].map(([name, { capacity }]) => ({
        name,
        capacity,
      })),
      isAvoided: (name) => (this.#avoided.get(name)?.untilMs ?? 0) > nowMs,
    });
    this.#role = choice.type;
    return choice.type === "follower" ? choice.reader : undefined;
  }

  /** Follows a gateway until it fails or another one should be followed. */
  async #follow(reader: string): Promise<void> {
    const { logger, timers } = this.#options;
    try {
      using subscription = this.#subscribe(reader);
      this.#subscription = subscription;
      await subscription.ended;
      await wait(timers, reopeningPauseMs);
    } catch (thrown) {
      if (this.#isStopped || this.#chooseReader() !== reader) return;
      logger.info("reader-silent", {
        reader,
        detail: normalizeError(thrown).message,
      });
      this.#avoid(reader, silentMs);
    }
  }

  /** Opens the stream of a reader and handles its lines. */
  #subscribe(reader: string): NewsSubscription {
    const { listGateways, subscribe, timers } = this.#options;
    const address = listGateways().get(reader)?.address ?? "";
    const openedAtMs = timers.nowMs();
    const delay = DelayChange.create();
    let openMs: number | undefined;
    return subscribe(address, (line) => {
      if (!line.isCurrent) {
        this.#avoid(reader, notCurrentMs);
        return;
      }
      const nowMs = timers.nowMs();
      openMs ??= nowMs - openedAtMs;
      // The first line took no longer than it took to open the stream.
      const delayMs = openMs + delay.record(line.sentAtMs, nowMs);
      const ageMs = line.ageMs + Math.max(0, delayMs);
      this.#handleLine(reader, unpackNews(line.news), ageMs);
    });
  }

  #handleLine(reader: string, news: News, ageMs: number): void {
    const { maxAgeMs, onNews } = this.#options;
    onNews(news, ageMs);
    this.#checkAge();
    // A sender that was suspended sends lines that seem ever older.
    if (ageMs > maxAgeMs) this.#avoid(reader, notCurrentMs);
    else this.#avoided.delete(reader);
    if (this.#chooseReader() === reader) return;
    this.#subscription?.[Symbol.dispose]();
  }

  /** Passes a gateway over for a while, longer with each failure. */
  #avoid(name: string, durationMs: number): void {
    const { random, timers } = this.#options;
    const failures = (this.#avoided.get(name)?.failures ?? 0) + 1;
    const limitMs = Math.min(maxAvoidedMs, durationMs * 2 ** (failures - 1));
    const untilMs = timers.nowMs() + limitMs * (0.5 + random.getFloat() / 2);
    this.#avoided.set(name, { failures, untilMs });
  }

  /** Reads the store whenever the state is too old, until it is not. */
  #checkAge(): void {
    const { getAgeMs, maxAgeMs, timers } = this.#options;
    const leftMs = maxAgeMs - getAgeMs();
    this.#setReading(leftMs <= 0, "state is too old");
    this.#ageTimer?.[Symbol.dispose]();
    if (leftMs <= 0) return;
    this.#ageTimer = timers.schedule(leftMs + 1, () => this.#checkAge());
  }

  #setReading(isReading: boolean, reason: string): void {
    if (this.#isReading === isReading) return;
    this.#isReading = isReading;
    const { getAgeMs, logger, onReadingChange } = this.#options;
    const ageMs = Math.round(getAgeMs());
    if (isReading) logger.info("reads-store", { reason, ageMs });
    else logger.info("follows-reader", { ageMs });
    onReadingChange(isReading);
  }
}

/** Period at which a reader checks whether it still ranks first. */
const reviewPeriodMs = 500;

/** Pause before a stream that its reader has ended is opened again. */
const reopeningPauseMs = 100;

/** Time for which a gateway is passed over whose own state is too old. */
const notCurrentMs = 1000;

/** Time for which a gateway is passed over that did not answer. */
const silentMs = 2000;

/** Longest time for which a gateway is passed over. */
const maxAvoidedMs = 30_000;
