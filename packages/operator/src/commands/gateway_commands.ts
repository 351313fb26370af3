/** Commands for gateways: status, explain. */
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
  reportRequestExplanation,
} from "../gateways/mod.ts";
import type { Output } from "../output/mod.ts";
import { connectionFlags, getConnectionFlags, jsonFlag } from "./flags.ts";
import { runCommand } from "./run_command.ts";

/** Creates `gateways`. */
export function createGatewaysCommand(output: Output) {
  return subcommands({
    name: "gateways",
    description:
      "Inspect gateways through their listeners for peers and operators",
    cmds: {
      status: createStatusCommand(output),
      explain: createExplainCommand(output),
    },
  });
}

function createStatusCommand(output: Output) {
  return command({
    name: "status",
    description: "Show version, store and runners of each gateway; exit code " +
      "1 if one is behind, not ready or does not answer",
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
          throw AppError.create(
            "invalidRequest",
            "No gateway address is given",
          );
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
    description: "Show how a gateway would handle a request now; exit code 1 " +
      "if it would refuse the request",
    examples: [{
      description: "Check whether an API key may use a route",
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
        description: "API key of the caller",
      }),
      address: positional({ type: string, displayName: "ip:port" }),
    },
    handler: (flags) =>
      runCommand(flags, output, async () => {
        const { address, apiKey, host, path } = flags;
        const query = {
          host,
          path,
          ...(apiKey === undefined ? {} : { apiKey }),
        };
        return reportRequestExplanation(
          await requestExplanation(address, query),
        );
      }),
  });
}

async function requestExplanation(
  address: string,
  query: ExplanationQuery,
) {
  try {
    return await fetchExplanation(address, query);
  } catch (thrown) {
    throw AppError.create(
      "runnerFailed",
      `Gateway ${address} did not answer: ${normalizeError(thrown).message}`,
      { cause: thrown },
    );
  }
}
