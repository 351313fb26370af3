import { Buffer } from "node:buffer";
import { decodePosition, encodePosition } from "../store/mod.ts";
import {
  type CallId,
  decodeHead,
  decodeSegment,
  encodeHead,
  encodeSegment,
  type JournalSegment,
  type LedgerAnswer,
  type LedgerCall,
  OwnerSearch,
  Shard,
  type ShardCommand,
  type ShardEvent,
  type ShardSettings,
} from "./mod.ts";

type StoredObject = { version: number; value: string };

type SidecarNode = {
  name: string;
  shard: Shard;
  state: "running" | "paused" | "dead";
  wakeAtMs: number;
  backlog: ShardEvent[];
};

type Dispatch = {
  node: SidecarNode;
  callId: CallId;
  key: string;
  isOpen: boolean;
};

const callDeadlineMs = 30_000;

/**
 * Simulation of one journal and several sidecars. A test advances the time and
 * triggers the failures.
 */
export class LedgerHarness {
  readonly startMs = 1_000_000;
  readonly objects = new Map<string, StoredObject>();
  readonly answers: LedgerAnswer[] = [];
  readonly settings: ShardSettings = {
    windowMs: 60_000,
    maximumEntriesPerShard: 64,
    groupCommitMs: 20,
    leaseMs: 10_000,
    outageMode: "refuse",
    openWindowMs: 30_000,
  };
  nowMs = this.startMs;
  storeEpoch = 0;
  isDown = false;
  losesNextAnswer = false;
  readonly #nodes: SidecarNode[];
  readonly #dispatches: Dispatch[] = [];
  readonly #keys = new Map<CallId, string>();
  /** Events that arrive one millisecond later. */
  #arriving: { node: SidecarNode; event: ShardEvent }[] = [];
  #count = 0;

