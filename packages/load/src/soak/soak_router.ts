/** Simulated router of an episode. */
import { canRetry, mergeAttemptErrors } from "@jasminetide/core/attempts";
import { AppError, normalizeError } from "@jasminetide/core/results";
import { getChatKey, rankRunners } from "@jasminetide/core/routing";
import type { Links, Reply } from "./links.ts";
import { type ListedRunner, SoakMembers } from "./soak_members.ts";
import type { SoakConfiguration } from "./soak_configuration.ts";
import type { RunReply, SettleReply, SoakSidecar } from "./soak_sidecar.ts";
import type { World } from "./world.ts";

/** A caller's request. */
export type CallerRequest = {
  call: string;
  workspace: string;
  costTokens: number;
  isIdempotent: boolean;
  deadlineAtMs: number;
};

/** Dependencies of a router, and the sidecars that it can reach. */
export type SoakRouterOptions = {
  world: World;
  links: Links;
  configuration: SoakConfiguration;
  sidecars: readonly SoakSidecar[];
  mayRetry?: RetryRule | undefined;
};

/** Whether a request may be sent again after a failed attempt. */
export type RetryRule = (request: CallerRequest, error: AppError) => boolean;

/** Time to wait for the reply to an attempt. */
const firstByteMs = 2500;
/** Time to wait for the settlement of an attempt. */
const settleMs = 1000;
const maximumAttempts = 3;

/** A router with the real ranking, attempts, retries and settlement. */
export class SoakRouter {
  readonly name: string;
  readonly configuration: SoakConfiguration;
  readonly #options: SoakRouterOptions;
  readonly #members: SoakMembers;
  #attempts = 0;

  private constructor(name: string, options: SoakRouterOptions) {
    this.name = name;
    this.#options = options;
    this.configuration = options.configuration;
    this.#members = SoakMembers.create(options.world, name);
  }

  /** Creates a router without runners. */
  static create(name: string, options: SoakRouterOptions): SoakRouter {
    return new SoakRouter(name, options);
  }

  /** Applies the host list as this router sees it. */
  applyList(listed: readonly ListedRunner[]): void {
    this.#members.applyList(listed);
  }

  /**
   * Answers a caller's request.
   *
   * @throws AppError that states whether the request was executed, if known.
   */
  async answer(request: CallerRequest): Promise<string> {
    const tried = new Set<string>();
    const errors: AppError[] = [];
    for (let count = 0; count < maximumAttempts; count += 1) {
      const sidecar = this.#chooseRunner(request, tried);
      if (sidecar === undefined) break;
      try {
        return await this.#tryRunner(request, sidecar);
      } catch (thrown) {
        const error = normalizeError(thrown);
        errors.push(error);
        this.#options.world.count(`attempt failed: ${error.result}`);
        const { mayRetry = canRetry } = this.#options;
        if (!mayRetry(request, error)) break;
        if (error.result === "runnerFailed") {
          this.#members.recordFailure(sidecar.row.id);
        }
        if (error.result !== "epochMismatch") tried.add(sidecar.row.id);
      }
    }
    if (errors.length > 0) throw mergeAttemptErrors(errors);
    throw AppError.create("noRunner", "No live runner");
  }

  #chooseRunner(
    request: CallerRequest,
    tried: ReadonlySet<string>,
  ): SoakSidecar | undefined {
    const { sidecars } = this.#options;
    const rows = this.#members.listCandidates(tried);
    const key = getChatKey({
      workspace: request.workspace,
      model: "assistant",
      messages: [{ role: "user", content: request.call }],
    });
    const [best] = rankRunners(key, rows);
    return sidecars.find(({ row }) => row.id === best?.id);
  }

  async #tryRunner(
    request: CallerRequest,
    sidecar: SoakSidecar,
  ): Promise<string> {
    const { world } = this.#options;
    this.#attempts += 1;
    const attempt = `${this.name}-${this.#attempts}`;
    const epoch = this.#members.getEpoch(sidecar.row.id);
    if (sidecar.isLeaving) world.count("leaving runners chosen");
    let reply: Reply;
    try {
      reply = await this.#waitAtMost(
        Math.min(firstByteMs, request.deadlineAtMs - world.nowMs()),
        this.#call(sidecar, () =>
          sidecar.run({
            ...request,
            attempt,
            epoch,
            configurationVersion: this.configuration.version,
            sender: this.configuration.address,
          })),
      );
    } catch {
      reply = await this.#settle(sidecar, { attempt, epoch, request });
    }
    return this.#applyReply(sidecar, { attempt, reply: reply as RunReply });
  }

  /** Queries the outcome of an attempt over a new connection. */
  async #settle(
    sidecar: SoakSidecar,
    options: { attempt: string; epoch: number; request: CallerRequest },
  ): Promise<Reply> {
    const { links, world } = this.#options;
    const { attempt, epoch, request } = options;
    links.replace(this.#getLink(sidecar));
    let reply: SettleReply;
    try {
      reply = await this.#waitAtMost(
        settleMs,
        this.#call(sidecar, () => sidecar.settle(attempt, epoch)),
      ) as SettleReply;
    } catch (error) {
      throw AppError.create("runnerFailed", "No settlement", { cause: error });
    }
    this.#checkAttempt(attempt, reply);
    const { settlement } = reply;
    switch (settlement?.type) {
      case "tombstoned":
        throw AppError.create("runnerRefused", "Not run");
      case "running":
      case "done":
        return await this.#waitAtMost(
          request.deadlineAtMs - world.nowMs(),
          this.#call(sidecar, () => sidecar.getAnswer(attempt)),
        );
      default:
        throw AppError.create("runnerFailed", "Runner has restarted");
    }
  }

  #applyReply(
    sidecar: SoakSidecar,
    options: { attempt: string; reply: RunReply },
  ): string {
    const { attempt, reply } = options;
    this.#checkAttempt(attempt, reply);
    this.#members.recordReply(sidecar.row.id, reply);
    this.configuration.observe(
      reply.configurationVersion,
      sidecar.configuration.address,
    );
    if (reply.error !== undefined) throw reply.error;
    if (reply.answer !== undefined) return reply.answer;
    throw AppError.create("streamInterrupted", "Answer has no end");
  }

  /** Refuses a reply that belongs to another attempt. */
  #checkAttempt(attempt: string, reply: Reply): void {
    if (reply.attempt === attempt) return;
    throw AppError.create("answerMismatch", "Answer of another attempt");
  }

  #call(
    sidecar: SoakSidecar,
    handle: () => Promise<Reply>,
  ): Promise<Reply> {
    return this.#options.links.call({
      link: this.#getLink(sidecar),
      getEpoch: () => sidecar.isUp ? sidecar.epoch : undefined,
      handle,
    });
  }

  #getLink(sidecar: SoakSidecar): string {
    return `${this.name} ${sidecar.row.id}`;
  }

  #waitAtMost<Value>(
    durationMs: number,
    promise: Promise<Value>,
  ): Promise<Value> {
    return new Promise((resolve, reject) => {
      const timer = this.#options.world.timers.schedule(
        Math.max(0, durationMs),
        () => reject(AppError.create("deadlineExceeded", "No answer in time")),
      );
      promise.then(resolve, reject).finally(() => timer[Symbol.dispose]());
    });
  }
}
