import { AppError } from "@jasminetide/core/results";
import type { World } from "./world.ts";

/** What a sidecar sends back; it names the attempt that it belongs to. */
export type Reply = { attempt: string };

/** One call over a link. */
export type LinkCall<Answer extends Reply> = {
  /** The pair of processes, such as `router-1 runner-2`. */
  link: string;
  /** Epoch of the called process; undefined while it is down. */
  getEpoch: () => number | undefined;
  handle: () => Promise<Answer>;
};

type Pending = { deliver: (reply: Reply) => void };

const minDelayMs = 1;
const spreadDelayMs = 4;
/** Beyond the time after which a router asks what became of an attempt. */
const slowDelayMs = 6000;
const slowProbability = 0.3;
const lossProbability = 0.15;
const crossProbability = 0.4;

/**
 * Carries calls between processes, with delay, loss, connections that go
 * silent for good until they are replaced, and answers that are crossed.
 */
export class Links {
  readonly #world: World;
  readonly #silent = new Set<string>();
  readonly #pending = new Map<string, Set<Pending>>();

  private constructor(world: World) {
    this.#world = world;
  }

  /** Creates links on which nothing is open. */
  static create(world: World): Links {
    return new Links(world);
  }

  /** Makes the open connection of a link silent; a new one would work. */
  silence(link: string): void {
    this.#silent.add(link);
  }

  /** Opens a new connection in place of a silent one. */
  replace(link: string): void {
    this.#silent.delete(link);
  }

  /** Sends a call. A lost request or answer leaves the promise open. */
  async call<Answer extends Reply>(call: LinkCall<Answer>): Promise<Reply> {
    await this.#sendMessage(call.link);
    const epoch = call.getEpoch();
    if (epoch === undefined) throw AppError.create("runnerFailed", "Refused");
    const reply = await call.handle();
    return await this.#answer(reply, { ...call, epoch });
  }

  /** Brings a message over, or never. */
  async #sendMessage(link: string): Promise<void> {
    const isLost = this.#silent.has(link) ||
      (this.#world.isActive("links-lossy") &&
        this.#world.hasChance(lossProbability));
    if (isLost) {
      this.#world.count("messages lost");
      await new Promise<never>(() => {});
    }
    await this.#world.wait(this.#drawDelayMs());
  }

  #drawDelayMs(): number {
    const isSlow = this.#world.isActive("links-slow") &&
      this.#world.hasChance(slowProbability);
    const spreadMs = isSlow ? slowDelayMs : spreadDelayMs;
    return minDelayMs + this.#world.random.getFloat() * spreadMs;
  }

  /** An answer ends with the process that gave it. */
  #answer(
    reply: Reply,
    call: LinkCall<Reply> & { epoch: number },
  ): Promise<Reply> {
    return new Promise((resolve, reject) => {
      const pending: Pending = { deliver: resolve };
      const open = this.#pending.get(call.link) ?? new Set();
      this.#pending.set(call.link, open);
      open.add(pending);
      this.#sendMessage(call.link).then(() => {
        open.delete(pending);
        if (call.getEpoch() !== call.epoch) {
          reject(AppError.create("runnerFailed", "Connection reset"));
        } else this.#chooseReceiver(open, pending).deliver(reply);
      });
    });
  }

  /** Another call that waits on the link may get the answer. */
  #chooseReceiver(open: Set<Pending>, own: Pending): Pending {
    const [other] = open;
    const isCrossed = other !== undefined &&
      this.#world.isActive("answers-crossed") &&
      this.#world.hasChance(crossProbability);
    if (!isCrossed) return own;
    this.#world.count("answers crossed");
    return other;
  }
}
