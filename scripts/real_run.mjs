/**
 * Runs the fleet of `examples/vozikovy` as separate processes, sends load
 * through it while processes are killed, frozen and restarted and the platform
 * fails, and checks the history. Ends only what it started, by process id.
 *
 * Usage: node scripts/real_run.mjs [--seconds N] [--seed N] [--no-faults]
 */
import { spawn } from "node:child_process";
import { createWriteStream } from "node:fs";
import { mkdir, readdir, readFile, writeFile } from "node:fs/promises";
import { join } from "node:path";
import process from "node:process";
import { setTimeout as wait } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { parseArgs } from "node:util";
import { parse } from "jsonc-parser";

const root = fileURLToPath(new URL("..", import.meta.url));
const fleetFolder = join(root, "examples", "vozikovy");
const outFolder = join(root, "reports", "real-run");
const readyTimeoutMs = 30_000;
const clockTicksPerSecond = 100;
const pageBytes = 4096;

/** As in the first lines of the programs' files. */
const heapFlag = "--max-semi-space-size=2";

const { values: options } = parseArgs({
  options: {
    seconds: { type: "string", default: "60" },
    seed: { type: "string", default: "1" },
    "no-faults": { type: "boolean", default: false },
  },
});

const running = new Map();

function start(name, bin, args) {
  const log = createWriteStream(join(outFolder, `${name}.log`), { flags: "a" });
  const child = spawn(process.execPath, [heapFlag, join(root, bin), ...args], {
    stdio: ["ignore", "pipe", "pipe"],
  });
  child.stdout.pipe(log);
  child.stderr.pipe(log);
  const ended = new Promise((resolve) => child.once("exit", resolve));
  running.set(name, { child, bin, args, ended });
  return child;
}

async function restart(name, signal) {
  const { args, bin, child, ended } = running.get(name);
  child.kill(signal);
  await ended;
  start(name, bin, args);
}

async function freeze(name, durationMs) {
  const { child } = running.get(name);
  child.kill("SIGSTOP");
  await wait(durationMs);
  child.kill("SIGCONT");
}

async function loadFolder(folder) {
  const files = (await readdir(join(fleetFolder, folder))).sort();
  return Promise.all(files.map(async (file) => {
    const path = join(fleetFolder, folder, file);
    return { path, settings: parse(await readFile(path, "utf8")) };
  }));
}

async function writeSettings(name, settings) {
  const path = join(outFolder, `${name}.json`);
  await writeFile(path, JSON.stringify(settings));
  return path;
}

async function put(address, path, body) {
  const response = await fetch(`http://${address}${path}`, {
    method: "PUT",
    body: JSON.stringify(body),
  });
  if (!response.ok) throw new Error(`${path}: ${await response.text()}`);
}

async function waitUntilAnswered(url) {
  const endMs = Date.now() + readyTimeoutMs;
  while (Date.now() < endMs) {
    const response = await fetch(url).catch(() => undefined);
    if (response?.ok) return;
    await wait(100);
  }
  throw new Error(`${url} does not answer`);
}

function createRecord({ settings }) {
  const { controlAddress, failureDomain, host, name, region } = settings;
  const process = settings.runner === undefined
    ? { type: "router", name, controlAddress }
    : {
      type: "sidecar",
      name,
      runner: settings.runner,
      kind: settings.kind,
      pools: settings.pools,
      capacity: settings.capacity,
      dataAddress: settings.dataAddress,
      controlAddress,
    };
  return {
    id: host,
    failureDomain,
    region,
    state: "live",
    processes: [process],
  };
}

async function startStandIns(sidecars, platformAddress) {
  const platform = await writeSettings("platform", {
    address: platformAddress,
  });
  const bin = "packages/stand_in/bin/stand_in.js";
  start("platform", bin, ["platform", "--settings", platform]);
  for (const { settings } of sidecars) {
    const { kind, pools, runner, runnerAddress: address } = settings;
    const file = await writeSettings(
      runner,
      kind === "engine" ? { address, models: pools } : { address },
    );
    start(runner, bin, [kind, "--settings", file]);
  }
  await waitUntilAnswered(`http://${platformAddress}/hosts`);
}

async function startFleet(routers, sidecars, platformAddress) {
  const declaration = parse(
    await readFile(join(fleetFolder, "fleet.jsonc"), "utf8"),
  );
  await put(platformAddress, "/objects/configuration/fleet", declaration);
  for (const each of [...routers, ...sidecars]) {
    const record = createRecord(each);
    await put(platformAddress, `/hosts/${record.id}`, record);
  }
  for (const { path, settings } of sidecars) {
    start(settings.name, "packages/sidecar/bin/sidecar.js", ["-s", path]);
  }
  for (const { path, settings } of routers) {
    start(settings.name, "packages/router/bin/router.js", ["-s", path]);
  }
  for (const { settings } of routers) {
    await waitUntilAnswered(`http://${settings.callerAddress}/readyz`);
  }
}

