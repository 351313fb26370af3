import type { RoutingDeclaration } from "@jasminetide/core/routes";
import * as z from "zod";
import type { RunnerRecord } from "../upstreams/mod.ts";

/** Newest state that a gateway has read from the store. */
export type GatewayState = {
  declaration: RoutingDeclaration | undefined;
  /** Revision of the store at which the runners were read. */
  revision: number;
  runners: RunnerRecord[];
};

/** Schema of the versions of the state that the calling gateway has. */
export const stateVersionsSchema = z.object({
  /** Version of its declaration; 0 if it has none. */
  version: z.number(),
  /** Revision of its list of runners; 0 if it has none. */
  revision: z.number(),
});

/** Versions of the state that the calling gateway has. */
export type StateVersions = z.output<typeof stateVersionsSchema>;

/** Selects the state that is newer than that of the calling gateway. */
export function selectNewerState(
  state: GatewayState | undefined,
  versions: StateVersions,
): Partial<GatewayState> {
  if (state === undefined) return {};
  const { declaration, revision, runners } = state;
  return {
    ...(declaration !== undefined && declaration.version > versions.version
      ? { declaration }
      : {}),
    ...(revision > versions.revision ? { revision, runners } : {}),
  };
}
