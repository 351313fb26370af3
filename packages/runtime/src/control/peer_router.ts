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
  quotaWishesSchema,
  type QuotaWishMessage,
} from "./messages.ts";
import * as z from "zod";

const trpc = initTRPC.create();

/** A configuration as the platform stores it. */
export type StoredConfiguration = {
  version: number;
  /** SHA-256 of `text`, in hexadecimal. */
  hash: string;
  text: string;
};

/** A member as one process tells another. */
export type KnownMember = { identity: MemberIdentity; record: DigestRecord };

/** Parts of a configuration that one request may ask for. */
const maximumParts = 64;

/** What every process answers its peers. */
export type PeerHandlers = {
  /** Gives the configuration if it is newer than the caller's. */
  getConfiguration(afterVersion: number): StoredConfiguration | undefined;
  /** Gives the members that it knows, with their records. */
  getMembers(): KnownMember[];
  /** Says whether it holds a duty as the start that the asker names. */
  isDutyHeld(duty: string, epoch: number): boolean;
  /** Gives those of the asked parts of a configuration that it holds. */
  getParts(hashes: string[]): { [hash: string]: string };
};

/** What became of an order. */
export type OrderOutcome =
  | { type: "done" }
  | { type: "refused"; code: number; executed: Executed; detail: string };

/** What a sidecar answers besides. */
export type SidecarHandlers = PeerHandlers & {
  order(request: FencedOrder): Promise<OrderOutcome>;
  claimChats(claims: z.output<typeof chatClaimsSchema>): void;
};

/** What a router answers besides. */
export type EntryHandlers = PeerHandlers & {
  /** Grants quota; an empty list says that it cannot yet. */
  grantQuota(wishes: QuotaWishMessage[]): QuotaGrantMessage[];
};

/** Creates the procedures that every process serves. */
export function createPeerRouter(handlers: PeerHandlers) {
  return trpc.router(createPeerProcedures(handlers));
}

/** Creates the procedures that a router of the fleet serves. */
export function createEntryRouter(handlers: EntryHandlers) {
  return trpc.router({
    ...createPeerProcedures(handlers),
    grantQuota: trpc.procedure.input(quotaWishesSchema).mutation(({ input }) =>
      handlers.grantQuota(input)
    ),
  });
}

/** Creates the procedures that a sidecar serves. */
export function createSidecarRouter(handlers: SidecarHandlers) {
  return trpc.router({
    ...createPeerProcedures(handlers),
    claimChats: trpc.procedure.input(chatClaimsSchema).mutation(({ input }) =>
      handlers.claimChats(input)
    ),
    order: trpc.procedure.input(fencedOrderSchema).mutation(({ input }) =>
      handlers.order(input)
    ),
  });
}

/** Type of the procedures that every process serves. */
export type PeerRouter = ReturnType<typeof createPeerRouter>;

/** Type of the procedures that a router of the fleet serves. */
export type EntryRouter = ReturnType<typeof createEntryRouter>;

/** Type of the procedures that a sidecar serves. */
export type SidecarRouter = ReturnType<typeof createSidecarRouter>;

function createPeerProcedures(handlers: PeerHandlers) {
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
