/** The declaration in force, as the platform holds it. */
import type {
  AcceptedConfiguration,
  Configuration,
} from "@jasminetide/core/configuration";
import {
  configurationObject,
  parseAccepted,
} from "@jasminetide/runtime/configuration";
import type { PlatformClient } from "@jasminetide/runtime/platform";

/** Loads the declaration in force, or undefined before the first. */
export async function loadDeclaration(
  platform: PlatformClient,
): Promise<AcceptedConfiguration | undefined> {
  const stored = await platform.get(configurationObject);
  return stored === undefined ? undefined : parseAccepted(stored);
}

/**
 * Writes a declaration if `baseVersion` is still in force; 0 stands for none.
 *
 * @returns the new version.
 * @throws AppError `versionConflict`, or `platformUnavailable` when the write
 * may or may not have taken effect.
 */
export function putDeclaration(
  platform: PlatformClient,
  options: { body: Configuration; baseVersion: number },
): Promise<number> {
  return platform.put(configurationObject, {
    value: JSON.stringify(options.body),
    condition: options.baseVersion === 0
      ? "absent"
      : { version: options.baseVersion },
  });
}
