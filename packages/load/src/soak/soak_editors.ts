/** Simulated operators who edit the declaration concurrently. */
import {
  type Configuration,
  configurationSchema,
  joinDeclaration,
} from "@jasminetide/core/configuration";
import { applyDeclaration } from "@jasminetide/operator/apply";
import { loadDeclaration } from "@jasminetide/operator/declaration";
import {
  configurationObject,
  readStoredConfiguration,
} from "@jasminetide/runtime/configuration";
import type { FakePlatform } from "./fake_platform.ts";
import type { World } from "./world.ts";

const editGapMs = 7000;
const raceGapMs = 300;
const initialDeadlineMs = 10_000_000;

/** Edits of one operator that were applied or whose outcome is unknown. */
type Editor = { name: string; applied: number; unknown: number };

/**
 * Operators who each increment a value of their own in the shared declaration.
 * The value shows whether an applied edit was lost or was applied twice.
 */
export class SoakEditors {
  readonly #world: World;
  readonly #platform: FakePlatform;
  readonly #endMs: number;
  readonly #editors: Editor[] = ["left", "right"].map((name) => ({
    name,
    applied: 0,
    unknown: 0,
  }));

  private constructor(
    world: World,
    options: { platform: FakePlatform; endMs: number },
  ) {
    this.#world = world;
    this.#platform = options.platform;
    this.#endMs = options.endMs;
  }

  /** Creates editors who edit until `endMs`. */
  static create(
    world: World,
    options: { platform: FakePlatform; endMs: number },
  ): SoakEditors {
    return new SoakEditors(world, options);
  }

  /** Stores the first declaration and starts to edit it. */
  run(): void {
    const body = createDeclaration(this.#editors.map(({ name }) => name));
    this.#platform.store.put(
      "configuration/fleet",
      JSON.stringify(body),
      "absent",
    );
    for (const editor of this.#editors) void this.#runEdits(editor);
  }

  /** Checks that every applied edit is in the declaration exactly once. */
  check(): void {
    const body = this.#getStored();
    for (const editor of this.#editors) {
      const count = getCount(body, editor.name);
      const { applied, unknown } = editor;
      this.#world.check(
        "edits-are-never-lost",
        applied <= count && count <= applied + unknown,
        () => `${editor.name} counts ${count}, applied ${applied}`,
      );
    }
  }

  /** Highest version that the platform has accepted. */
  get acceptedVersion(): number {
    const stored = this.#platform.read(configurationObject);
    return stored === undefined ? 0 : readStoredConfiguration(stored).version;
  }

  async #runEdits(editor: Editor): Promise<void> {
    while (this.#world.nowMs() < this.#endMs) {
      const isRace = this.#world.isActive("editors-race");
      const gapMs = isRace ? raceGapMs : editGapMs;
      await this.#world.wait(gapMs * this.#world.random.getFloat());
      await this.#tryEdit(editor);
    }
  }

  async #tryEdit(editor: Editor): Promise<void> {
    const { client } = this.#platform;
    try {
      const accepted = await loadDeclaration(client);
      if (accepted === undefined) return;
      const body = createEdited(accepted.body, editor.name);
      const outcome = await applyDeclaration(client, {
        body,
        text: JSON.stringify(body),
        baseVersion: accepted.version,
        nowMs: this.#world.nowMs(),
      });
      if (outcome.type === "applied") editor.applied += 1;
      this.#world.count(`edits ${outcome.type}`);
    } catch {
      editor.unknown += 1;
      this.#world.count("edits of unknown outcome");
    }
  }

  #getStored(): Configuration {
    const stored = this.#platform.read(configurationObject);
    const text = stored?.value ?? "{}";
    return configurationSchema.parse(
      joinDeclaration({ text, parts: new Map() }),
    );
  }
}

/** Creates a declaration with an exception per editor; its deadline counts. */
function createDeclaration(names: string[]): Configuration {
  return configurationSchema.parse({
    formatVersion: 1,
    defaults: {},
    classes: [{ name: "interactive", priority: 0 }],
    workspaces: names.map((name, index) => ({
      id: name,
      keyHashes: [String(index).repeat(64)],
    })),
    models: [],
    services: [],
    exceptions: names.map((name) => ({
      match: { workspace: name },
      set: { request: { deadlineMs: initialDeadlineMs } },
      reason: `Counted up by ${name}`,
    })),
  });
}

function createEdited(body: Configuration, name: string): Configuration {
  const edited = structuredClone(body);
  for (const { match, set } of edited.exceptions) {
    if (match.workspace !== name || set.request === undefined) continue;
    set.request.deadlineMs = (set.request.deadlineMs ?? 0) + 1;
  }
  return edited;
}

function getCount(body: Configuration, name: string): number {
  const exception = body.exceptions.find(({ match }) =>
    match.workspace === name
  );
  return (exception?.set.request?.deadlineMs ?? 0) - initialDeadlineMs;
}
