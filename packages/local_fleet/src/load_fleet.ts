import { readdir, readFile } from "node:fs/promises";
import { join } from "node:path";
import {
  type Configuration,
  formatFaults,
  parseConfiguration,
} from "@jasminetide/core/configuration";
import { AppError } from "@jasminetide/core/results";
import { type RouterSettings, routerSettingsSchema } from "@jasminetide/router";
import { loadSettings } from "@jasminetide/runtime/settings";
import {
  type SidecarSettings,
  sidecarSettingsSchema,
} from "@jasminetide/sidecar";
import {
  type StandInSettings,
  standInSettingsSchema,
} from "@jasminetide/stand_in";
import type { z } from "zod";

/** Configuration and process settings of a fleet that runs in one process. */
export type FleetDefinition = {
  configuration: Configuration;
  standIns: StandInSettings;
  routers: RouterSettings[];
  sidecars: SidecarSettings[];
};

/**
 * Loads a fleet from a folder that contains `fleet.jsonc`, `stand_ins.jsonc`,
 * `routers/` and `sidecars/`.
 *
 * @throws AppError `invalidSettings` or `invalidConfiguration`.
 */
export async function loadFleet(folder: string): Promise<FleetDefinition> {
  return {
    configuration: await loadConfiguration(join(folder, "fleet.jsonc")),
    standIns: await loadSettings(
      join(folder, "stand_ins.jsonc"),
      standInSettingsSchema,
    ),
    routers: await loadSettingsFolder(
      join(folder, "routers"),
      routerSettingsSchema,
    ),
    sidecars: await loadSettingsFolder(
      join(folder, "sidecars"),
      sidecarSettingsSchema,
    ),
  };
}

async function loadConfiguration(file: string): Promise<Configuration> {
  const result = parseConfiguration(await readFile(file, "utf8"), file);
  if (result.type === "parsed") return result.value;
  throw AppError.create("invalidConfiguration", formatFaults(result.faults));
}

async function loadSettingsFolder<Schema extends z.ZodType>(
  folder: string,
  schema: Schema,
): Promise<z.output<Schema>[]> {
  const files = (await readdir(folder)).filter((file) =>
    file.endsWith(".jsonc")
  );
  files.sort();
  return Promise.all(
    files.map((file) => loadSettings(join(folder, file), schema)),
  );
}
