/** Commands on gateways: status, explain. */
import {
  command,
  option,
  optional,
  positional,
  restPositionals,
  string,
  subcommands,
} from "cmd-ts";
import { AppError, normalizeError } from "@jasminetide/core/results";
import { fetchExplanation } from "@jasminetide/gateway/peers";
import type { ExplanationQuery } from "@jasminetide/gateway/requests";
import { resolveConnection } from "../connection/mod.ts";
import {
  loadGatewaysStatus,
  reportGatewaysStatus,
  reportRequest,
} from "../gateways/mod.ts";
import type { Output } from "../output/mod.ts";
import { connectionFlags, getConnectionFlags, jsonFlag } from "./flags.ts";
import { runCommand } from "./run_command.ts";

/** Creates the group `gateways`. */
export function createGatewaysCommand(output: Output) {
  return subcommands({
    name: "gateways",
    description: "Inspect gateways at their listeners for peers and operators",
    cmds: {
      status: createStatusCommand(output),
      explain: createExplainCommand(output),
    },
  });
}

function createStatusCommand(output: Output) {
  return command({
    name: "status",
    description: "Show version, store and runners as each gateway sees them; " +
      "one that is behind, not ready or silent gives exit code 1",
    examples: [{
      description: "Compare two gateways",
      command: "jasminetide gateways status 10.1.0.9:8723 10.2.0.9:8723",
    }],
    args: {
      ...jsonFlag,
      ...connectionFlags,
      addresses: restPositionals({ type: string, displayName: "ip:port" }),
    },
    handler: (flags) =>
      runCommand(flags, output, async () => {
        if (flags.addresses.length === 0) {
          throw AppError.create("invalidRequest", "No gateway is named");
        }
        const connection = await resolveConnection(getConnectionFlags(flags));
        return reportGatewaysStatus(
          await loadGatewaysStatus(flags.addresses, connection),
        );
      }),
  });
}

function createExplainCommand(output: Output) {
  return command({
    name: "explain",
    description: "Show what a gateway would do with a request now; one that " +
      "it would refuse gives exit code 1",
    examples: [{
      description: "See whether a key may use a route",
      command: "jasminetide gateways explain 10.1.0.9:8723 " +
        "--host desk.example --path /refunds/ --api-key k-81",
    }],
    args: {
      ...jsonFlag,
      host: option({ type: string, long: "host", description: "Host name" }),
      path: option({ type: string, long: "path", description: "Path" }),
      apiKey: option({
        type: optional(string),
        long: "api-key",
        description: "API key that the caller sends",
      }),
      address: positional({ type: string, displayName: "ip:port" }),
    },
    handler: (flags) =>
      runCommand(flags, output, async () => {
        const { address, apiKey, host, path } = flags;
        const question = {
          host,
          path,
          ...(apiKey === undefined ? {} : { apiKey }),
        };
        return reportRequest(await explainAt(address, question));
      }),
  });
}

async function explainAt(
  address: string,
  question: ExplanationQuery,
) {
  try {
    return await fetchExplanation(address, question);
  } catch (thrown) {
    throw AppError.create(
      "runnerFailed",
      `Gateway ${address} did not answer: ${normalizeError(thrown).message}`,
      { cause: thrown },
    );
  }
}
