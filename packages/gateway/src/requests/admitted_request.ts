import type { Buffer } from "node:buffer";
import type { DeclaredRoute } from "@jasminetide/core/routes";
import type { CallerRequest } from "../protocol.ts";

/** A request that was admitted, with its route and limits. */
export type AdmittedRequest = {
  caller: CallerRequest;
  route: DeclaredRoute;
  service: string;
  workspace: string | undefined;
  /** Priority of the workspace or else of the route; 0 is served first. */
  priority: number;
  body: Buffer;
  /** Version at which a stream that is taken up goes on. */
  softwareVersion: string | undefined;
  /** Time by which it must be answered, on the timer service's clock. */
  deadlineMs: number;
};
