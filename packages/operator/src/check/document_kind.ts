import { basename, dirname } from "node:path";
import { configurationSchema, isObject } from "@jasminetide/core/configuration";
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
  | "sidecar"
  | "stand-ins"
  | "unknown";

/** Schema of each kind of document. */
export const documentSchemas: {
  [Kind in Exclude<DocumentKind, "unknown">]: z.ZodType;
} = {
  "declaration": configurationSchema,
  "gateway": gatewaySettingsSchema,
  "router": routerSettingsSchema,
  "sidecar": sidecarSettingsSchema,
  "stand-ins": standInSettingsSchema,
};

/** Gets the kind of a document from its folder, name and fields. */
export function getDocumentKind(file: string, value: unknown): DocumentKind {
  const folder = basename(dirname(file));
  if (folder === "gateways") return "gateway";
  if (folder === "routers") return "router";
  if (folder === "sidecars") return "sidecar";
  const name = basename(file);
  if (name === "fleet.jsonc") return "declaration";
  if (name === "stand_ins.jsonc") return "stand-ins";
  if (!isObject(value)) return "unknown";
  if ("formatVersion" in value || "exceptions" in value) return "declaration";
  if ("readinessAddress" in value) return "gateway";
  if ("callerAddress" in value) return "router";
  if ("runner" in value) return "sidecar";
  return "unknown";
}
