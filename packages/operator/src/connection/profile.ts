import { readFile } from "node:fs/promises";
import { isAbsolute, join } from "node:path";
import { fileURLToPath } from "node:url";
import { AppError } from "@jasminetide/core/results";
import { addressSchema, loadSettings } from "@jasminetide/runtime/settings";
import { z } from "zod";

/** A profile, JSON with comments; flags go before it. */
const profileSchema = z.strictObject({
  platformAddress: addressSchema.optional(),
  /** Operators' key itself; a file or the environment keeps it apart. */
  operatorKey: z.string().min(1).optional(),
  /** File that holds the operators' key. */
  operatorKeyFile: z.string().min(1).optional(),
  /** File of the authority that signs the processes' certificates. */
  authorityFile: z.string().min(1).optional(),
  /** Declaration that commands work on. */
  fleetFile: z.string().min(1).optional(),
});

/** Which fleet to speak to, as flags say. */
export type ConnectionFlags = {
  profile?: string | undefined;
  platform?: string | undefined;
  keyFile?: string | undefined;
  file?: string | undefined;
  /** Key from the environment. */
  environmentKey?: string | undefined;
};

/** Where the fleet is and what proves an operator. */
export type Connection = {
  platformAddress: string;
  operatorKey: string;
  /** Authority of the fleet in PEM; plain connections when absent. */
  authority?: string;
  fleetFile: string;
};

/** The local fleet of a checkout. */
const localConnection: Connection = {
  platformAddress: "127.0.0.1:8090",
  operatorKey: "local-operator",
  fleetFile: fileURLToPath(
    new URL("../../../../examples/local/fleet.jsonc", import.meta.url),
  ),
};

/**
 * Resolves the connection from flags, the profile and the local fleet, in
 * this order.
 *
 * @throws AppError `invalidSettings`.
 */
export async function resolveConnection(
  flags: ConnectionFlags,
): Promise<Connection> {
  const profile = flags.profile === undefined
    ? {}
    : await loadSettings(flags.profile, profileSchema);
  const platform = addressSchema.safeParse(
    flags.platform ?? profile.platformAddress ??
      localConnection.platformAddress,
  );
  if (!platform.success) {
    throw AppError.create(
      "invalidSettings",
      `Platform address is "${flags.platform}", ` +
        "expected an IP address and a port",
    );
  }
  return {
    platformAddress: platform.data,
    operatorKey: await resolveKey(flags, profile),
    ...(profile.authorityFile === undefined ? {} : {
      authority: await loadText(resolveBeside(flags, profile.authorityFile)),
    }),
    fleetFile: flags.file ?? resolveFleetFile(flags, profile),
  };
}

type Profile = z.output<typeof profileSchema>;

/** A path in a profile is relative to the profile. */
function resolveFleetFile(flags: ConnectionFlags, profile: Profile): string {
  const { fleetFile } = profile;
  if (fleetFile === undefined) return localConnection.fleetFile;
  return resolveBeside(flags, fleetFile);
}

function resolveBeside(flags: ConnectionFlags, file: string): string {
  return isAbsolute(file) ? file : join(flags.profile ?? "", "..", file);
}

async function resolveKey(
  flags: ConnectionFlags,
  profile: Profile,
): Promise<string> {
  if (flags.keyFile !== undefined) return await loadKey(flags.keyFile);
  if (flags.environmentKey !== undefined) return flags.environmentKey;
  if (profile.operatorKeyFile !== undefined) {
    return await loadKey(resolveBeside(flags, profile.operatorKeyFile));
  }
  return profile.operatorKey ?? localConnection.operatorKey;
}

async function loadKey(file: string): Promise<string> {
  return (await loadText(file)).trim();
}

async function loadText(file: string): Promise<string> {
  try {
    return await readFile(file, "utf8");
  } catch (error) {
    throw AppError.create("invalidSettings", `Cannot read "${file}"`, {
      cause: error,
    });
  }
}
