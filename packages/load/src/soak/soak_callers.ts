/** Simulated callers of an episode. */
import { normalizeError } from "@jasminetide/core/results";
import type { Operation, Outcome } from "../history/mod.ts";
import { answerTokens } from "./soak_sidecar.ts";
import type { SoakRouter } from "./soak_router.ts";
import type { World } from "./world.ts";

const workspaces = ["large", "middle", "small"];
const ratePerSecond = 12;
const surgeFactor = 8;
const moneyShare = 0.4;
const deadlineMs = 8000;
const minCostTokens = 20;
const spreadCostTokens = 400;

/** Callers who send chats and money calls at random times. */
export class SoakCallers {
  readonly #world: World;
  readonly #routers: readonly SoakRouter[];
  readonly #endMs: number;
  #calls = 0;

  private constructor(
    world: World,
    options: { routers: readonly SoakRouter[]; endMs: number },
  ) {
    this.#world = world;
    this.#routers = options.routers;
    this.#endMs = options.endMs;
  }

  /** Creates callers who send until `endMs`. */
  static create(
    world: World,
    options: { routers: readonly SoakRouter[]; endMs: number },
  ): SoakCallers {
    return new SoakCallers(world, options);
  }

  /** Sends requests at random intervals without waiting for their answers. */
  async run(): Promise<void> {
    while (this.#world.nowMs() < this.#endMs) {
      await this.#world.wait(this.#drawGapMs());
      void this.#send();
    }
  }

  #drawGapMs(): number {
    const surges = this.#world.listActive("workspace-surge").length;
    const rate = ratePerSecond * (surges > 0 ? surgeFactor : 1);
    return -Math.log(1 - this.#world.random.getFloat()) * 1000 / rate;
  }

  async #send(): Promise<void> {
    const { random, events } = this.#world;
    this.#calls += 1;
    const id = `call${this.#calls}`;
    const isMoney = this.#world.drawBoolean(moneyShare);
    const operation = createOperation(id, isMoney);
    events.push({ type: "invoke", id, atMs: this.#world.nowMs(), operation });
    const router = this.#routers[random.getInteger(this.#routers.length)];
    const outcome = await this.#request(router, { id, isMoney });
    const atMs = this.#world.nowMs();
    events.push({ type: "complete", id, atMs, outcome });
    this.#world.count(`calls ${outcome.type}`);
  }

  async #request(
    router: SoakRouter,
    call: { id: string; isMoney: boolean },
  ): Promise<Outcome> {
    try {
      const answer = await router.answer({
        call: call.id,
        workspace: this.#chooseWorkspace(),
        costTokens: this.#drawCostTokens(),
        isIdempotent: !call.isMoney,
        deadlineAtMs: this.#world.nowMs() + deadlineMs,
      });
      return { type: "answered", answer: formatAnswer(answer, call) };
    } catch (thrown) {
      const { code, executed } = normalizeError(thrown);
      return { type: "failed", code, executed };
    }
  }

  /** Chooses a random workspace; during a surge always the one that surges. */
  #chooseWorkspace(): string {
    const [surge] = this.#world.listActive("workspace-surge");
    const index = surge?.target ?? this.#world.random.getInteger(1000);
    return workspaces[index % workspaces.length];
  }

  #drawCostTokens(): number {
    return minCostTokens + this.#world.random.getInteger(spreadCostTokens);
  }
}

function createOperation(id: string, isMoney: boolean): Operation {
  if (isMoney) {
    return { kind: "money", service: "s", account: id, amount: 1 };
  }
  return {
    kind: "chat",
    workspace: "w",
    model: "assistant",
    answerToken: id,
    answerTokens,
  };
}

/** Formats an answer for the history; that of a money call names its account. */
function formatAnswer(
  answer: string,
  call: { isMoney: boolean },
): string {
  if (!call.isMoney) return answer;
  const [token] = answer.split("-");
  return JSON.stringify({ account: token, refunded: 1 });
}
