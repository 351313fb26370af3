import { createParser } from "eventsource-parser";
import { z } from "zod";
import type { Outcome } from "../history/mod.ts";

const chunkSchema = z.object({
  choices: z.array(z.object({
    delta: z.object({ content: z.string().optional() }),
  })),
});

const completionSchema = z.object({
  choices: z.array(z.object({
    message: z.object({ content: z.string() }),
  })).min(1),
});

const problemSchema = z.object({
  code: z.number().int(),
  executed: z.enum(["no", "yes", "unknown"]),
});

/** Reads a streamed answer piece by piece. */
export class StreamReader {
  #text = "";
  #isEnded = false;
  #failure: Outcome | undefined;
  readonly #parser = createParser({
    onEvent: ({ data }) => this.#readEvent(data),
  });

  private constructor() {}

  /** Creates a reader of one answer. */
  static create(): StreamReader {
    return new StreamReader();
  }

  /** Whether any text of the answer has come. */
  get hasText(): boolean {
    return this.#text !== "";
  }

  /** Reads a piece of the stream. */
  read(piece: string): void {
    this.#parser.feed(piece);
  }

  /** What the stream amounts to; without its end mark it is cut short. */
  getOutcome(): Outcome {
    if (this.#failure !== undefined) return this.#failure;
    if (!this.#isEnded) return { type: "lost" };
    return { type: "answered", answer: this.#text };
  }

  #readEvent(data: string): void {
    if (data === "[DONE]") {
      this.#isEnded = true;
      return;
    }
    const value = parseJson(data);
    const chunk = chunkSchema.safeParse(value);
    if (chunk.success) {
      this.#text += chunk.data.choices.map((choice) =>
        choice.delta.content ?? ""
      ).join("");
      return;
    }
    this.#failure ??= parseProblem(value);
  }
}

/** Parses a whole answer to a chat. */
export function parseCompletion(text: string): Outcome {
  const result = completionSchema.safeParse(parseJson(text));
  if (!result.success) return { type: "lost" };
  return {
    type: "answered",
    answer: result.data.choices[0].message.content,
  };
}

/** Parses a problem document; anything else leaves the outcome open. */
export function parseProblem(value: unknown): Outcome {
  const result = problemSchema.safeParse(value);
  return result.success ? { type: "failed", ...result.data } : { type: "lost" };
}

/** Parses JSON, or gives undefined. */
export function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
