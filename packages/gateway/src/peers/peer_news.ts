import type { RoutingDeclaration } from "@jasminetide/core/routes";
import * as z from "zod";
import type { RunnerRecord } from "../upstreams/mod.ts";

/** The newest state that a gateway has from the store itself. */
export type GatewayState = {
  declaration: RoutingDeclaration | undefined;
  /** Revision of the store at which the runners were read. */
  revision: number;
  runners: RunnerRecord[];
};

/** What the asking gateway has already. */
export const knownStateSchema = z.object({
  /** Version of the declaration that the asking gateway has. */
  version: z.number(),
  /** Revision of the runners that the asking gateway has. */
  revision: z.number(),
});

/** What the asking gateway has already, parsed. */
export type KnownState = z.output<typeof knownStateSchema>;

/** Leaves out what the asking gateway has already. */
export function selectNews(
  state: GatewayState | undefined,
  known: KnownState,
): Partial<GatewayState> {
  if (state === undefined) return {};
  const { declaration, revision, runners } = state;
  return {
    ...(declaration !== undefined && declaration.version > known.version
      ? { declaration }
      : {}),
    ...(revision > known.revision ? { revision, runners } : {}),
  };
}
