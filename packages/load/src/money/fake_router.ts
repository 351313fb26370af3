/** Simulated router of a run of the ledger. */
import {
  getShard,
  type LedgerAnswer,
  type LedgerCall,
  OwnerSearch,
} from "@jasminetide/core/ledger";
import type { RandomSource } from "@jasminetide/core/random";
import type { TimerService } from "@jasminetide/core/timers";
import type { FakeSidecar } from "./fake_sidecar.ts";
import type { HistoryChecker } from "./history_checker.ts";

/** Dependencies of one router. */
export type FakeRouterOptions = {
  name: string;
  timers: TimerService;
  random: RandomSource;
  checker: HistoryChecker;
  shardCount: number;
  /** Gets the sidecars on this router's own list, which may be outdated. */
  getCandidates: () => FakeSidecar[];
};

/** A caller's request. */
export type MoneyRequest = Omit<LedgerCall, "id" | "mayClaim">;

/** Time after which a router considers a sidecar silent. */
const silenceTimeoutMs = 2500;

/** Time between two queries for the owner. */
const queryGapMs = 20;

/** State of one request until it is answered. */
type Search = {
  request: MoneyRequest;
  owner: OwnerSearch;
  shard: number;
  answer: (answer: LedgerAnswer) => void;
};

/** A router with the real search for the owner of a shard. */
export class FakeRouter {
  readonly #options: FakeRouterOptions;
  readonly #hints = new Map<number, string>();
  #calls = 0;

  private constructor(options: FakeRouterOptions) {
    this.#options = options;
  }

  /** Creates a router that has cached no owner. */
  static create(options: FakeRouterOptions): FakeRouter {
    return new FakeRouter(options);
  }

  /** Sends a request to the owner of its shard. */
  send(request: MoneyRequest, answer: (answer: LedgerAnswer) => void): void {
    const shard = getShard(request.key, this.#options.shardCount);
    const owner = OwnerSearch.create({
      service: "money",
      shard,
      hint: this.#hints.get(shard),
    });
    this.#query({ request, owner, shard, answer });
  }

  #query(search: Search): void {
    const { request, owner } = search;
    const candidates = this.#options.getCandidates();
    const choice = owner.choose(candidates.map((one) => one.owner.name));
    const isOver = this.#options.timers.nowMs() >= request.deadlineAtMs;
    const sidecar = candidates.find((one) => one.owner.name === choice?.name);
    if (choice === undefined || sidecar === undefined || isOver) {
      search.answer(owner.lastAnswer);
    } else this.#send(search, sidecar, choice.mayClaim);
  }

  #send(search: Search, sidecar: FakeSidecar, mayClaim: boolean): void {
    const { timers, checker, random, name } = this.#options;
    this.#calls += 1;
    const id = `${name}/${this.#calls}`;
    let isOpen = true;
    const settle = (answer: LedgerAnswer | undefined) => {
      if (!isOpen) return;
      isOpen = false;
      timer[Symbol.dispose]();
      if (answer === undefined) checker.recordAbandoned(id, timers.nowMs());
      this.#apply(search, sidecar.owner.name, answer);
    };
    const timeoutMs = mayClaim
      ? search.request.deadlineAtMs - timers.nowMs()
      : silenceTimeoutMs;
    const timer = timers.schedule(timeoutMs, () => settle(undefined));
    timers.schedule(
      1 + random.getFloat() * 4,
      () =>
        sidecar.accept(search.shard, { ...search.request, id, mayClaim }, {
          answer: (answer) => timers.schedule(1, () => settle(answer)),
          isDisconnected: () => !isOpen,
        }),
    );
  }

  #apply(
    search: Search,
    queried: string,
    answer: LedgerAnswer | undefined,
  ): void {
    const isFinal = search.owner.apply(queried, answer);
    const { hint } = search.owner;
    if (hint !== undefined) this.#hints.set(search.shard, hint);
    if (isFinal && answer !== undefined) search.answer(answer);
    else this.#options.timers.schedule(queryGapMs, () => this.#query(search));
  }
}
