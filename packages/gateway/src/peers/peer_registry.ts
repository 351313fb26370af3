import type { ObjectSource } from "../following/mod.ts";

/** What a gateway says of itself in the store. */
export type PeerRecord = {
  /** `ip:port` at which it answers other gateways. */
  address: string;
};

/** Where gateways find each other. */
export type PeerRegistry = {
  peers: ObjectSource<PeerRecord>;
  /** @throws AppError `platformUnavailable` or `platformLimited`. */
  announce: (name: string, record: PeerRecord) => Promise<void>;
  /** @throws AppError `platformUnavailable` or `platformLimited`. */
  withdraw: (name: string) => Promise<void>;
};
