import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { createWriteStream } from "node:fs";
import process from "node:process";
import { createInterface } from "node:readline";

/** What a process is started with. */
export type ProcessOptions = {
  name: string;
  script: string;
  args?: string[];
  environment?: Record<string, string>;
  /** File that takes all its output. */
  logFile: string;
  /** Called with each line of its standard output. */
  onLine?: (line: string) => void;
};

/** Signals that the soak sends; SIGUSR2 lets a runner fail for a while. */
export type SoakSignal =
  | "SIGTERM"
  | "SIGKILL"
  | "SIGSTOP"
  | "SIGCONT"
  | "SIGHUP"
  | "SIGUSR2";

/** Processes that run now. */
const running = new Set<ChildProcess>();

/** None outlives the process that started it, however that ends. */
process.on("exit", () => {
  for (const child of running) child.kill("SIGKILL");
});

/** A process that the soak started, and ends by its own id. */
export class ManagedProcess {
  readonly name: string;
  readonly startedAtMs = Date.now();
  readonly #child: ChildProcess;
  readonly #ended: Promise<unknown>;

  private constructor(name: string, child: ChildProcess) {
    this.name = name;
    this.#child = child;
    this.#ended = once(child, "exit");
  }

  /** Starts a script in a process of its own. */
  static create(options: ProcessOptions): ManagedProcess {
    const { args = [], environment = {}, logFile, name, script } = options;
    const child = spawn(process.execPath, [script, ...args], {
      env: { ...process.env, ...environment },
      stdio: ["ignore", "pipe", "pipe"],
    });
    const log = createWriteStream(logFile, { flags: "a" });
    child.stderr?.pipe(log, { end: false });
    const lines = createInterface({ input: child.stdout! });
    lines.on("line", (line) => {
      log.write(`${line}\n`);
      options.onLine?.(line);
    });
    running.add(child);
    child.on("exit", (code, signal) => {
      running.delete(child);
      log.end(`exit ${code} ${signal}\n`);
    });
    return new ManagedProcess(name, child);
  }

  /** Whether it has not ended. */
  get isRunning(): boolean {
    return this.#child.exitCode === null && this.#child.signalCode === null;
  }

  /** Exit code; null while it runs or after a signal ended it. */
  get exitCode(): number | null {
    return this.#child.exitCode;
  }

  /** Sends a signal; nothing happens once it has ended. */
  sendSignal(signal: SoakSignal): void {
    if (this.isRunning) this.#child.kill(signal);
  }

  /** Waits until it has ended. */
  async waitForEnd(): Promise<void> {
    if (this.isRunning) await this.#ended;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.sendSignal("SIGCONT");
    this.sendSignal("SIGKILL");
    await this.waitForEnd();
  }
}
