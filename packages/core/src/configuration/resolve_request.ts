import { resolveSettings } from "./resolve.ts";
import type { Configuration, Match, RequestClass, Settings } from "./schema.ts";

/** Effective settings of requests of one subject, and their class. */
export type RequestSettings = {
  settings: Settings;
  requestClass: RequestClass;
};

/**
 * Resolves the settings of requests. Exceptions may match their class; the
 * deadline of the class goes before the default, and an exception before both.
 */
export function resolveRequest(
  configuration: Configuration,
  subject: Match,
): RequestSettings {
  const { classes } = configuration;
  const wanted = resolveSettings(configuration, subject).settings.request.class;
  const requestClass = classes.find(({ name }) => name === wanted) ??
    classes[0];
  const { origins, settings } = resolveSettings(configuration, {
    ...subject,
    class: requestClass.name,
  });
  const isExcepted = origins.has("request.deadlineMs");
  if (requestClass.deadlineMs !== undefined && !isExcepted) {
    settings.request.deadlineMs = requestClass.deadlineMs;
  }
  return { settings, requestClass };
}
