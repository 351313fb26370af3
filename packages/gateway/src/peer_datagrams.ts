import type { Buffer } from "node:buffer";
import { hash32 } from "@jasminetide/core/hashing";
import type { PrefixHolders } from "@jasminetide/core/pools";
import type { RandomSource } from "@jasminetide/core/random";
import type { TimerService } from "@jasminetide/core/timers";
import {
  type DatagramMessage,
  type DatagramPort,
  decodeMessage,
  encodeMessage,
  openDatagramPort,
} from "./datagrams/mod.ts";
import type { GatewayMetrics } from "./gateway_metrics.ts";
import { LoadReports } from "./load_reports/mod.ts";
import { type DatagramPeer, PrefixOwners } from "./prefix_owners/mod.ts";
import type { GatewaySettings } from "./settings.ts";
import type { Directory } from "./upstreams/mod.ts";

/** Options of the datagrams of a gateway. */
export type PeerDatagramsOptions = {
  settings: GatewaySettings;
  timers: TimerService;
  random: RandomSource;
  metrics: GatewayMetrics;
  directory: Directory;
  /** Engines that this gateway believes to hold prefixes. */
  holders: PrefixHolders;
  /** The other gateways that take datagrams. */
  listPeers: () => readonly DatagramPeer[];
};

/**
 * What gateways tell each other in datagrams: loads of runners, and engines that
 * hold prefixes. Nothing is sent unless the settings have an address for them.
 */
export class PeerDatagrams {
  readonly loads: LoadReports;
  readonly owners: PrefixOwners;
  readonly #options: PeerDatagramsOptions;
  #port: DatagramPort | undefined;

  private constructor(options: PeerDatagramsOptions) {
    this.#options = options;
    const { listPeers, settings: { datagrams, name } } = options;
    const send = (message: DatagramMessage, address: string) =>
      this.#port?.send(encodeMessage(message), address);
    this.loads = LoadReports.create({
      ...options,
      fanout: datagrams?.loadFanout ?? 0,
      send,
    });
    this.owners = PrefixOwners.create({
      ...options,
      selfHash: hash32(name),
      listPeers: () => datagrams?.asksHolders === true ? listPeers() : [],
      send,
    });
  }

  /** Creates the datagrams of a gateway, without a port. */
  static create(options: PeerDatagramsOptions): PeerDatagrams {
    return new PeerDatagrams(options);
  }

  /** Opens the port if the settings have an address for it. */
  async open(): Promise<void> {
    const { datagrams } = this.#options.settings;
    if (datagrams === undefined) return;
    this.#port = await openDatagramPort(
      datagrams.address,
      (bytes, from) => this.#receive(bytes, from),
    );
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.loads[Symbol.dispose]();
    this.owners[Symbol.dispose]();
    await this.#port?.[Symbol.asyncDispose]();
  }

  #receive(bytes: Buffer, from: string): void {
    const message = decodeMessage(bytes);
    if (message === undefined) this.#options.metrics.countMalformedDatagram();
    else if (message.type === "loads") this.loads.receive(message.reports);
    else this.owners.receive(message, from);
  }
}
