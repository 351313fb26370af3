/** Server of the store's objects with simulated faults. */
import { once } from "node:events";
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";
import { setTimeout } from "node:timers/promises";
import type { SoakObjects } from "./wire.ts";

/** Kind of a fault of the store. */
export type StoreFault = "down" | "slow" | "limited" | "losesAnswers";

const slowMs = 450;

/** A limited store refuses one call in this many. */
const limitedOneIn = 2;

/** Serves the store's objects and simulates faults of the store. */
export class StoreServer {
  readonly objects: SoakObjects;
  readonly #server: Server;
  readonly #activeFaults: StoreFault[] = [];
  #calls = 0;

  private constructor(objects: SoakObjects) {
    this.objects = objects;
    this.#server = createServer((request, response) =>
      void this.#serve(request, response)
    );
  }

  /** Starts a store on a free port of the loopback address. */
  static async create(objects: SoakObjects): Promise<StoreServer> {
    const store = new StoreServer(objects);
    store.#server.listen(0, "127.0.0.1");
    await once(store.#server, "listening");
    return store;
  }

  /** `ip:port`. */
  get address(): string {
    const { address, port } = this.#server.address() as AddressInfo;
    return `${address}:${port}`;
  }

  /** Starts a fault that lasts until the returned object is disposed of. */
  startFault(fault: StoreFault): Disposable {
    this.#activeFaults.push(fault);
    if (fault === "down") this.#server.closeAllConnections();
    return {
      [Symbol.dispose]: () => {
        this.#activeFaults.splice(this.#activeFaults.indexOf(fault), 1);
      },
    };
  }

  async [Symbol.asyncDispose](): Promise<void> {
    const closed = once(this.#server, "close");
    this.#server.close();
    this.#server.closeAllConnections();
    await closed;
  }

  async #serve(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    this.#calls += 1;
    if (this.#has("down")) {
      request.socket.resetAndDestroy();
      return;
    }
    if (this.#has("slow")) await setTimeout(slowMs);
    if (this.#has("limited") && this.#calls % limitedOneIn === 0) {
      response.writeHead(429).end();
      return;
    }
    if (this.#has("losesAnswers") && request.method !== "GET") {
      // The write takes effect, but its answer is lost.
      response.writeHead = () => response;
      response.write = () => true;
      response.end = () => {
        request.socket.destroy();
        return response;
      };
    }
    this.objects.handle(request, response);
  }

  #has(fault: StoreFault): boolean {
    return this.#activeFaults.includes(fault);
  }
}
