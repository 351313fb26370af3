/** Settings of one process, read from JSON with comments. */
import { readFile } from "node:fs/promises";
import { requireDocument } from "@jasminetide/core/configuration";
import { AppError } from "@jasminetide/core/results";
import * as z from "zod";

/** `ip:port`. */
export const addressSchema = z.string().regex(
  /^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-f:]+\]):\d{1,5}$/i,
  "an IP address and a port, such as 127.0.0.1:8080",
);

/** Files for mutual TLS between processes, in PEM. */
export const tlsSchema = z.strictObject({
  certificateFile: z.string(),
  keyFile: z.string(),
  authorityFile: z.string(),
});

/** Settings that every long-running process shares. */
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
  /** Control addresses of peers that are asked while the platform is down. */
  peerAddresses: z.array(addressSchema).default([]),
  /**
   * Secret of the fleet that authenticates digests; empty where the network
   * is trusted.
   */
  digestKey: z.string().default(""),
  /** Time between the announcement of a planned stop and its beginning. */
  leaveNoticeMs: z.number().int().nonnegative().default(3000),
  logLevel: z.enum(["error", "warn", "info", "debug"]).default("info"),
  tls: tlsSchema.optional(),
};

/** Loads and checks the settings of a process. */
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
      `Cannot read settings "${file}"`,
      { cause: error },
    );
  }
  return requireDocument(text, { file, schema });
}

/** Splits `ip:port`. */
export function parseAddress(address: string): { ip: string; port: number } {
  const colon = address.lastIndexOf(":");
  return {
    ip: address.slice(0, colon).replace(/^\[|\]$/g, ""),
    port: Number(address.slice(colon + 1)),
  };
}
