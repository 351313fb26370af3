/** Starts gateways with the commands of the deploy file. */
import { spawn } from "node:child_process";
import {
  createWriteStream,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import { createServer } from "node:net";
import { request } from "node:http";
import { tmpdir } from "node:os";
import { join, resolve } from "node:path";
import { fileURLToPath } from "node:url";
import { renderSettings } from "./settings.mjs";
import { wait } from "./runner.mjs";

const root = resolve(fileURLToPath(new URL("../..", import.meta.url)));

/** A gateway process. */
export class Gateway {
  constructor(fields) {
    Object.assign(this, fields);
  }

  /** Starts a gateway and waits until it is ready. */
  static async start({ name, storePort, limits }) {
    const folder = mkdtempSync(join(tmpdir(), "review-"));
    const [callers, readiness, control, internal] = await findPorts(4);
    const ports = { callers, readiness, control, internal };
    const file = join(folder, "settings.jsonc");
    const template = join(root, "platform/settings.template.jsonc");
    writeFileSync(
      file,
      renderSettings(template, { name, ports, storePort, limits }),
    );
    const gateway = new Gateway({ name, file, folder, ports });
    gateway.spawn();
    try {
      await gateway.waitUntilReady();
    } catch (error) {
      await gateway.stop();
      throw error;
    }
    return gateway;
  }

  /** Starts the process with the deploy file's command. */
  spawn() {
    const deploy = readFileSync(join(root, "deploy/system.toml"), "utf8");
    const [, run] = /^run = "(.*)"$/m.exec(deploy);
    const [program, ...args] = run.split(" ");
    const { HOME, LANG, PATH } = process.env;
    this.process = spawn(program, args, {
      cwd: root,
      env: { HOME, LANG, PATH, JASMINETIDE_NODE_FILE: this.file },
      stdio: ["ignore", "pipe", "pipe"],
    });
    this.exited = new Promise((resolve) =>
      this.process.once("exit", (code, signal) => resolve({ code, signal }))
    );
    const log = createWriteStream(join(this.folder, "log"), { flags: "a" });
    log.on("error", () => {});
    this.process.stdout.pipe(log, { end: false });
    this.process.stderr.pipe(log, { end: false });
  }

  async waitUntilReady(limitMs = 15_000) {
    const endMs = performance.now() + limitMs;
    while (performance.now() < endMs) {
      if (await getStatus(this.ports.readiness) === 200) return;
      await wait(50);
    }
    throw new Error(`${this.name} is not ready`);
  }

  async stop() {
    this.process.kill("SIGKILL");
    await this.exited;
    rmSync(this.folder, { recursive: true, force: true });
  }
}

function getStatus(port) {
  return new Promise((resolve) => {
    const sent = request(
      { host: "127.0.0.1", port, path: "/v1/readyz", agent: false },
      (response) => {
        response.resume();
        resolve(response.statusCode);
      },
    );
    sent.on("error", () => resolve(0));
    sent.end();
  });
}

/** Finds free ports of the loopback interface. */
async function findPorts(count) {
  const servers = [];
  for (let index = 0; index < count; index += 1) {
    const server = createServer();
    await new Promise((resolve) => server.listen(0, "127.0.0.1", resolve));
    servers.push(server);
  }
  const ports = servers.map((server) => server.address().port);
  for (const server of servers) {
    await new Promise((resolve) => server.close(resolve));
  }
  return ports;
}
