/** Simulated sidecar and runner of an episode. */
import { AdmissionController } from "@jasminetide/core/admission";
import { AttemptTable, type Settlement } from "@jasminetide/core/attempts";
import { settingsSchema } from "@jasminetide/core/configuration";
import {
  AppError,
  assertInvariant,
  normalizeError,
} from "@jasminetide/core/results";
import type { RunnerRow } from "@jasminetide/core/tables";
import type { SoakConfiguration } from "./soak_configuration.ts";
import type { World } from "./world.ts";

/** An attempt that a router sends to a runner. */
export type RunRequest = {
  attempt: string;
  epoch: number;
  /** Id of the caller's request; the answer is derived from it. */
  call: string;
  workspace: string;
  isIdempotent: boolean;
  costTokens: number;
  deadlineAtMs: number;
  configurationVersion: number;
  /** Control address of the router. */
  sender: string;
};

/** Answer of a sidecar to an attempt. */
export type RunReply = {
  type: "answer" | "refusal";
  attempt: string;
  epoch: number;
  /** Increases with each reply of an epoch. */
  sequence: number;
  isLeaving: boolean;
  configurationVersion: number;
  answer?: string;
  error?: AppError;
};

/** Answer of a sidecar to a query for the outcome of an attempt. */
export type SettleReply = {
  type: "settlement";
  attempt: string;
  settlement: Settlement;
};

/** Number of tokens in each answer. */
export const answerTokens = 3;

/** Creates the answer to a call, which differs from that to any other. */
export function createAnswer(call: string): string {
  return Array.from({ length: answerTokens }, (_, index) => `${call}-${index}`)
    .join(" ");
}

const defaultSettings = settingsSchema.parse({});
const retentionMs = 60_000;
const minServiceMs = 20;
const spreadServiceMs = 400;
const restartMs = 800;

/** A sidecar with its real tables, and a fake runner. */
export class SoakSidecar {
  readonly row: RunnerRow;
  readonly configuration: SoakConfiguration;
  readonly #world: World;
  #attempts: AttemptTable;
  #admission: AdmissionController;
  #answers = new Map<string, Promise<string | undefined>>();
  #isUp = true;
  #isLeaving = false;
  #pausedUntilMs = 0;
  #running = 0;
  #replies = 0;

  private constructor(
    world: World,
    options: { row: RunnerRow; configuration: SoakConfiguration },
  ) {
    this.#world = world;
    this.row = options.row;
    this.configuration = options.configuration;
    this.#attempts = AttemptTable.create({ epoch: 1, retentionMs });
    this.#admission = this.#createAdmission();
  }

  /** Creates a sidecar that accepts work. */
  static create(
    world: World,
    options: { row: RunnerRow; configuration: SoakConfiguration },
  ): SoakSidecar {
    return new SoakSidecar(world, options);
  }

  get isUp(): boolean {
    return this.#isUp;
  }

  get isLeaving(): boolean {
    return this.#isLeaving;
  }

  get epoch(): number {
    return this.#attempts.epoch;
  }

  /** Delays the handling of all requests until `untilMs`. */
  pause(untilMs: number): void {
    this.#pausedUntilMs = Math.max(this.#pausedUntilMs, untilMs);
  }

