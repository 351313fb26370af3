import type { StorePosition } from "@jasminetide/core/store";
import type { RunnerKind } from "@jasminetide/core/tables";

/** Value and position of an object that the platform stores. */
export type StoredObject = { position: StorePosition; value: string };

/** A process on a host, as described by the labels of the host list. */
export type HostProcess =
  | { type: "router"; name: string; controlAddress: string }
  | {
    type: "sidecar";
    name: string;
    runner: string;
    kind: RunnerKind;
    pools: string[];
    capacity: number;
    dataAddress: string;
    controlAddress: string;
  };

/** An entry of the platform's host list. */
export type HostRecord = {
  id: string;
  failureDomain: string;
  region: string;
  state: "live" | "leaving";
  processes: HostProcess[];
};
