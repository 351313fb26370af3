import type {
  DigestRecord,
  MemberIdentity,
} from "@jasminetide/core/membership";
import { type FencedOrder, fencedOrderSchema } from "@jasminetide/core/leases";
import type { Executed } from "@jasminetide/core/results";
import { initTRPC } from "@trpc/server";
import {
  chatClaimsSchema,
  type QuotaGrantMessage,
  type QuotaRequestMessage,
  quotaRequestsSchema,
} from "./messages.ts";
import * as z from "zod";

const trpc = initTRPC.create();

/** A configuration as it is stored in the platform. */
export type StoredConfiguration = {
  version: number;
  /** SHA-256 of `text`, in hexadecimal. */
  hash: string;
  text: string;
};

/** A member with its record, as it is sent to a process that is starting. */
export type KnownMember = { identity: MemberIdentity; record: DigestRecord };

/** Maximum number of configuration parts in one query. */
const maximumParts = 64;

/** Handlers of the procedures that every process serves. */
export type PeerHandlers = {
  /** Gets the configuration if it is newer than the caller's. */
  getConfiguration(afterVersion: number): StoredConfiguration | undefined;
  /** Gets the known members with their records. */
  getMembers(): KnownMember[];
  /** Checks whether this process holds a duty and has the given epoch. */
  isDutyHeld(duty: string, epoch: number): boolean;
  /** Gets the available configuration parts among the requested ones. */
  getParts(hashes: string[]): { [hash: string]: string };
};

/** Outcome of an order. */
export type OrderOutcome =
  | { type: "done" }
  | { type: "refused"; code: number; executed: Executed; detail: string };

/** Handlers of the procedures that a sidecar serves. */
export type SidecarHandlers = PeerHandlers & {
  order(request: FencedOrder): Promise<OrderOutcome>;
  claimChats(claims: z.output<typeof chatClaimsSchema>): void;
};

/** Handlers of the procedures that a router of the fleet serves. */
export type RouterHandlers = PeerHandlers & {
  /**
   * Grants quota, in the order of the requests. The list is empty while this
   * router cannot grant any.
   */
  grantQuota(requests: QuotaRequestMessage[]): QuotaGrantMessage[];
};

/** Creates the procedures that every process serves. */
export function createPeerProcedures(handlers: PeerHandlers) {
  return trpc.router(createCommonProcedures(handlers));
}

/** Creates the procedures that a router of the fleet serves. */
export function createRouterProcedures(handlers: RouterHandlers) {
  return trpc.router({
    ...createCommonProcedures(handlers),
    grantQuota: trpc.procedure.input(quotaRequestsSchema).mutation((
      { input },
    ) => handlers.grantQuota(input)),
  });
}

/** Creates the procedures that a sidecar serves. */
export function createSidecarProcedures(handlers: SidecarHandlers) {
  return trpc.router({
    ...createCommonProcedures(handlers),
    claimChats: trpc.procedure.input(chatClaimsSchema).mutation(({ input }) =>
      handlers.claimChats(input)
    ),
    order: trpc.procedure.input(fencedOrderSchema).mutation(({ input }) =>
      handlers.order(input)
    ),
  });
}

/** Type of the procedures that every process serves. */
export type PeerProcedures = ReturnType<typeof createPeerProcedures>;

/** Type of the procedures that a router of the fleet serves. */
export type RouterProcedures = ReturnType<typeof createRouterProcedures>;

/** Type of the procedures that a sidecar serves. */
export type SidecarProcedures = ReturnType<typeof createSidecarProcedures>;

function createCommonProcedures(handlers: PeerHandlers) {
  return {
    getConfiguration: trpc.procedure
      .input(z.object({ afterVersion: z.number().int().nonnegative() }))
      .query(({ input }) =>
        handlers.getConfiguration(input.afterVersion) ?? null
      ),
    getMembers: trpc.procedure.query(() => handlers.getMembers()),
    isDutyHeld: trpc.procedure
      .input(z.object({ duty: z.string(), epoch: z.number().int() }))
      .query(({ input }) => handlers.isDutyHeld(input.duty, input.epoch)),
    getParts: trpc.procedure
      .input(z.object({ hashes: z.array(z.string()).max(maximumParts) }))
      .query(({ input }) => handlers.getParts(input.hashes)),
  };
}
