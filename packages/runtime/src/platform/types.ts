import type { RunnerKind } from "@jasminetide/core/tables";

/** An object as the platform holds it. */
export type StoredObject = { version: number; value: string };

/** A process that a host runs, from the labels of the host list. */
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

/** One row of the platform's host list. */
export type HostRecord = {
  id: string;
  failureDomain: string;
  region: string;
  state: "live" | "leaving";
  processes: HostProcess[];
};
