import type { TimerService, TimerSubscription } from "@jasminetide/core/timers";
import {
  type News,
  type NewsLine,
  type NewsPositions,
  type PackedNews,
  packNews,
} from "./news.ts";

/** Receives the lines that are sent to one gateway. */
export type NewsSubscriber = {
  /** @returns false when the gateway does not read what it was sent. */
  send: (line: string) => boolean;
  end: () => void;
};

/** Options of a publisher. */
export type NewsPublisherOptions = {
  timers: TimerService;
  /** Period of lines while nothing changes. */
  periodMs: number;
  /** Whether what this gateway has is recent enough for others. */
  isCurrent: () => boolean;
  /** Time since the store last confirmed what this gateway has. */
  getAgeMs: () => number;
  /** Selects what a gateway lacks. */
  selectNews: (positions: NewsPositions) => News;
};

/** Changes for a gateway, and the positions that it has with them. */
type SelectedNews = { news: PackedNews; positions: NewsPositions };

/** Sends the changes of the store to the gateways that follow this one. */
export class NewsPublisher {
  readonly #options: NewsPublisherOptions;
  readonly #subscribers = new Map<NewsSubscriber, NewsPositions>();
  readonly #period: TimerSubscription;
  #changeTimer: TimerSubscription | undefined;

  private constructor(options: NewsPublisherOptions) {
    this.#options = options;
    this.#period = options.timers.subscribe(
      options.periodMs,
      () => this.#publish(),
    );
  }

  /** Creates a publisher. */
  static create(options: NewsPublisherOptions): NewsPublisher {
    return new NewsPublisher(options);
  }

  /** Sends what a gateway lacks, and from then on each change. */
  add(subscriber: NewsSubscriber, positions: NewsPositions): void {
    this.#subscribers.set(subscriber, positions);
    this.#sendTo(subscriber, this.#selectNews(positions));
  }

  remove(subscriber: NewsSubscriber): void {
    this.#subscribers.delete(subscriber);
  }

  /** Sends changes soon; those that come in a burst are sent together. */
  notify(): void {
    this.#changeTimer ??= this.#options.timers.schedule(burstMs, () => {
      this.#changeTimer = undefined;
      this.#publish();
    });
  }

  [Symbol.dispose](): void {
    this.#period[Symbol.dispose]();
    this.#changeTimer?.[Symbol.dispose]();
    for (const subscriber of this.#subscribers.keys()) subscriber.end();
    this.#subscribers.clear();
  }

  #publish(): void {
    const packed = new Map<string, SelectedNews>();
    for (const [subscriber, positions] of this.#subscribers) {
      // Most gateways have the same positions and get the same changes.
      const key = JSON.stringify(positions);
      const selected = packed.get(key) ?? this.#selectNews(positions);
      packed.set(key, selected);
      this.#sendTo(subscriber, selected);
    }
  }

  #selectNews(positions: NewsPositions): SelectedNews {
    const news = this.#options.selectNews(positions);
    return {
      news: packNews(news),
      positions: {
        declarations: news.declarations?.position ?? positions.declarations,
        runners: news.runners?.position ?? positions.runners,
        evacuations: news.evacuations?.position ?? positions.evacuations,
      },
    };
  }

  #sendTo(subscriber: NewsSubscriber, selected: SelectedNews): void {
    const { getAgeMs, isCurrent, timers } = this.#options;
    if (!isCurrent()) {
      this.#end(subscriber, { isCurrent: false });
      return;
    }
    const { news, positions } = selected;
    this.#subscribers.set(subscriber, positions);
    const ageMs = Math.round(getAgeMs());
    const sentAtMs = Math.round(timers.nowMs());
    const line: NewsLine = { isCurrent: true, sentAtMs, ageMs, news };
    if (!subscriber.send(JSON.stringify(line))) this.#end(subscriber);
  }

  #end(subscriber: NewsSubscriber, line?: NewsLine): void {
    if (line !== undefined) subscriber.send(JSON.stringify(line));
    this.#subscribers.delete(subscriber);
    subscriber.end();
  }
}

/** Time for which changes are collected before they are sent. */
const burstMs = 50;
