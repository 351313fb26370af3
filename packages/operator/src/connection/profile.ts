import { readFile } from "node:fs/promises";
import { isAbsolute, join } from "node:path";
import { fileURLToPath } from "node:url";
import { AppError } from "@jasminetide/core/results";
import { addressSchema, loadSettings } from "@jasminetide/runtime/settings";
import { z } from "zod";

/** A profile, in JSON with comments; flags override it. */
const profileSchema = z.strictObject({
  platformAddress: addressSchema.optional(),
  /** Operators' key; a file or the environment keeps it out of the profile. */
  operatorKey: z.string().min(1).optional(),
  /** File with the operators' key. */
  operatorKeyFile: z.string().min(1).optional(),
  /** File with the CA that signs the certificates of the processes. */
  authorityFile: z.string().min(1).optional(),
  /** File of the declaration. */
  fleetFile: z.string().min(1).optional(),
});

/** Flags that select a fleet and authenticate the operator. */
export type ConnectionFlags = {
  profile?: string | undefined;
  platform?: string | undefined;
  keyFile?: string | undefined;
  file?: string | undefined;
  /** Operators' key from the environment. */
  environmentKey?: string | undefined;
};

/** Addresses, credentials and declaration file of a fleet. */
export type Connection = {
  platformAddress: string;
  operatorKey: string;
  /** Certificate of the fleet's CA in PEM; without it, HTTP without TLS. */
  authority?: string;
  fleetFile: string;
};

/** Connection to the local fleet of a checkout. */
const localConnection: Connection = {
  platformAddress: "127.0.0.1:8090",
  operatorKey: "local-operator",
  fleetFile: fileURLToPath(
    new URL("../../../../examples/local/fleet.jsonc", import.meta.url),
  ),
};

/**
 * Resolves the connection. Flags override the profile, which overrides the
 * defaults of the local fleet.
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
      authority: await loadText(
        resolveProfilePath(flags, profile.authorityFile),
      ),
    }),
    fleetFile: flags.file ?? resolveFleetFile(flags, profile),
  };
}

type Profile = z.output<typeof profileSchema>;

/** Resolves the path of the declaration. */
function resolveFleetFile(flags: ConnectionFlags, profile: Profile): string {
  const { fleetFile } = profile;
  if (fleetFile === undefined) return localConnection.fleetFile;
  return resolveProfilePath(flags, fleetFile);
}

/** Resolves a path in a profile, which is relative to the profile. */
function resolveProfilePath(flags: ConnectionFlags, file: string): string {
  return isAbsolute(file) ? file : join(flags.profile ?? "", "..", file);
}

async function resolveKey(
  flags: ConnectionFlags,
  profile: Profile,
): Promise<string> {
  if (flags.keyFile !== undefined) return await loadKey(flags.keyFile);
  if (flags.environmentKey !== undefined) return flags.environmentKey;
  if (profile.operatorKeyFile !== undefined) {
    return await loadKey(resolveProfilePath(flags, profile.operatorKeyFile));
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
