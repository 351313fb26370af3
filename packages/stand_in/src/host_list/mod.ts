/** Stand-in for the platform's host list, which changes with a delay. */
export * from "./host_record.ts";
import type { TimerService } from "@jasminetide/core/timers";
import type { HostRecord } from "@jasminetide/runtime/platform";

/** Delay after which changes of the hosts become visible. */
export type HostListOptions = { timers: TimerService; lagMs: number };

/** List of hosts whose changes callers see after a delay. */
export class HostList {
  readonly #options: HostListOptions;
  #visible: HostRecord[] = [];
  #actual: HostRecord[] = [];

  private constructor(options: HostListOptions) {
    this.#options = options;
  }

  /** Creates an empty list. */
  static create(options: HostListOptions): HostList {
    return new HostList(options);
  }

  /** Gets the list as it was `lagMs` ago. */
  get(): HostRecord[] {
    return this.#visible;
  }

  /** Sets the hosts; callers see them after `lagMs`. */
  set(hosts: HostRecord[]): void {
    this.#actual = hosts;
    if (this.#options.lagMs === 0) {
      this.#visible = hosts;
      return;
    }
    this.#options.timers.schedule(this.#options.lagMs, () => {
      this.#visible = hosts;
    });
  }

  /** Adds a host, or replaces the one with the same id. */
  put(host: HostRecord): void {
    this.set([...this.#actual.filter(({ id }) => id !== host.id), host]);
  }

  /** Removes a host; returns whether it was in the list. */
  remove(id: string): boolean {
    const hosts = this.#actual.filter((host) => host.id !== id);
    const isFound = hosts.length < this.#actual.length;
    if (isFound) this.set(hosts);
    return isFound;
  }

  /** Marks a host as leaving; returns whether it was in the list. */
  drain(id: string): boolean {
    const isFound = this.#actual.some((host) => host.id === id);
    if (!isFound) return false;
    this.set(
      this.#actual.map((host) =>
        host.id === id ? { ...host, state: "leaving" } : host
      ),
    );
    return true;
  }
}
