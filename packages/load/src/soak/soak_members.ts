/** Membership of a simulated router. */
import {
  applyHostList,
  createMembershipTables,
  defaultMembershipLimits,
  expireMembers,
  getCandidates,
  getWireId,
  type MemberIdentity,
  type MembershipTables,
  mergeRecord,
  recordFailure,
} from "@jasminetide/core/membership";
import type { RunnerRow } from "@jasminetide/core/tables";
import type { RunReply } from "./soak_sidecar.ts";
import type { World } from "./world.ts";

/** Pool that every runner of an episode serves. */
export const soakPool = "assistant";

/** One runner in the host list. */
export type ListedRunner = { id: string; state: "live" | "leaving" };

/** Runners in the membership of one router; uses the real tables. */
export class SoakMembers {
  readonly #world: World;
  readonly #tables: MembershipTables;

  private constructor(world: World, router: string) {
    this.#world = world;
    this.#tables = createMembershipTables({
      identity: createIdentity("router", router),
      epoch: 1,
      capacity: 1,
      limits: defaultMembershipLimits,
      nowMs: world.nowMs(),
    });
  }

  /** Creates the membership of a router that contains only itself. */
  static create(world: World, router: string): SoakMembers {
    return new SoakMembers(world, router);
  }

  /** Applies a host list and removes members that have expired. */
  applyList(listed: readonly ListedRunner[]): void {
    applyHostList(
      this.#tables,
      listed.map(({ id, state }) => ({
        identity: createIdentity("sidecar", id),
        capacity: 1,
        state,
      })),
    );
    expireMembers(this.#tables, this.#world.nowMs());
  }

  /** Lists the runners that accept new work and were not tried. */
  listCandidates(tried: ReadonlySet<string>): RunnerRow[] {
    const nowMs = this.#world.nowMs();
    return getCandidates(this.#tables, soakPool, { nowMs, tried });
  }

  /** Gets the last known epoch of a runner, or 0. */
  getEpoch(runner: string): number {
    return this.#tables.runners.get(runner)?.epoch ?? 0;
  }

  /** Updates the record of a sidecar from a reply. */
  recordReply(runner: string, reply: RunReply): void {
    const identity = createIdentity("sidecar", runner);
    mergeRecord(this.#tables, {
      wireId: getWireId(identity),
      identitySequence: 0,
      epoch: reply.epoch,
      sequence: reply.sequence,
      loadTokens: 0,
      capacity: 1,
      isLeaving: reply.isLeaving,
      configurationVersion: reply.configurationVersion,
      ageMs: 0,
    }, this.#world.nowMs());
  }

  /** Records a failure of a runner, which excludes it for some time. */
  recordFailure(runner: string): void {
    const member = this.#tables.members.get(getRunnerWireId(runner));
    if (member === undefined) return;
    recordFailure(this.#tables, member, this.#world.nowMs());
  }
}

function getRunnerWireId(runner: string): number {
  return getWireId(createIdentity("sidecar", runner));
}

function createIdentity(
  type: MemberIdentity["type"],
  name: string,
): MemberIdentity {
  const identity: MemberIdentity = {
    type,
    name,
    host: name,
    failureDomain: "a",
    region: "r",
    controlAddress: name,
  };
  if (type === "router") return identity;
  const runner = { id: name, kind: "engine" as const, dataAddress: name };
  return { ...identity, runner: { ...runner, pools: [soakPool] } };
}
