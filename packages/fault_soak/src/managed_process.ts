/** Child processes of the soak: start, signals and exit. */
import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { createWriteStream } from "node:fs";
import process from "node:process";
import { createInterface } from "node:readline";

/** Options of a process. */
export type ProcessOptions = {
  name: string;
  script: string;
  args?: string[];
  environment?: Record<string, string>;
  /** File that receives standard output and standard error. */
  logFile: string;
  /** Called with each line of its standard output. */
  onLine?: (line: string) => void;
  /** Called when it has exited. */
  onExit?: () => void;
};

/** Signals that the soak sends; a runner falls silent from SIGURG to SIGCONT. */
export type SoakSignal =
  | "SIGCHLD"
  | "SIGTERM"
  | "SIGKILL"
  | "SIGSTOP"
  | "SIGCONT"
  | "SIGHUP"
  | "SIGUSR2"
  | "SIGURG"
  | "SIGWINCH";

/** Processes that have not exited. */
const running = new Set<ChildProcess>();

/** Kills the processes when the soak itself exits, for whatever reason. */
process.on("exit", () => {
  for (const child of running) child.kill("SIGKILL");
});

/** A child process of the soak, which it signals by process id. */
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

  /** Starts a script in a new process. */
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
    child.on("exit", () => {
      running.delete(child);
      options.onExit?.();
    });
    // After the exit, unless its last lines were read by then.
    child.on("close", (code, signal) => log.end(`exit ${code} ${signal}\n`));
    return new ManagedProcess(name, child);
  }

  /** Whether the process has not exited. */
  get isRunning(): boolean {
    return this.#child.exitCode === null && this.#child.signalCode === null;
  }

  /** Exit code; null while the process runs or if a signal ended it. */
  get exitCode(): number | null {
    return this.#child.exitCode;
  }

  /** Sends a signal; does nothing once the process has exited. */
  sendSignal(signal: SoakSignal): void {
    if (this.isRunning) this.#child.kill(signal);
  }

  /** Waits until the process has exited. */
  async waitForExit(): Promise<void> {
    if (this.isRunning) await this.#ended;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.sendSignal("SIGCONT");
    this.sendSignal("SIGKILL");
    await this.waitForExit();
  }
}
