import type { Settlement } from "@jasminetide/core/attempts";
import type { AcceptedConfiguration } from "@jasminetide/core/configuration";
import { initTRPC } from "@trpc/server";
import { settleSchema } from "./messages.ts";
import { z } from "zod";

const trpc = initTRPC.create();

/** What every process answers its peers. */
export type PeerHandlers = {
  /** Gives the configuration if it is newer than the caller's. */
  getConfiguration(afterVersion: number): AcceptedConfiguration | undefined;
};

/** What a sidecar answers besides. */
export type SidecarHandlers = PeerHandlers & {
  settle(request: z.output<typeof settleSchema>): Settlement;
};

/** Creates the procedures that every process serves. */
export function createPeerRouter(handlers: PeerHandlers) {
  return trpc.router(createPeerProcedures(handlers));
}

/** Creates the procedures that a sidecar serves. */
export function createSidecarRouter(handlers: SidecarHandlers) {
  return trpc.router({
    ...createPeerProcedures(handlers),
    settle: trpc.procedure.input(settleSchema).mutation(({ input }) =>
      handlers.settle(input)
    ),
  });
}

/** Type of the procedures that every process serves. */
export type PeerRouter = ReturnType<typeof createPeerRouter>;

/** Type of the procedures that a sidecar serves. */
export type SidecarRouter = ReturnType<typeof createSidecarRouter>;

function createPeerProcedures(handlers: PeerHandlers) {
  return {
    getConfiguration: trpc.procedure
      .input(z.object({ afterVersion: z.number().int().nonnegative() }))
      .query(({ input }) =>
        handlers.getConfiguration(input.afterVersion) ?? null
      ),
  };
}
