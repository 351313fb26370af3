/**
 * The links of a fleet under test, in a process of their own: the soak's process
 * sends requests, reads logs and serves the store, and would relay late.
 */
import { type ChildProcess, fork } from "node:child_process";
import { once } from "node:events";
import { fileURLToPath } from "node:url";
import type { LinkDirection } from "@jasminetide/testing/fault_link";
import type { LinkAction, LinkReply, LinkRequest } from "./link_wire.ts";

/** A link of the host; each method settles when the fault is in force. */
export type HostedLink = {
  /** `ip:port` of its near end. */
  address: string;
  /** Delays all bytes that are received from now on; 0 ends the delay. */
  setDelay: (delayMs: number) => Promise<void>;
  /** Drops bytes as `FaultLink.setSilentDirections` does. */
  setSilentDirections: (directions: readonly LinkDirection[]) => Promise<void>;
  /** Resets the open connections. */
  resetOpen: () => Promise<void>;
};

const script = fileURLToPath(new URL("link_host_main.js", import.meta.url));

/** Starts links in its process and injects faults into them. */
export class LinkHost {
  readonly #child: ChildProcess;
  readonly #ended: Promise<unknown[]>;
  readonly #waiting = new Map<number, (reply: LinkReply) => void>();
  readonly #failure: Promise<never>;
  #lastId = 0;

  private constructor(child: ChildProcess) {
    this.#child = child;
    this.#ended = once(child, "exit");
    this.#failure = this.#ended.then(([code]) => {
      throw new Error(`process of the links exited with ${code}`);
    });
    // Requests that wait for a reply report it.
    this.#failure.catch(() => {});
    child.on("message", (reply: LinkReply) => {
      this.#waiting.get(reply.id)?.(reply);
      this.#waiting.delete(reply.id);
    });
  }

  /** Starts the process, which exits with the one that starts it. */
  static create(): LinkHost {
    return new LinkHost(fork(script));
  }

  /** Starts a link to an `ip:port`. */
  async createLink(target: string): Promise<HostedLink> {
    const { address } = await this.#send({ type: "create", target });
    return {
      address,
      setDelay: async (delayMs) => {
        await this.#send({ type: "delay", address, delayMs });
      },
      setSilentDirections: async (directions) => {
        await this.#send({ type: "silence", address, directions });
      },
      resetOpen: async () => {
        await this.#send({ type: "reset", address });
      },
    };
  }

  async [Symbol.asyncDispose](): Promise<void> {
    if (this.#child.connected) this.#child.disconnect();
    await this.#ended;
  }

  async #send(action: LinkAction): Promise<LinkReply> {
    const id = ++this.#lastId;
    const reply = new Promise<LinkReply>((resolve) =>
      this.#waiting.set(id, resolve)
    );
    const request: LinkRequest = { id, action };
    this.#child.send(request);
    return await Promise.race([reply, this.#failure]);
  }
}
