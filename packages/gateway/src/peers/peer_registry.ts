import type { ObjectSource } from "../following/mod.ts";

/** A gateway's record in the store. */
export type PeerRecord = {
  /** `ip:port` at which it serves other gateways. */
  address: string;
  /** What its host can serve, in cores of a host with a good connection. */
  capacity: number;
  /** `ip:port` for datagrams (UDP); absent if it takes none. */
  datagramAddress?: string;
};

/** Registry in the store by which gateways find each other. */
export type PeerRegistry = {
  peers: ObjectSource<PeerRecord>;
  /** @throws AppError `platformUnavailable` or `platformLimited`. */
  announce: (name: string, record: PeerRecord) => Promise<void>;
  /** @throws AppError `platformUnavailable` or `platformLimited`. */
  withdraw: (name: string) => Promise<void>;
};
