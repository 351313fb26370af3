/** Flags shared by several commands. */
import { flag, option, optional, string } from "cmd-ts";
import process from "node:process";
import type { ConnectionFlags } from "../connection/mod.ts";

/** Flag that selects JSON output. */
export const jsonFlag = {
  json: flag({
    long: "json",
    description: "Print the result as JSON",
  }),
};

/** Flags that select a fleet and authenticate the operator. */
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
      "File with the operators' key (or set JASMINETIDE_OPERATOR_KEY)",
  }),
};

/** Flag that selects the declaration file. */
export const fileFlag = {
  file: option({
    type: optional(string),
    long: "file",
    short: "f",
    description: "Declaration (default: fleet.jsonc of the local fleet)",
  }),
};

/** Parsed values of the shared flags. */
export type ParsedFlags = {
  json: boolean;
  profile?: string | undefined;
  platform?: string | undefined;
  keyFile?: string | undefined;
  file?: string | undefined;
};

/** Adds the operators' key from the environment to the flags. */
export function getConnectionFlags(flags: ParsedFlags): ConnectionFlags {
  return {
    ...flags,
    environmentKey: process.env["JASMINETIDE_OPERATOR_KEY"],
  };
}
