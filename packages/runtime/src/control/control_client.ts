import { createTRPCClient, httpLink } from "@trpc/client";
import { type Dispatcher, fetch } from "undici";
import type {
  PeerProcedures,
  RouterProcedures,
  SidecarProcedures,
} from "./procedures.ts";

/** Address and connections of a client. */
export type ControlClientOptions = {
  address: string;
  dispatcher: Dispatcher;
  /** Whether connections use TLS. */
  isSecure?: boolean;
};

/** Creates a client of the procedures that every process serves. */
export function createPeerClient(options: ControlClientOptions) {
  return createTRPCClient<PeerProcedures>({ links: [createLink(options)] });
}

/** Creates a client of the procedures that a sidecar serves. */
export function createSidecarClient(options: ControlClientOptions) {
  return createTRPCClient<SidecarProcedures>({ links: [createLink(options)] });
}

/** Creates a client of the procedures that a router of the fleet serves. */
export function createRouterClient(options: ControlClientOptions) {
  return createTRPCClient<RouterProcedures>({ links: [createLink(options)] });
}

/** Client of a router of the fleet. */
export type RouterClient = ReturnType<typeof createRouterClient>;

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
