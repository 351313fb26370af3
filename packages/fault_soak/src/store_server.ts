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

/** How the store misbehaves. */
export type StoreTrouble = "down" | "slow" | "limited" | "losesAnswers";

const slowMs = 450;

/** Share of the calls that a limited store turns away, one in so many. */
const limitedOneIn = 2;

/** Serves objects, and misbehaves when told to. */
export class StoreServer {
  readonly objects: SoakObjects;
  readonly #server: Server;
  readonly #troubles: StoreTrouble[] = [];
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

  /** Misbehaves until what is returned is disposed of. */
  begin(trouble: StoreTrouble): Disposable {
    this.#troubles.push(trouble);
    if (trouble === "down") this.#server.closeAllConnections();
    return {
      [Symbol.dispose]: () => {
        this.#troubles.splice(this.#troubles.indexOf(trouble), 1);
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
      // The write takes effect; its answer is lost.
      response.writeHead = () => response;
      response.write = () => true;
      response.end = () => {
        request.socket.destroy();
        return response;
      };
    }
    this.objects.handle(request, response);
  }

  #has(trouble: StoreTrouble): boolean {
    return this.#troubles.includes(trouble);
  }
}
