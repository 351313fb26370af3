/** Flags that commands share. */
import { flag, option, optional, string } from "cmd-ts";
import process from "node:process";
import type { ConnectionFlags } from "../connection/mod.ts";

/** Prints the result as JSON. */
export const jsonFlag = {
  json: flag({
    long: "json",
    description: "Print the result as JSON",
  }),
};

/** Where the fleet is. */
export const connectionFlags = {
  profile: option({
    type: optional(string),
    long: "profile",
    short: "p",
    description: "Profile, JSON with comments (default: the local fleet)",
  }),
  platform: option({
    type: optional(string),
    long: "platform",
    description: "Platform address, ip:port (default: 127.0.0.1:8090)",
  }),
  keyFile: option({
    type: optional(string),
    long: "key-file",
    description:
      "File with the operators' key (or JASMINETIDE_OPERATOR_KEY is set)",
  }),
};

/** Declaration that a command works on. */
export const fileFlag = {
  file: option({
    type: optional(string),
    long: "file",
    short: "f",
    description: "Declaration (default: fleet.jsonc of the local fleet)",
  }),
};

/** Flags of a command as parsed. */
export type ParsedFlags = {
  json: boolean;
  profile?: string | undefined;
  platform?: string | undefined;
  keyFile?: string | undefined;
  file?: string | undefined;
};

/** Adds the key of the environment to the flags. */
export function getConnectionFlags(flags: ParsedFlags): ConnectionFlags {
  return {
    ...flags,
    environmentKey: process.env["JASMINETIDE_OPERATOR_KEY"],
  };
}
