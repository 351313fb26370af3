/** A proxy on loopback whose open channels can be made silent for good. */
import { connect, createServer } from "node:net";

export class Proxy {
  #server;
  #pairs = new Set();

  constructor(targetPort) {
    this.#server = createServer({ allowHalfOpen: true }, (near) => {
      const far = connect({
        host: "127.0.0.1",
        port: targetPort,
        allowHalfOpen: true,
      });
      const pair = { near, far, isSilent: false };
      this.#pairs.add(pair);
      pass(near, far, pair);
      pass(far, near, pair);
      near.on("close", () => this.#pairs.delete(pair));
    });
  }

  async listen() {
    await new Promise((resolve) =>
      this.#server.listen(0, "127.0.0.1", resolve)
    );
    return this.#server.address().port;
  }

  /** Number of channels that are open. */
  get open() {
    return this.#pairs.size;
  }

  /** Makes the open channels silent for good, without a reset. */
  silence() {
    for (const pair of this.#pairs) pair.isSilent = true;
  }

  close() {
    this.#server.close();
    for (const { far, near } of this.#pairs) {
      near.destroy();
      far.destroy();
    }
  }
}

/** Passes bytes and the end of a channel on, unless it is silent. */
function pass(from, to, pair) {
  from.on("data", (bytes) => {
    if (!pair.isSilent) to.write(bytes);
  });
  from.on("end", () => {
    if (!pair.isSilent) to.end();
  });
  from.on("error", () => {});
  from.on("close", () => {
    if (!pair.isSilent) to.destroy();
  });
}
