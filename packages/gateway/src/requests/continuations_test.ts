import assert from "node:assert/strict";
import { Given, Then } from "@cucumber/cucumber";
import {
  formatAnswer,
  formatChunk,
  formatEvents,
  formatHead,
  formatStreamEnd,
  formatStreamStart,
  type RawCaller,
  resumeAtThird,
  type Script,
  type ScriptedRunner,
  setScripts,
} from "../test_support/mod.ts";

type World = {
  rawCallers: RawCaller[];
  scriptedRunners: Map<string, ScriptedRunner>;
};

const lastChunk = "0\r\n\r\n";

/** Text of answers that has to reach no caller of a stream. */
const foreignText = "not of this stream";

type AnswerParts = { status?: string; type?: string; more?: string };

/** Formats a head with a type of content. */
function formatTypedHead(
  id: string,
  { more = "", status, type = "text/event-stream" }: AnswerParts = {},
): string {
  return `${formatHead(id, status)}Content-Type: ${type}\r\n${more}`;
}

/** Formats a whole answer with a type of content and its length. */
function formatWhole(id: string, body: string, parts?: AnswerParts): string {
  const head = formatTypedHead(id, parts);
  return `${head}Content-Length: ${body.length}\r\n\r\n${body}`;
}

/** Formats a whole answer with a type of content, in chunks. */
function formatChunks(id: string, body: string, parts?: AnswerParts): string {
  const chunk = body === "" ? "" : formatChunk(body);
  const head = formatTypedHead(id, parts);
  return `${head}Transfer-Encoding: chunked\r\n\r\n${chunk}${lastChunk}`;
}

const page = `<html>\n\n${foreignText}</html>\n\n`;
const json = JSON.stringify({ foreignText });

/** Answers of a runner, by description; some end with the connection. */
const answers: Record<string, (id: string) => string> = {
  "a status without content": (id) =>
    `${formatTypedHead(id, { status: "204 No Content" })}\r\n`,
  "a part of the content": (id) =>
    formatWhole(id, formatEvents([3, 4]), { status: "206 Partial Content" }),
  "an accepted status": (id) =>
    formatChunks(id, foreignText, { status: "202 Accepted" }),
  "a JSON document": (id) =>
    formatWhole(id, json, { type: "application/json" }),
  "a page in chunks": (id) => formatChunks(id, page, { type: "text/html" }),
  "a page that ends with the connection": (id) =>
    `${formatTypedHead(id, { type: "text/html" })}\r\n${page}`,
  "compressed events": (id) =>
    formatWhole(id, formatEvents([3, 4]), { more: "Content-Encoding: br\r\n" }),
  "no bytes": (id) => formatWhole(id, ""),
  "no chunks": (id) => formatChunks(id, ""),
  "no bytes before the connection ends": (id) => `${formatTypedHead(id)}\r\n`,
  "text that is no event": (id) => formatAnswer(id, foreignText),
  "chunks of text that are no event": (id) => formatChunks(id, page),
  "an event without an id": (id) =>
    formatChunks(id, `data: ${foreignText}\n\n`),
  "only a comment": (id) => formatChunks(id, ": sound\n\n"),
  "a comment and the next events": (id) =>
    formatChunks(id, `: sound\n\n${formatEvents([3, 4])}`),
  "the stream from its start": (id) =>
    formatStreamStart(id, [1]) + formatStreamEnd([2, 3, 4]),
  "the last event once more": (id) =>
    formatStreamStart(id, [2]) + formatStreamEnd([3, 4]),
  "a JSON document that is cut off": (id) =>
    formatWhole(id, json, { type: "application/json" }).slice(0, -5),
  "a page that is cut off": (id) =>
    formatChunks(id, page, { type: "text/html" }).slice(0, -5),
};

/** Answers that end with their connection, or are cut by its end. */
const closing = /connection|cut off/;

function createScript(description: string): Script {
  const format = answers[description];
  assert.ok(format, description);
  return ({ attemptId, socket }) => {
    socket.write(format(attemptId));
    if (closing.test(description)) socket.end();
  };
}

/** Creates a script that sends bytes of a stream and breaks it off. */
function createBreak(text: string): Script {
  return ({ attemptId, socket }) =>
    socket.end(formatStreamStart(attemptId) + formatChunk(text));
}

Given(
  /^the first runner tried breaks off in event 3, the other sends (.+)$/,
  function (this: World, description: string) {
    const first = createBreak(`${formatEvents([1, 2])}id: 3\ndata`);
    setScripts(
      this.scriptedRunners.values(),
      first,
      createScript(description),
    );
  },
);

/** What runners send before they break off, by description. */
const beginnings: Record<string, string> = {
  "events without ids": "data: a\n\ndata: b\n\n",
  "a comment": ": sound\n\n",
};

Given(
  /^the first runner tried breaks off after (.+), the other resumes$/,
  function (this: World, description: string) {
    const text = beginnings[description];
    assert.ok(text, description);
    const runners = this.scriptedRunners.values();
    setScripts(runners, createBreak(text), resumeAtThird);
  },
);

Given(
  /^the first runner tried sends (the .+), the other resumes$/,
  function (this: World, description: string) {
    const runners = this.scriptedRunners.values();
    setScripts(runners, createScript(description), resumeAtThird);
  },
);

Given(
  /^the runner sends (an? .+|no .+)$/,
  function (this: World, description: string) {
    for (const runner of this.scriptedRunners.values()) {
      runner.script = createScript(description);
    }
  },
);

Then("it gets nothing of the second answer", function (this: World) {
  const text = this.rawCallers.at(-1)?.text ?? "";
  assert.doesNotMatch(text, new RegExp(`${foreignText}|HTTP/1.1 .*HTTP/1.1`));
});
