/** Simulated connections between routers and sidecars. */
import { AppError } from "@jasminetide/core/results";
import type { World } from "./world.ts";

/** Reply of a sidecar, with the id of the attempt that it answers. */
export type Reply = { attempt: string };

/** One call over a link. */
export type LinkCall<Answer extends Reply> = {
  /** The two processes, such as `router1 runner2`. */
  link: string;
  /** Epoch of the called process; undefined while it is down. */
  getEpoch: () => number | undefined;
  handle: () => Promise<Answer>;
};

type Pending = { deliver: (reply: Reply) => void };

const minDelayMs = 1;
const spreadDelayMs = 4;
/** Longer than the time after which a router settles an attempt. */
const slowDelayMs = 6000;
const slowProbability = 0.3;
const lossProbability = 0.15;
const crossProbability = 0.4;

/**
 * Delivers calls between processes. Messages are delayed or lost, connections
 * become silent until they are replaced, and answers are delivered to the wrong
 * call of a connection.
 */
export class Links {
  readonly #world: World;
  readonly #silent = new Set<string>();
  readonly #pending = new Map<string, Set<Pending>>();

  private constructor(world: World) {
    this.#world = world;
  }

  /** Creates links without open calls. */
  static create(world: World): Links {
    return new Links(world);
  }

  /** Makes the open connection of a link lose all messages. */
  silence(link: string): void {
    this.#silent.add(link);
  }

  /** Opens a new connection in place of a silent one. */
  replace(link: string): void {
    this.#silent.delete(link);
  }

  /** Sends a call. If a message is lost, the promise never settles. */
  async call<Answer extends Reply>(call: LinkCall<Answer>): Promise<Reply> {
    await this.#sendMessage(call.link);
    const epoch = call.getEpoch();
    if (epoch === undefined) throw AppError.create("runnerFailed", "Refused");
    const reply = await call.handle();
    return await this.#sendReply(reply, { ...call, epoch });
  }

  /** Waits until a message has arrived; never returns if it is lost. */
  async #sendMessage(link: string): Promise<void> {
    const isLost = this.#silent.has(link) ||
      (this.#world.isActive("links-lossy") &&
        this.#world.drawBoolean(lossProbability));
    if (isLost) {
      this.#world.count("messages lost");
      await new Promise<never>(() => {});
    }
    await this.#world.wait(this.#drawDelayMs());
  }

  #drawDelayMs(): number {
    const isSlow = this.#world.isActive("links-slow") &&
      this.#world.drawBoolean(slowProbability);
    const spreadMs = isSlow ? slowDelayMs : spreadDelayMs;
    return minDelayMs + this.#world.random.getFloat() * spreadMs;
  }

  /** Sends a reply back; fails if the sidecar restarts or stops meanwhile. */
  #sendReply(
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

  /** Selects the call that gets a reply; under `answers-crossed` maybe another. */
  #chooseReceiver(open: Set<Pending>, own: Pending): Pending {
    const [other] = open;
    const isCrossed = other !== undefined &&
      this.#world.isActive("answers-crossed") &&
      this.#world.drawBoolean(crossProbability);
    if (!isCrossed) return own;
    this.#world.count("answers crossed");
    return other;
  }
}
