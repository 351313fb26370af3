import { resolveSettings } from "./resolve.ts";
import type { Configuration, Match, RequestClass, Settings } from "./schema.ts";

/** Effective settings and class of the requests of one subject. */
export type RequestSettings = {
  settings: Settings;
  requestClass: RequestClass;
};

/**
 * Resolves the settings of requests. Exceptions may match their class. The
 * deadline of the class overrides the default, and an exception overrides both.
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
  const isSetByException = origins.has("request.deadlineMs");
  if (requestClass.deadlineMs !== undefined && !isSetByException) {
    settings.request.deadlineMs = requestClass.deadlineMs;
  }
  return { settings, requestClass };
}
