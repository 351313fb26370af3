import type { RoutingDeclaration } from "@jasminetide/core/routes";
import {
  initialPosition,
  isLaterPosition,
  type StorePosition,
} from "@jasminetide/core/store";
import * as z from "zod";
import type { Evacuation } from "../evacuations/mod.ts";
import type { ObjectNews } from "../following/mod.ts";
import { positionSchema } from "./news.ts";
import type { RunnerRecord } from "../upstreams/mod.ts";

/** Newest state that a gateway has read from the store. */
export type GatewayState = {
  declaration: RoutingDeclaration | undefined;
  /** Position of the store at which the runners were read. */
  position: StorePosition;
  runners: RunnerRecord[];
  /** Time for which runners that are gone are still kept, after an outage. */
  keepMissingMs: number;
  /** Absent where the deployment has no evacuations. */
  evacuations?: ObjectNews<Evacuation>;
};

/** Schema of the versions of the state that the calling gateway has. */
export const stateVersionsSchema = z.object({
  /** Version of its declaration; 0 if it has none. */
  version: z.number(),
  /** Position of its list of runners; the initial one if it has none. */
  position: positionSchema,
  /** Position of its evacuations. */
  evacuations: positionSchema.optional(),
});

/** Versions of the state that the calling gateway has. */
export type StateVersions = z.output<typeof stateVersionsSchema>;

/** Selects the state that is newer than that of the calling gateway. */
export function selectNewerState(
  state: GatewayState | undefined,
  versions: StateVersions,
): Partial<GatewayState> {
  if (state === undefined) return {};
  const { declaration, evacuations, keepMissingMs, position, runners } = state;
  return {
    ...(declaration !== undefined && declaration.version > versions.version
      ? { declaration }
      : {}),
    ...(isLaterPosition(position, versions.position)
      ? { position, runners, keepMissingMs }
      : {}),
    ...(evacuations !== undefined &&
        isLaterPosition(
          evacuations.position,
          versions.evacuations ?? initialPosition,
        )
      ? { evacuations }
      : {}),
  };
}
