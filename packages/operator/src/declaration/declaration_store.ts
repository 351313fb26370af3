/** Loads and writes the declaration stored in the platform. */
import type { AcceptedConfiguration } from "@jasminetide/core/configuration";
import {
  loadAccepted,
  publishConfiguration,
} from "@jasminetide/runtime/configuration";
import type { PlatformClient } from "@jasminetide/runtime/platform";

/** Loads the current declaration; undefined before the first. */
export function loadDeclaration(
  platform: PlatformClient,
): Promise<AcceptedConfiguration | undefined> {
  return loadAccepted(platform);
}

/**
 * Writes a declaration if `baseVersion` is still current; 0 means that there is
 * no declaration yet.
 *
 * @returns the new version.
 * @throws AppError `versionConflict`, or `platformUnavailable` if the write may
 * or may not have taken effect.
 */
export async function putDeclaration(
  platform: PlatformClient,
  options: { text: string; baseVersion: number },
): Promise<number> {
  const { text, baseVersion: expectedVersion } = options;
  const { version } = await publishConfiguration(platform, {
    text,
    expectedVersion,
  });
  return version;
}