  /** Crashes and restarts with a higher epoch and without its state. */
  async restart(): Promise<void> {
    if (!this.#isUp || this.#isLeaving) return;
    this.#isUp = false;
    await this.#world.wait(restartMs);
    this.#start();
  }

  /** Refuses new work, completes what is in flight, stops and starts again. */
  async stop(downMs: number): Promise<void> {
    if (!this.#isUp || this.#isLeaving) return;
    this.#isLeaving = true;
    while (this.#running > 0) await this.#world.wait(minServiceMs);
    const { epoch } = this;
    // The last answers are still in transit.
    await this.#world.wait(restartMs);
    if (this.epoch !== epoch) return;
    this.#world.check(
      "planned-stop-cuts-nothing",
      this.#running === 0,
      () => `${this.row.id} stopped with ${this.#running} requests`,
    );
    this.#isUp = false;
    await this.#world.wait(downMs);
    this.#start();
  }

  /** Runs or refuses an attempt. */
  async run(request: RunRequest): Promise<RunReply> {
    await this.#waitForPause();
    const { attempt } = request;
    const { epoch } = this;
    this.configuration.observe(request.configurationVersion, request.sender);
    try {
      this.#assertNotLeaving();
      this.#attempts.begin(attempt, {
        epoch: request.epoch,
        nowMs: this.#world.nowMs(),
      });
    } catch (thrown) {
      return this.#createRefusal(attempt, normalizeError(thrown));
    }
    const table = this.#attempts;
    try {
      const task = this.#admit(request);
      this.#answers.set(attempt, task.catch(() => undefined));
      const answer = await task;
      table.complete(attempt, this.#world.nowMs());
      return { ...this.#createReply("answer", attempt), epoch, answer };
    } catch (thrown) {
      table.refuse(attempt, this.#world.nowMs());
      return this.#createRefusal(attempt, normalizeError(thrown));
    }
  }

  /** Settles an attempt and returns its outcome. */
  async settle(attempt: string, epoch: number): Promise<SettleReply> {
    await this.#waitForPause();
    const settlement = this.#attempts.settle(attempt, {
      epoch,
      nowMs: this.#world.nowMs(),
    });
    this.#world.count(`settled as ${settlement.type}`);
    return { type: "settlement", attempt, settlement };
  }

  /** Gets the stored answer of an attempt once it is complete. */
  async getAnswer(attempt: string): Promise<RunReply> {
    await this.#waitForPause();
    const { epoch } = this;
    const answer = await this.#answers.get(attempt);
    const reply = this.#createReply("answer", attempt);
    return answer === undefined ? reply : { ...reply, epoch, answer };
  }

  /** Removes attempts that are older than `retentionMs`. */
  expire(): void {
    this.#attempts.expire(this.#world.nowMs());
  }

  #start(): void {
    const epoch = this.epoch + 1;
    this.#attempts = AttemptTable.create({ epoch, retentionMs });
    this.#admission = this.#createAdmission();
    this.#answers = new Map();
    this.#isLeaving = false;
    this.#isUp = true;
    this.configuration.restart();
  }

  #assertNotLeaving(): void {
    if (!this.#isLeaving) return;
    throw AppError.create(
      "runnerLeaving",
      `${this.row.id} accepts no new work`,
    );
  }

  #admit(request: RunRequest): Promise<string> {
    return this.#admission.run(
      {
        workspace: request.workspace,
        priority: 1,
        weight: 1,
        costTokens: request.costTokens,
        deadlineAtMs: request.deadlineAtMs,
      },
      () => this.#serve(request),
    );
  }

  /** Runs a request; its effect remains if the sidecar restarts meanwhile. */
  async #serve(request: RunRequest): Promise<string> {
    assertInvariant(
      request.deadlineAtMs > this.#world.nowMs(),
      "no-work-after-deadline",
      () => request.call,
    );
    this.#running += 1;
    try {
      const { random } = this.#world;
      await this.#world.wait(
        minServiceMs + random.getFloat() * spreadServiceMs,
      );
      const { id: runner } = this.row;
      this.#world.events.push({ type: "effect", runner, key: request.call });
      return createAnswer(request.call);
    } finally {
      this.#running -= 1;
    }
  }

  async #waitForPause(): Promise<void> {
    const remainingMs = this.#pausedUntilMs - this.#world.nowMs();
    if (remainingMs > 0) await this.#world.wait(remainingMs);
  }

  #createReply(type: RunReply["type"], attempt: string): RunReply {
    const configurationVersion = this.configuration.version;
    this.#replies += 1;
    return {
      type,
      attempt,
      epoch: this.epoch,
      sequence: this.#replies,
      isLeaving: this.#isLeaving,
      configurationVersion,
    };
  }

  #createRefusal(attempt: string, error: AppError): RunReply {
    return { ...this.#createReply("refusal", attempt), error };
  }

  #createAdmission(): AdmissionController {
    return AdmissionController.create({
      timers: this.#world.timers,
      capacity: this.row.capacity,
      getSettings: () => defaultSettings,
      getMeanLoad: () => ({
        tokens: 0,
        ageMs: 0,
        errorTokens: 0,
        runners: 1,
        staleRunners: 0,
      }),
    });
  }
}
