import { createTRPCClient, httpLink } from "@trpc/client";
import { type Dispatcher, fetch } from "undici";
import type { EntryRouter, PeerRouter, SidecarRouter } from "./peer_router.ts";

/** How a client reaches a peer. */
export type ControlClientOptions = {
  address: string;
  dispatcher: Dispatcher;
  /** Whether the connection is encrypted. */
  isSecure?: boolean;
};

/** Creates a client of the procedures of any process. */
export function createPeerClient(options: ControlClientOptions) {
  return createTRPCClient<PeerRouter>({ links: [createLink(options)] });
}

/** Creates a client of the procedures of a sidecar. */
export function createSidecarClient(options: ControlClientOptions) {
  return createTRPCClient<SidecarRouter>({ links: [createLink(options)] });
}

/** Creates a client of the procedures of a router of the fleet. */
export function createEntryClient(options: ControlClientOptions) {
  return createTRPCClient<EntryRouter>({ links: [createLink(options)] });
}

/** Client of a router of the fleet. */
export type EntryClient = ReturnType<typeof createEntryClient>;

/** Client of any process. */
export type PeerClient = ReturnType<typeof createPeerClient>;

/** Client of a sidecar. */
export type SidecarClient = ReturnType<typeof createSidecarClient>;

function createLink(options: ControlClientOptions) {
  const scheme = options.isSecure ? "https" : "http";
  return httpLink({
    url: `${scheme}://${options.address}/rpc`,
    fetch: (url, init) =>
      fetch(url as string, {
        ...(init as object),
        dispatcher: options.dispatcher,
      }) as unknown as Promise<Response>,
  });
}
