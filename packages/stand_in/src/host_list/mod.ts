/** Stand-in of the platform's host list, which lags. */
import type { TimerService } from "@jasminetide/core/timers";
import type { HostRecord } from "@jasminetide/runtime/platform";

/** How far the list lags behind the hosts. */
export type HostListOptions = { timers: TimerService; lagMs: number };

/** The hosts as callers of the list see them. */
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

  /** Sets the hosts; callers see them after the lag. */
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

  /** Marks a host as leaving. */
  drain(id: string): void {
    this.set(
      this.#actual.map((host) =>
        host.id === id ? { ...host, state: "leaving" } : host
      ),
    );
  }
}
