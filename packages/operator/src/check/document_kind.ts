import { basename, dirname } from "node:path";
import {
  type Configuration,
  configurationSchema,
  type Fault,
  isObject,
  parseDocument,
  type ValueFault,
} from "@jasminetide/core/configuration";
import {
  findConfigurationFindings,
  findGatewayFindings,
  type Finding,
  findRouteFindings,
} from "@jasminetide/core/findings";
import {
  type RoutesDocument,
  routesDocumentSchema,
} from "@jasminetide/core/routes";
import { gatewaySettingsSchema } from "@jasminetide/gateway";
import { routerSettingsSchema } from "@jasminetide/router";
import { sidecarSettingsSchema } from "@jasminetide/sidecar";
import { standInSettingsSchema } from "@jasminetide/stand_in";
import type { z } from "zod";

/** Kind of a document that operators write. */
export type DocumentKind =
  | "declaration"
  | "gateway"
  | "router"
  | "routes"
  | "sidecar"
  | "stand-ins"
  | "unknown";

/** A document of which versions are put in force, parsed. */
export type VersionedBody =
  | { type: "declaration"; body: Configuration }
  | { type: "routes"; body: RoutesDocument };

/** Result of reading a document: its faults, or its findings. */
export type ReadResult =
  | { type: "faulty"; faults: Fault[] }
  | { type: "read"; findings: Finding[]; versioned?: VersionedBody };

/** Reads documents of one kind and notation. */
export type DocumentReader = (
  text: string,
  options: { file: string; findFaults?: (value: unknown) => ValueFault[] },
) => ReadResult;

/** Another notation of documents of a kind. */
export type DocumentFormat = {
  kind: Exclude<DocumentKind, "unknown">;
  /** Whether a value of JSON is in this notation. */
  isMatch: (value: unknown) => boolean;
  read: DocumentReader;
};

/** Creates the reader of documents with a schema. */
export function createReader<Schema extends z.ZodType>(
  schema: Schema,
  getContent: (value: z.output<Schema>) => Omit<
    Extract<ReadResult, { type: "read" }>,
    "type"
  > = () => ({ findings: [] }),
): DocumentReader {
  return (text, options) => {
    const result = parseDocument(text, { ...options, schema });
    if (result.type === "faulty") return result;
    return { type: "read", ...getContent(result.value) };
  };
}

/** Reader of each kind of document. */
export const documentReaders: {
  [Kind in Exclude<DocumentKind, "unknown">]: DocumentReader;
} = {
  "declaration": createReader(configurationSchema, (body) => ({
    findings: findConfigurationFindings(body),
    versioned: { type: "declaration", body },
  })),
  "gateway": createReader(gatewaySettingsSchema, (settings) => ({
    findings: findGatewayFindings(settings),
  })),
  "router": createReader(routerSettingsSchema),
  "routes": createReader(routesDocumentSchema, (body) => ({
    findings: findRouteFindings(body),
    versioned: { type: "routes", body },
  })),
  "sidecar": createReader(sidecarSettingsSchema),
  "stand-ins": createReader(standInSettingsSchema),
};

/** Gets the kind of a document from its folder, name and fields. */
export function getDocumentKind(file: string, value: unknown): DocumentKind {
  const folder = basename(dirname(file));
  if (folder === "gateways") return "gateway";
  if (folder === "routers") return "router";
  if (folder === "sidecars") return "sidecar";
  const name = basename(file);
  if (name === "fleet.jsonc") return "declaration";
  if (name === "routes.jsonc") return "routes";
  if (name === "stand_ins.jsonc") return "stand-ins";
  if (!isObject(value)) return "unknown";
  if ("formatVersion" in value || "exceptions" in value) return "declaration";
  if ("callerLimits" in value) return "routes";
  if ("readinessAddress" in value) return "gateway";
  if ("callerAddress" in value) return "router";
  if ("runner" in value) return "sidecar";
  return "unknown";
}
