import type { Queue, QueueAddOptions } from "p-queue";

/** Starts one queued task. */
export type QueueRun = () => Promise<unknown>;

/** Workspace, weight and cost by which a task is ordered in the queue. */
export type FairTaskOptions = QueueAddOptions & {
  workspace?: string;
  weight?: number;
  costTokens?: number;
};

/** Predicate that decides whether a workspace may start a task now. */
export type FairQueueOptions = { canStart: (workspace: string) => boolean };

type Item = {
  id: string;
  run: QueueRun;
  options: Partial<FairTaskOptions>;
  startTag: number;
  order: number;
};

/** Queued tasks of one workspace in one class. */
type Flow = { items: Item[]; finishTag: number };

/** Queued tasks of one class. */
type ClassQueue = {
  virtualTime: number;
  flows: Map<string, Flow>;
  /** Finish tags of workspaces with nothing queued, oldest first. */
  idleTags: Map<string, number>;
};

/** The flow whose first item is started next, with its class queue. */
type NextFlow = { queue: ClassQueue; workspace: string; flow: Flow };

/** Maximum number of finish tags kept per class for idle workspaces. */
const maxIdleTags = 1024;

/**
 * Queue for `p-queue`: strict priority between classes and, within a class,
 * start-time fair queueing (Goyal, Vin and Cheng, 1996) between workspaces.
 * A task advances the finish tag of its workspace by its cost divided by the
 * workspace's weight. As in `p-queue`, higher `priority` is served first.
 */
export class FairQueue implements Queue<QueueRun, FairTaskOptions> {
  readonly #classes = new Map<number, ClassQueue>();
  readonly #canStart: (workspace: string) => boolean;
  #size = 0;
  #order = 0;

  private constructor(options: FairQueueOptions) {
    this.#canStart = options.canStart;
  }

  /** Creates an empty queue. */
  static create(options: FairQueueOptions): FairQueue {
    return new FairQueue(options);
  }

  /** Number of queued tasks, or 0 while none of them may start. */
  get size(): number {
    return this.#chooseNext() === undefined ? 0 : this.#size;
  }

  enqueue(run: QueueRun, options: Partial<FairTaskOptions> = {}): void {
    const { workspace = "", weight = 1, costTokens = 1 } = options;
    const queue = this.#getClass(options.priority ?? 0);
    const flow = getFlow(queue, workspace);
    const startTag = Math.max(queue.virtualTime, flow.finishTag);
    flow.finishTag = startTag + costTokens / weight;
    flow.items.push({
      id: options.id ?? "",
      run,
      options,
      startTag,
      order: this.#order++,
    });
    this.#size += 1;
  }

  dequeue(): QueueRun | undefined {
    const next = this.#chooseNext();
    if (next === undefined) return undefined;
    const { queue, workspace, flow } = next;
    const [item] = flow.items.splice(0, 1);
    queue.virtualTime = item.startTag;
    this.#size -= 1;
    expireFlow(queue, workspace);
    return item.run;
  }

  /** Removes a task from the queue. */
  remove(id: string): void {
    this.#take(id);
  }

  /** Moves a task to another class, behind its workspace's other tasks. */
  setPriority(id: string, priority: number): void {
    const item = this.#take(id);
    if (item !== undefined) {
      this.enqueue(item.run, { ...item.options, priority });
    }
  }

  /** Lists the queued tasks of a class. */
  filter(options: Readonly<Partial<FairTaskOptions>>): QueueRun[] {
    const flows = this.#classes.get(options.priority ?? 0)?.flows.values() ??
      [];
    return [...flows].flatMap((flow) => flow.items).map(({ run }) => run);
  }

  #getClass(priority: number): ClassQueue {
    const found = this.#classes.get(priority);
    if (found !== undefined) return found;
    const created = {
      virtualTime: 0,
      flows: new Map<string, Flow>(),
      idleTags: new Map<string, number>(),
    };
    this.#classes.set(priority, created);
    return created;
  }

  /** Chooses the next flow of the highest class with a task that may start. */
  #chooseNext(): NextFlow | undefined {
    const classes = [...this.#classes].sort(([left], [right]) => right - left);
    for (const [, queue] of classes) {
      const next = this.#chooseFlow(queue);
      if (next !== undefined) return next;
    }
    return undefined;
  }

  /**
   * Chooses, among the workspaces that may start a task, the one whose first
   * task has the lowest start tag.
   */
  #chooseFlow(queue: ClassQueue): NextFlow | undefined {
    let chosen: NextFlow | undefined;
    for (const [workspace, flow] of queue.flows) {
      const isFirst = chosen === undefined ||
        isBefore(flow.items[0], chosen.flow.items[0]);
      if (isFirst && this.#canStart(workspace)) {
        chosen = { queue, workspace, flow };
      }
    }
    return chosen;
  }

  #take(id: string): Item | undefined {
    for (const queue of this.#classes.values()) {
      for (const [workspace, flow] of queue.flows) {
        const index = flow.items.findIndex((item) => item.id === id);
        if (index < 0) continue;
        const [item] = flow.items.splice(index, 1);
        this.#size -= 1;
        expireFlow(queue, workspace);
        return item;
      }
    }
    return undefined;
  }
}

function getFlow(queue: ClassQueue, workspace: string): Flow {
  const found = queue.flows.get(workspace);
  if (found !== undefined) return found;
  const finishTag = queue.idleTags.get(workspace) ?? 0;
  const created = { items: [], finishTag };
  queue.idleTags.delete(workspace);
  queue.flows.set(workspace, created);
  return created;
}

/**
 * Creates the queue class that `p-queue` instantiates; each instance is
 * `queue` itself.
 */
export function createQueueClass(queue: FairQueue): new () => FairQueue {
  return class {
    constructor() {
      return queue;
    }
  } as new () => FairQueue;
}

/** Removes the flow of a workspace if it is empty, keeping its finish tag. */
function expireFlow(queue: ClassQueue, workspace: string): void {
  const flow = queue.flows.get(workspace);
  if (flow === undefined || flow.items.length > 0) return;
  queue.flows.delete(workspace);
  queue.idleTags.set(workspace, flow.finishTag);
  if (queue.idleTags.size <= maxIdleTags) return;
  const [oldest] = queue.idleTags.keys();
  queue.idleTags.delete(oldest);
}

function isBefore(left: Item, right: Item): boolean {
  return left.startTag < right.startTag ||
    (left.startTag === right.startTag && left.order < right.order);
}
