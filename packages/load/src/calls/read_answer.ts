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

/** Parses a streamed answer incrementally. */
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

  /** Whether any text of the answer has been received. */
  get hasText(): boolean {
    return this.#text !== "";
  }

  /** Parses the next characters of the stream. */
  read(text: string): void {
    this.#parser.feed(text);
  }

  /** Returns the outcome of the stream; without an end mark it is lost. */
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

/** Parses a chat completion that was not streamed. */
export function parseCompletion(text: string): Outcome {
  const result = completionSchema.safeParse(parseJson(text));
  if (!result.success) return { type: "lost" };
  return {
    type: "answered",
    answer: result.data.choices[0].message.content,
  };
}

/** Parses a problem document; any other value yields the outcome `lost`. */
export function parseProblem(value: unknown): Outcome {
  const result = problemSchema.safeParse(value);
  return result.success ? { type: "failed", ...result.data } : { type: "lost" };
}

/** Parses JSON; returns undefined if it is invalid. */
export function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
