/**
 * Stand-in of the network between the gateways and one runner, which can be cut.
 * It treats bytes as TCP and the pages do: those that a cut holds up are sent
 * again at growing intervals, also after their sender has closed the channel, and
 * are lost if their sender resets it. Channels that are opened in a cut never
 * come about.
 */
import { connect, createServer } from "node:net";
import { listen, parseAddress } from "./net_tools.mjs";

/** Time until bytes are sent again; doubled each time. */
const firstRetransmissionMs = 200;

/** A network path to one runner. */
export class Link {
  #isCut = false;
  #held = [];
  #record;

  /** Starts a link to the runner at an address. */
  static async create({ record, target }) {
    const link = new Link();
    link.#record = record;
    const server = createServer(
      { allowHalfOpen: true, noDelay: true },
      (near) => link.#accept(near, parseAddress(target)),
    );
    link.address = await listen(server);
    return link;
  }

  cut() {
    this.#isCut = true;
    this.#record({ event: "cut" });
  }

  /** Ends the cut; what was held up follows with its next retransmission. */
  heal() {
    this.#isCut = false;
    this.#record({ event: "healed" });
    const nowMs = Date.now();
    for (const held of this.#held.splice(0)) {
      let dueMs = held.sentAtMs;
      let intervalMs = firstRetransmissionMs;
      while (dueMs <= nowMs) {
        dueMs += intervalMs;
        intervalMs *= 2;
      }
      setTimeout(held.deliver, dueMs - nowMs);
    }
  }

  #accept(near, target) {
    near.on("error", () => {});
    if (this.#isCut) return;
    const far = connect({ ...target, allowHalfOpen: true, noDelay: true });
    let isReset = false;
    near.on("error", () => {
      isReset = true;
      if (!this.#isCut) far.resetAndDestroy();
    });
    far.on("error", () => near.destroy());
    this.#pass(near, far, () => isReset);
    this.#pass(far, near, () => false);
  }

  /** Passes bytes and the end of one direction on, now or after the cut. */
  #pass(from, to, isReset) {
    // What follows bytes that are held up arrives with them.
    let held;
    const passOrHold = (action) => {
      if (held !== undefined) {
        held.actions.push(action);
      } else if (this.#isCut) {
        held = { sentAtMs: Date.now(), actions: [action] };
        held.deliver = () => {
          for (const each of held.actions) {
            if (isReset()) to.resetAndDestroy();
            else each();
          }
          held = undefined;
        };
        this.#held.push(held);
      } else action();
    };
    from.on("data", (bytes) => passOrHold(() => to.write(bytes)));
    from.on("end", () => passOrHold(() => to.end()));
  }
}