async function createScenario(sidecars) {
  const file = join(root, "examples", "load", "vozikovy.jsonc");
  const scenario = parse(await readFile(file, "utf8"));
  const services = sidecars.filter(({ settings }) =>
    settings.kind === "service"
  );
  return writeSettings("scenario", {
    ...scenario,
    durationSeconds: Number(options.seconds),
    effectAddresses: services.map(({ settings }) => settings.runnerAddress),
  });
}

/** Faults in order, each after a share of the run. */
function createFaults(platformAddress) {
  const setFaults = (faults) => put(platformAddress, "/faults", faults);
  const during = async (faults, durationMs) => {
    await setFaults(faults);
    await wait(durationMs);
    await setFaults({ outage: false, slowMs: 0, lostWriteAnswers: 0 });
  };
  return [
    [0.05, "sidecar frozen", () => freeze("sidecar-assistant-1", 3000)],
    [0.1, "sidecar killed", () => restart("sidecar-assistant-2", "SIGKILL")],
    [0.15, "engine killed", () => restart("assistant-3", "SIGKILL")],
    [0.2, "router stopped", () => restart("router-2", "SIGTERM")],
    [0.25, "write answers lost", () => during({ lostWriteAnswers: 0.3 }, 6000)],
    [0.35, "owner frozen", () => freeze("sidecar-deposit-ledger-1", 14_000)],
    [0.4, "router killed", () => restart("router-3", "SIGKILL")],
    [0.55, "platform down", () => during({ outage: true }, 8000)],
    [
      0.6,
      "sidecar killed in the outage",
      () => restart("sidecar-assistant-5", "SIGKILL"),
    ],
    [
      0.75,
      "owner killed",
      () => restart("sidecar-deposit-ledger-2", "SIGKILL"),
    ],
    [0.8, "sidecar stopped", () => restart("sidecar-assistant-6", "SIGTERM")],
    [0.85, "platform slow", () => during({ slowMs: 300 }, 4000)],
  ];
}

async function induceFaults(platformAddress) {
  const beganMs = Date.now();
  const pending = [];
  for (const [share, name, induce] of createFaults(platformAddress)) {
    const atMs = beganMs + share * Number(options.seconds) * 1000;
    await wait(Math.max(0, atMs - Date.now()));
    console.log(
      JSON.stringify({ event: "fault", name, atMs: Date.now() - beganMs }),
    );
    pending.push(induce());
  }
  await Promise.all(pending);
}

async function readUsage(name) {
  const { child } = running.get(name);
  const stat = await readFile(`/proc/${child.pid}/stat`, "utf8");
  const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
  const cpuSeconds = (Number(fields[11]) + Number(fields[12])) /
    clockTicksPerSecond;
  return { residentBytes: Number(fields[21]) * pageBytes, cpuSeconds };
}

async function summarizeUsage(prefix) {
  const names = [...running.keys()].filter((name) => name.startsWith(prefix));
  const usages = await Promise.all(names.map(readUsage));
  return {
    processes: names.length,
    maxResidentMiB: Math.round(
      Math.max(...usages.map((each) => each.residentBytes)) / 1024 / 1024,
    ),
    meanCpuSeconds: Number(
      (usages.reduce((sum, each) => sum + each.cpuSeconds, 0) / names.length)
        .toFixed(2),
    ),
  };
}

function runLoad(scenario) {
  const load = start("load", "packages/load/bin/load.js", [
    scenario,
    "--out",
    outFolder,
    "--seed",
    options.seed,
    "--json",
  ]);
  return new Promise((resolve) => load.once("exit", resolve));
}

async function stopAll() {
  for (const { child } of running.values()) {
    child.kill("SIGCONT");
    child.kill("SIGKILL");
  }
  await Promise.all([...running.values()].map(({ ended }) => ended));
}

async function main() {
  await mkdir(outFolder, { recursive: true });
  const routers = await loadFolder("routers");
  const sidecars = await loadFolder("sidecars");
  const { platformAddress } = routers[0].settings;
  await startStandIns(sidecars, platformAddress);
  await startFleet(routers, sidecars, platformAddress);
  const idle = {
    router: await summarizeUsage("router"),
    sidecar: await summarizeUsage("sidecar"),
  };
  const ended = runLoad(await createScenario(sidecars));
  if (!options["no-faults"]) await induceFaults(platformAddress);
  const exitCode = await ended;
  const busy = {
    router: await summarizeUsage("router"),
    sidecar: await summarizeUsage("sidecar"),
  };
  console.log(JSON.stringify({ event: "usage", idle, busy }));
  console.log(
    JSON.stringify({ event: "checked", exitCode, folder: "reports/real-run" }),
  );
  process.exitCode = exitCode;
}

try {
  await main();
} finally {
  await stopAll();
}