  private constructor(names: string[]) {
    this.#nodes = names.map((name, index) => ({
      name,
      shard: Shard.create({
        owner: { name, epoch: index + 1 },
        getSettings: () => this.settings,
      }),
      state: "running",
      wakeAtMs: Infinity,
      backlog: [],
    }));
  }

  static create(names: string[]): LedgerHarness {
    return new LedgerHarness(names);
  }

  getRole(name: string): string {
    return this.#get(name).shard.state.role.type;
  }

  countDispatches(key: string, name?: string): number {
    return this.#dispatches.filter((dispatch) =>
      dispatch.key === key && (name ?? dispatch.node.name) ===
        dispatch.node.name
    ).length;
  }

  call(name: string, key: string, call: Partial<LedgerCall> = {}): void {
    this.#count += 1;
    const id = `call-${this.#count}`;
    this.#keys.set(id, key);
    this.send(name, {
      type: "call",
      call: {
        id,
        key,
        issuedAtMs: this.nowMs,
        requestHash: "same",
        deadlineAtMs: this.nowMs + callDeadlineMs,
        mayClaim: false,
        ...call,
      },
    });
  }

  send(name: string, event: ShardEvent): void {
    this.#handle(this.#get(name), event);
  }

  /** Searches for the owner as a router with the given list of sidecars. */
  search(key: string, names: string[]): LedgerAnswer {
    const search = OwnerSearch.create({
      service: "money",
      shard: 0,
      hint: undefined,
    });
    const endMs = this.nowMs + callDeadlineMs;
    const issuedAtMs = this.startMs;
    while (this.nowMs < endMs) {
      const choice = search.choose(names);
      if (choice === undefined) break;
      const { name, mayClaim } = choice;
      const count = this.answers.length;
      this.call(name, key, { mayClaim, issuedAtMs });
      while (this.answers.length === count && this.nowMs < endMs) {
        this.advance(100);
      }
      const answer = this.answers[count];
      if (search.apply(name, answer)) return answer;
    }
    return search.lastAnswer;
  }

  /** Advances the time until pending group commits are complete. */
  settle(): void {
    this.advance(this.settings.groupCommitMs * 2);
  }

  advance(durationMs: number): void {
    for (let left = durationMs; left > 0; left -= 1) {
      this.nowMs += 1;
      const arriving = this.#arriving;
      this.#arriving = [];
      for (const { node, event } of arriving) this.#handle(node, event);
      for (const node of this.#nodes) {
        if (node.wakeAtMs > this.nowMs) continue;
        node.wakeAtMs = Infinity;
        this.#handle(node, { type: "tick" });
      }
    }
  }

  answerAll(body: string): void {
    for (const dispatch of this.#dispatches) {
      if (!dispatch.isOpen) continue;
      dispatch.isOpen = false;
      this.#handle(dispatch.node, {
        type: "outcome",
        callId: dispatch.callId,
        outcome: {
          type: "answered",
          answer: { status: 201, headers: {}, body: Buffer.from(body) },
        },
      });
    }
  }

  /** Crashes a process just before or after a step of its last call. */
  end(name: string, moment: { side: string; step: string }): void {
    const node = this.#get(name);
    const isBefore = moment.side === "before";
    if (moment.step === "dispatch" || moment.step === "outcome") {
      this.advance(20);
    }
    if (moment.step === "outcome") this.answerAll("refunded");
    if (moment.step === "outcome" && !isBefore) this.advance(1000);
    node.state = "dead";
    this.advance(2);
    this.isDown = false;
  }

  /** Replaces all objects by those of a copy; their versions go back. */
  restore(copy: ReadonlyMap<string, StoredObject>): void {
    this.storeEpoch += 1;
    this.objects.clear();
    for (const [name, row] of copy) {
      const { revision } = decodePosition(row.version);
      const position = { epoch: this.storeEpoch, revision };
      this.objects.set(name, {
        version: encodePosition(position),
        value: row.value,
      });
    }
  }

  pause(name: string): void {
    this.#get(name).state = "paused";
  }

  resume(name: string): void {
    const node = this.#get(name);
    node.state = "running";
    for (const event of node.backlog.splice(0)) this.#handle(node, event);
  }

  #get(name: string): SidecarNode {
    const node = this.#nodes.find((candidate) => candidate.name === name);
    if (node === undefined) throw new Error(`No sidecar "${name}"`);
    return node;
  }

  #handle(node: SidecarNode, event: ShardEvent): void {
    if (node.state === "paused") node.backlog.push(event);
    if (node.state !== "running") return;
    for (const command of node.shard.handle(event, this.nowMs)) {
      this.#run(node, command);
    }
  }

  #run(node: SidecarNode, command: ShardCommand): void {
    switch (command.type) {
      case "read-head":
        this.#arrive(node, this.#readHead());
        break;
      case "write-head":
        this.#arrive(
          node,
          this.#writeHead(encodeHead(command.head), command.expected),
        );
        break;
      case "read-segments":
        this.#arrive(node, {
          type: "segments-read",
          segments: command.slots.map(({ slot }) => this.#readSegment(slot)),
        });
        break;
      case "write-segment": {
        const { slot, expected, segment } = command;
        const name = `segment-${slot}`;
        const { type, version } = this.#put(
          name,
          encodeSegment(segment),
          expected,
        );
        this.#arrive(node, { type: `segment-${type}`, slot, version });
        break;
      }
      case "dispatch": {
        const key = this.#keys.get(command.callId) ?? "";
        this.#dispatches.push({ node, key, isOpen: true, ...command });
        break;
      }
      case "answer":
        if (this.#keys.get(command.callId) !== "takeover") {
          this.answers.push(command.answer);
        }
        break;
      case "wake":
        node.wakeAtMs = command.atMs;
    }
  }

  #arrive(node: SidecarNode, event: ShardEvent): void {
    this.#arriving.push({ node, event });
  }

  #readHead(): ShardEvent {
    if (this.isDown) return { type: "head-read-failed" };
    const row = this.objects.get("head");
    if (row === undefined) {
      return {
        type: "head-read",
        version: this.#getAbsentVersion(),
        head: undefined,
      };
    }
    const { version, value } = row;
    return { type: "head-read", version, head: decodeHead(value) };
  }

  #writeHead(value: string, expected: number): ShardEvent {
    if (this.isDown) return { type: "head-write-lost" };
    const { type, version } = this.#put("head", value, expected);
    if (this.losesNextAnswer) {
      this.losesNextAnswer = false;
      return { type: "head-write-lost" };
    }
    return { type: `head-${type}`, version };
  }

  #readSegment(slot: number): JournalSegment {
    return decodeSegment(this.objects.get(`segment-${slot}`)?.value ?? "");
  }

  #getAbsentVersion(): number {
    return encodePosition({ epoch: this.storeEpoch, revision: 0 });
  }

  #put(
    name: string,
    value: string,
    expected: number,
  ): { type: "written" | "conflict"; version: number } {
    const current = this.objects.get(name)?.version ??
      this.#getAbsentVersion();
    const isAbsent = decodePosition(expected).revision === 0 &&
      decodePosition(current).revision === 0;
    if (!isAbsent && current !== expected) {
      return { type: "conflict", version: current };
    }
    this.objects.set(name, { version: current + 1, value });
    return { type: "written", version: current + 1 };
  }
}
