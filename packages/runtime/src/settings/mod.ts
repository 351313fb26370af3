/** Settings of a process, read from a file in JSON with comments. */
import { readFile } from "node:fs/promises";
import { requireDocument } from "@jasminetide/core/configuration";
import { AppError } from "@jasminetide/core/results";
import * as z from "zod";

/** Schema of an address `ip:port`; IPv6 addresses stand in brackets. */
export const addressSchema = z.string().regex(
  /^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-f:]+\]):\d{1,5}$/i,
  "an IP address and a port, such as 127.0.0.1:8080",
);

/** Schema of the PEM files for mutual TLS between processes. */
export const tlsSchema = z.strictObject({
  certificateFile: z.string(),
  keyFile: z.string(),
  authorityFile: z.string(),
});

/** Schemas of the settings that all long-running processes share. */
export const processSettingsShape = {
  /** Name of the process, unique in the fleet. */
  name: z.string().min(1),
  host: z.string().min(1),
  failureDomain: z.string().min(1),
  region: z.string().min(1).default("default"),
  /** Address for peers and operators. */
  controlAddress: addressSchema,
  /** Address of the platform's object API and host list. */
  platformAddress: addressSchema,
  /** SHA-256 of the operators' key, in hexadecimal. */
  operatorKeyHash: z.string().regex(/^[0-9a-f]{64}$/),
  /** Control addresses of peers to query while the platform is unavailable. */
  peerAddresses: z.array(addressSchema).default([]),
  /**
   * Secret shared by the fleet that authenticates digests; may be empty on a
   * trusted network.
   */
  digestKey: z.string().default(""),
  /** Time from the announcement of a planned stop until the stop begins. */
  leaveNoticeMs: z.number().int().nonnegative().default(3000),
  logLevel: z.enum(["error", "warn", "info", "debug"]).default("info"),
  tls: tlsSchema.optional(),
};

/** Loads and validates the settings of a process. */
export async function loadSettings<Schema extends z.ZodType>(
  file: string,
  schema: Schema,
): Promise<z.output<Schema>> {
  let text: string;
  try {
    text = await readFile(file, "utf8");
  } catch (error) {
    throw AppError.create(
      "invalidSettings",
      `Cannot read settings file "${file}"`,
      { cause: error },
    );
  }
  return requireDocument(text, { file, schema });
}

/** Splits `ip:port`, and removes the brackets of an IPv6 address. */
export function parseAddress(address: string): { ip: string; port: number } {
  const colon = address.lastIndexOf(":");
  return {
    ip: address.slice(0, colon).replace(/^\[|\]$/g, ""),
    port: Number(address.slice(colon + 1)),
  };
}
