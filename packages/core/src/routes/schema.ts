import * as z from "zod";

const durationMs = z.number().positive();

const shareSchema = z.object({
  service: z.string(),
  /** Relative share of the requests; a service of weight 0 gets none. */
  weight: z.number().nonnegative(),
});

const routeSchema = z.object({
  name: z.string().min(1),
  host: z.string().min(1),
  pathPrefix: z.string(),
  kind: z.enum(["idempotent", "nonIdempotent", "stream"]),
  timeoutMs: durationMs,
  goalMs: durationMs,
  pauseGoalMs: durationMs.optional(),
  priority: z.number().default(0),
  services: z.array(shareSchema),
  maxAttempts: z.number().int().default(1),
  isPublic: z.boolean().default(false),
  isResumable: z.boolean().default(false),
});

const workspaceSchema = z.object({
  name: z.string().min(1),
  apiKeys: z.array(z.string().min(1)),
  /** Overrides the priority of the route when present. */
  priority: z.number().optional(),
});

const serviceSchema = z.object({
  name: z.string().min(1),
  coldStartMs: z.number().nonnegative().default(0),
  coldPerSecond: z.number().optional(),
});

/** Schema of a document with the routes of gateways, `routes.jsonc`. */
export const routesDocumentSchema = z.object({
  version: z.number(),
  routes: z.array(routeSchema),
  workspaces: z.array(workspaceSchema).optional(),
  callerLimits: z.object({
    maxBodyBytes: z.number().positive(),
    headerTimeoutMs: durationMs,
    idleTimeoutMs: durationMs,
  }),
  /** All services of the routes; absent if they are not listed. */
  services: z.array(serviceSchema).optional(),
});

/**
 * A document with the routes of gateways, parsed. A `RoutingDeclaration` is
 * one, but may list only some of the services.
 */
export type RoutesDocument = z.output<typeof routesDocumentSchema>;
