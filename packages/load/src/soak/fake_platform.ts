/** The platform's object API with faults, in virtual time. */
import { AppError } from "@jasminetide/core/results";
import {
  isLaterPosition,
  StoreEpoch,
  type StorePosition,
  type StoreRestoredListener,
} from "@jasminetide/core/store";
import type {
  ObjectName,
  PlatformClient,
  StoredObject,
  WriteCondition,
} from "@jasminetide/runtime/platform";
import { ObjectStore } from "@jasminetide/stand_in";
import type { World } from "./world.ts";

/** Time of a normal request. */
const delayMs = 4;
const watchStepMs = 50;
/** Time of a request under `platform-slow`. */
const slowMs = 1200;
/** Time after which a request without an answer fails. */
const timeoutMs = 2000;
const lossProbability = 0.5;

/** In-memory object API that fails, slows down and loses answers to writes. */
export class FakePlatform {
  readonly store = ObjectStore.create();
  readonly #epoch = StoreEpoch.create();
  readonly #world: World;

  private constructor(world: World) {
    this.#world = world;
  }

  /** Creates an empty platform. */
  static create(world: World): FakePlatform {
    return new FakePlatform(world);
  }

  /** This platform as the client type that processes use. */
  get client(): PlatformClient {
    return this as unknown as PlatformClient;
  }

  /** Latest epoch of the store that an answer has stated. */
  get epoch(): number {
    return this.#epoch.current;
  }

  /** Calls the listener once for each new epoch of the store. */
  subscribeRestored(listener: StoreRestoredListener): Disposable {
    return this.#epoch.subscribe(listener);
  }

  /** Gets an object. */
  async get(object: ObjectName): Promise<StoredObject | undefined> {
    await this.#request();
    return this.read(object);
  }

  /** Writes an object if the condition holds. */
  async put(
    object: ObjectName,
    options: { value: string; condition: WriteCondition },
  ): Promise<StorePosition> {
    await this.#request();
    const write = this.store.put(
      getPath(object),
      options.value,
      options.condition === "absent"
        ? "absent"
        : { version: options.condition.position.revision },
    );
    const isLost = this.#world.isActive("write-answer-lost") &&
      this.#world.drawBoolean(lossProbability);
    if (isLost) await this.#fail("write answers lost");
    await this.#world.wait(delayMs);
    if (write.type === "written") {
      return { epoch: this.store.epoch, revision: write.version };
    }
    throw AppError.create("versionConflict", `At ${write.version}`);
  }

  /** Waits until an object is later than `after`, or times out. */
  async watch(
    object: ObjectName,
    options: { after: StorePosition; timeoutMs: number },
  ): Promise<StoredObject | undefined> {
    await this.#request();
    const untilMs = this.#world.nowMs() + options.timeoutMs;
    while (this.#world.nowMs() < untilMs) {
      const stored = this.read(object);
      if (
        stored !== undefined && isLaterPosition(stored.position, options.after)
      ) {
        await this.#request();
        return stored;
      }
      await this.#world.wait(watchStepMs);
    }
    return undefined;
  }

  /** Lists the names and positions of a kind. */
  async list(
    kind: string,
  ): Promise<{ name: string; position: StorePosition }[]> {
    await this.#request();
    return this.store.list(`${kind}/`).map(({ path, version }) => ({
      name: path.slice(kind.length + 1),
      position: { epoch: this.store.epoch, revision: version },
    }));
  }

  /** Reads an object at once, for checks. */
  read(object: ObjectName): StoredObject | undefined {
    const row = this.store.get(getPath(object));
    return row === undefined ? undefined : {
      position: { epoch: this.store.epoch, revision: row.version },
      value: row.value,
    };
  }

  async #request(): Promise<void> {
    if (this.#world.isActive("platform-down")) {
      await this.#fail("platform calls failed");
    }
    const isSlow = this.#world.isActive("platform-slow");
    await this.#world.wait(isSlow ? slowMs : delayMs);
    this.#epoch.observe(this.store.epoch);
  }

  async #fail(name: string): Promise<never> {
    this.#world.count(name);
    await this.#world.wait(timeoutMs);
    throw AppError.create("platformUnavailable", "No answer");
  }
}

function getPath(object: ObjectName): string {
  return `${object.kind}/${object.name}`;
}
