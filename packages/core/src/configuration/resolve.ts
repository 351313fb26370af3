import {
  type Configuration,
  type Match,
  type Settings,
  settingsSchema,
} from "./schema.ts";

/** Source of an effective value. */
export type Origin =
  | { type: "default" }
  | { type: "exception"; index: number; reason: string };

/** Effective settings, with the origins of those that exceptions set. */
export type ResolvedSettings = {
  settings: Settings;
  /** Origins by dotted path; settings without an origin are defaults. */
  origins: Map<string, Origin>;
};

/** Applies the matching exceptions to the defaults; later ones override. */
export function resolveSettings(
  configuration: Configuration,
  subject: Match,
): ResolvedSettings {
  const merged = structuredClone(configuration.defaults) as SettingsTree;
  const origins = new Map<string, Origin>();
  configuration.exceptions.forEach((exception, index) => {
    if (!isMatch(exception.match, subject)) return;
    for (const [section, patch] of Object.entries(exception.set)) {
      for (const [name, value] of Object.entries(patch ?? {})) {
        merged[section] = { ...merged[section], [name]: value };
        origins.set(`${section}.${name}`, {
          type: "exception",
          index,
          reason: exception.reason,
        });
      }
    }
  });
  return { settings: settingsSchema.parse(merged), origins };
}

type SettingsTree = { [section: string]: { [name: string]: unknown } };

function isMatch(match: Match, subject: Match): boolean {
  return Object.entries(match).every(([field, wanted]) =>
    wanted === undefined || subject[field as keyof Match] === wanted
  );
}
