/** Simulated leader duties of an episode, with the real leases. */
import { FencedOrders } from "@jasminetide/core/leases";
import { normalizeError } from "@jasminetide/core/results";
import type { PeerClient } from "@jasminetide/runtime/control";
import { fetchFencingNumber, LeaseManager } from "@jasminetide/runtime/leases";
import { createSilentLogger } from "@jasminetide/runtime/logging";
import type { FakePlatform } from "./fake_platform.ts";
import { PausableTimers } from "./pausable_timers.ts";
import type { SoakSidecar } from "./soak_sidecar.ts";
import type { World } from "./world.ts";

const duty = "placement-soak";
const orderPeriodMs = 700;
const decisionMs = 5;
const minDelayMs = 2;
const slowDelayMs = 4000;

/** Exceeds the lease, so that another router acquires the duty. */
const minPauseMs = 12_000;

/** Origin of the last order that a runner has run. */
type LastOrder = { fencingNumber: number; router: string };

/** Dependencies of the duties, and the processes that take part. */
export type SoakDutiesOptions = {
  world: World;
  platform: FakePlatform;
  routers: readonly string[];
  sidecars: readonly SoakSidecar[];
};

type Holder = { name: string; manager: LeaseManager; timers: PausableTimers };

/**
 * Routers that hold a duty by real leases and send fenced orders to every
 * runner. The runners do not check the fencing number; their sidecars do.
 */
export class SoakDuties {
  readonly #options: SoakDutiesOptions;
  readonly #holders: Holder[];
  readonly #fencedOrders = new Map<
    string,
    { epoch: number; orders: FencedOrders }
  >();
  readonly #last = new Map<string, LastOrder>();

  private constructor(options: SoakDutiesOptions) {
    this.#options = options;
    this.#holders = options.routers.map((name) => this.#createHolder(name));
    for (const holder of this.#holders) {
      holder.timers.subscribe(orderPeriodMs, () => void this.#order(holder));
    }
  }

  /** Creates routers; none of them holds the duty yet. */
  static create(options: SoakDutiesOptions): SoakDuties {
    return new SoakDuties(options);
  }

  /** Pauses the router that holds the duty, or the first router. */
  pauseHolder(durationMs: number): void {
    const { world } = this.#options;
    const holder = this.#holders.find(({ manager }) => manager.isHeld(duty)) ??
      this.#holders[0];
    holder.timers.pause(world.nowMs() + minPauseMs + durationMs);
  }

  #createHolder(name: string): Holder {
    const { platform, routers, world } = this.#options;
    const timers = PausableTimers.create(world.timers);
    const manager = LeaseManager.create({
      self: { name, epoch: 1, controlAddress: name },
      duties: [duty],
      platform: platform.client,
      timers,
      logger: createSilentLogger(),
      getPeer: (address) => this.#createPeer(address),
      listCandidates: () =>
        routers.map((router) => ({ name: router, epoch: 1 })),
    });
    return { name, manager, timers };
  }

  /** Creates a client that queries whether another router holds the duty. */
  #createPeer(address: string): PeerClient {
    const client = {
      isDutyHeld: {
        query: async () => {
          const holder = this.#holders.find(({ name }) => name === address);
          await holder?.timers.wait(minDelayMs);
          return holder?.manager.isHeld(duty) ?? false;
        },
      },
    };
    return client as unknown as PeerClient;
  }

  /**
   * Sends an order if the router holds the duty. The router may be paused
   * between this decision and the sending.
   */
  async #order({ manager, name, timers }: Holder): Promise<void> {
    const { sidecars, world } = this.#options;
    const fencingNumber = manager.getFencingNumber(duty);
    if (fencingNumber === undefined) return;
    await timers.wait(decisionMs);
    await Promise.all(sidecars.map(async (sidecar) => {
      await world.wait(this.#drawDelayMs());
      if (sidecar.isUp) {
        await this.#deliver(sidecar, { fencingNumber, router: name });
      }
    }));
  }

  #drawDelayMs(): number {
    const { world } = this.#options;
    const spreadMs = world.isActive("links-slow") ? slowDelayMs : minDelayMs;
    return minDelayMs + world.random.getFloat() * spreadMs;
  }

  async #deliver(sidecar: SoakSidecar, order: LastOrder): Promise<void> {
    const { world } = this.#options;
    const { id } = sidecar.row;
    try {
      await this.#getFencedOrders(sidecar).run(order.fencingNumber, () => {
        this.#checkOrder(id, order);
        this.#last.set(id, order);
        return Promise.resolve();
      });
      world.count("orders taken");
    } catch (thrown) {
      world.count(`orders refused: ${normalizeError(thrown).result}`);
    }
  }

  /** Gets the check of a sidecar; a restarted one fetches the highest number. */
  #getFencedOrders(sidecar: SoakSidecar): FencedOrders {
    const { epoch, row } = sidecar;
    const known = this.#fencedOrders.get(row.id);
    if (known?.epoch === epoch) return known.orders;
    const { client } = this.#options.platform;
    const orders = FencedOrders.create({
      fetchHighest: () => fetchFencingNumber(client, duty),
    });
    this.#fencedOrders.set(row.id, { epoch, orders });
    return orders;
  }

  #checkOrder(runner: string, order: LastOrder): void {
    const last = this.#last.get(runner);
    const isLater = last === undefined ||
      order.fencingNumber > last.fencingNumber;
    const isSame = last?.fencingNumber === order.fencingNumber &&
      last.router === order.router;
    this.#options.world.check(
      "no-order-under-an-older-lease",
      isLater || isSame,
      () => `${runner}: ${JSON.stringify(order)} after ${JSON.stringify(last)}`,
    );
  }
}
