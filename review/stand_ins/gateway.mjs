/** Starts a gateway with the command of the deploy file. */
import { spawn } from "node:child_process";
import { once } from "node:events";
import { openSync, readFileSync, writeFileSync } from "node:fs";
import { request } from "node:http";
import { join } from "node:path";
import process from "node:process";
import { setTimeout } from "node:timers/promises";
import { parseAddress, reserveAddress } from "./net_tools.mjs";
import { renderTemplate } from "./template.mjs";

/** Time within which a gateway has to be ready. */
const startLimitMs = 15_000;

/** The bounds of the small site whose rules the cases use. */
const bounds = {
  ContactMs: 3000,
  DrainMs: 2000,
  ConfigApplyMs: 2000,
  GraceS: 8,
  RetryRatio: 0.2,
  RetrySlack: 54,
  RetryWindowS: 10,
};

/** A gateway as a process of its own. */
export class Gateway {
  /** Starts a gateway that uses a store and waits until it is ready. */
  static async create(options) {
    const { folder, name, onStarted, repository, storeAddress, zone } = options;
    const gateway = new Gateway();
    gateway.#onStarted = onStarted ?? (() => {});
    gateway.name = name;
    gateway.frontend = await reserveAddress();
    gateway.readiness = await reserveAddress();
    gateway.control = await reserveAddress();
    const template = readFileSync(
      join(repository, "platform/settings.template.jsonc"),
      "utf8",
    );
    const settings = renderTemplate(template, {
      NodeName: name,
      Zone: zone,
      Listen: {
        Frontend: gateway.frontend,
        Readiness: gateway.readiness,
        ControlPlane: gateway.control,
      },
      Seeds: [gateway.control],
      Bounds: bounds,
      Limits: { CpuShare: 0.513, Cores: 1, LinkMbps: 1000 },
      Platform: { Address: storeAddress, WritesPerS: 400 },
    });
    gateway.settingsFile = join(folder, `${name}.jsonc`);
    writeFileSync(gateway.settingsFile, settings);
    gateway.#repository = repository;
    gateway.#logFile = join(folder, `${name}.log`);
    await gateway.start();
    return gateway;
  }

  #onStarted;
  #repository;
  #logFile;

  /** Starts the process, also again after it has ended. */
  async start() {
    const [program, ...args] = readRunCommand(this.#repository);
    const log = openSync(this.#logFile, "a");
    this.process = spawn(program, args, {
      cwd: this.#repository,
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        JASMINETIDE_NODE_FILE: this.settingsFile,
      },
      stdio: ["ignore", log, log],
    });
    this.ended = once(this.process, "exit");
    this.#onStarted(this);
    const endMs = Date.now() + startLimitMs;
    while (!await this.isReady()) {
      if (Date.now() > endMs) throw new Error(`${this.name} is not ready`);
      await setTimeout(50);
    }
  }

  /** Whether the gateway reports itself ready. */
  isReady() {
    return new Promise((resolve) => {
      const { host, port } = parseAddress(this.readiness);
      const sent = request(
        { host, port, path: "/v1/readyz", agent: false, timeout: 1000 },
        (response) => {
          response.resume();
          resolve(response.statusCode === 200);
        },
      );
      sent.on("timeout", () => sent.destroy());
      sent.on("error", () => resolve(false));
      sent.end();
    });
  }

  kill(signal) {
    if (this.process.exitCode === null) this.process.kill(signal);
  }
}

/** Reads the command of the only role in the deploy file. */
function readRunCommand(repository) {
  const text = readFileSync(join(repository, "deploy/system.toml"), "utf8");
  const command = /^run = "(.*)"$/m.exec(text)?.[1];
  if (command === undefined) throw new Error("The deploy file has no run");
  return command.split(" ");
}
