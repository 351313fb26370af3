/** Frame of a case: its folders, its record, its exit code and its end. */
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import process from "node:process";
import { fileURLToPath } from "node:url";
import { Gateway } from "./gateway.mjs";
import { Store } from "./store.mjs";

/** Exit codes of a case. */
const exitCodes = { held: 0, broken: 1, failed: 2 };

const repository = join(dirname(fileURLToPath(import.meta.url)), "../..");

/**
 * Plays a case and ends the process with its exit code.
 *
 * @param options.caseUrl `import.meta.url` of the case.
 * @param options.play plays the case; returns the violations that it saw.
 */
export async function runCase({ caseUrl, play }) {
  const folder = mkdtempSync(join(tmpdir(), "review-"));
  const record = createRecord(
    join(dirname(fileURLToPath(caseUrl)), "record.txt"),
  );
  const gateways = [];
  const end = async (code) => {
    for (const gateway of gateways) gateway.kill("SIGKILL");
    await Promise.all(gateways.map(({ ended }) => ended));
    record({ event: "end", code });
    rmSync(folder, { recursive: true, force: true });
    process.exit(code);
  };
  const fail = async (error) => {
    record({ event: "could-not-run", reason: String(error?.stack ?? error) });
    await end(exitCodes.failed);
  };
  process.on("uncaughtException", fail);
  process.on("unhandledRejection", fail);
  try {
    const store = await Store.create({ record });
    const startGateway = async (name, zone = "zone-a") => {
      const gateway = await Gateway.create({
        folder,
        name,
        repository,
        storeAddress: store.address,
        zone,
        onStarted: (started) => gateways.push(started),
      });
      return gateway;
    };
    const hasTrouble = process.env.TROUBLE !== "0";
    record({ event: "start", hasTrouble });
    const violations = await play({ hasTrouble, record, startGateway, store });
    for (const violation of violations) {
      record({ event: "violation", violation });
    }
    await end(violations.length > 0 ? exitCodes.broken : exitCodes.held);
  } catch (error) {
    await fail(error);
  }
}

/** Creates a record that writes one JSON line an event. */
function createRecord(file) {
  const startedAtMs = Date.now();
  writeFileSync(file, "");
  return (fields) => {
    const atMs = Date.now() - startedAtMs;
    writeFileSync(file, `${JSON.stringify({ atMs, ...fields })}\n`, {
      flag: "a",
    });
  };
}

/** Creates a desired state with one tenant and the given routes. */
export function createConfig(routes, version = 1) {
  return {
    Version: version,
    Routes: routes.map((route) => ({
      Host: "desk.example",
      Priority: 0,
      MaxAttempts: 1,
      Public: false,
      ...route,
    })),
    Services: [...new Set(routes.map(({ Service }) => Service))]
      .map((Name) => ({ Name, HealthPath: "/healthz", MaxConns: 100 })),
    Tenants: [{ Name: "tenant-1", ApiKeys: [apiKey] }],
    Limits: {
      MaxHeaderBytes: 16_384,
      MaxBodyBytes: 4_194_304,
      HeaderTimeoutMs: 5000,
      IdleTimeoutMs: 10_000,
    },
  };
}

/** Key of the only tenant. */
export const apiKey = "n2ctnfzs989anu6wsjnb";
