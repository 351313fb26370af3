import process from "node:process";
import { command, flag, number, option, run, string } from "cmd-ts";
import {
  type Fault,
  measureMembership,
  type MembershipCase,
  type MembershipResult,
  type SchemeName,
  schemeNames,
} from "./measure.ts";

const sizes = [
  { routers: 2, sidecars: 6 },
  { routers: 4, sidecars: 17 },
  { routers: 8, sidecars: 24 },
  { routers: 48, sidecars: 80 },
  { routers: 390, sidecars: 660 },
];

const faults: Fault[] = ["none", "loss", "cut"];

const program = command({
  name: "measure:membership",
  description: "Compares gossip schemes for digests on one virtual clock.",
  args: {
    seed: option({ type: number, long: "seed", defaultValue: () => 1 }),
    scheme: option({ type: string, long: "scheme", defaultValue: () => "" }),
    members: option({ type: number, long: "members", defaultValue: () => 0 }),
    json: flag({ long: "json", description: "Print JSON" }),
  },
  handler: ({ json, members, scheme, seed }) => {
    const results = listCases(seed)
      .filter((entry) => scheme === "" || entry.scheme === scheme)
      .filter((entry) =>
        members === 0 || entry.routers + entry.sidecars === members
      )
      .map((entry) => {
        const result = measureMembership(entry);
        if (!json) console.log(formatResult(result));
        return result;
      });
    if (json) {
      console.log(
        JSON.stringify(
          { command: "measure:membership", seed, results },
          null,
          2,
        ),
      );
    }
  },
});

function listCases(seed: number): MembershipCase[] {
  return schemeNames.flatMap((scheme: SchemeName) =>
    sizes.flatMap((size) =>
      faults.map((fault) => ({ ...size, scheme, fault, seed }))
    )
  );
}

function formatResult(result: MembershipResult): string {
  const { ageMs, joiningMs, leavingMs, versionMs } = result;
  return [
    result.scheme,
    `members=${result.members}`,
    `fault=${result.fault}`,
    `sent=${result.sentBytesPerSecond.mean}/${result.sentBytesPerSecond.max}`,
    `received=${result.receivedBytesPerSecond.mean}/` +
    `${result.receivedBytesPerSecond.max}`,
    `cross=${result.crossDomainShare.toFixed(2)}`,
    `age=${ageMs.p50}/${ageMs.p99}`,
    `mean-error=${result.meanErrorRatio.p50}/${result.meanErrorRatio.p99}`,
    `leaving=${leavingMs.p99}/${leavingMs.max}`,
    `joining=${joiningMs.p99}/${joiningMs.max}`,
    `version=${versionMs.p99}/${versionMs.max}`,
  ].join(" ");
}

await run(program, process.argv.slice(2));
