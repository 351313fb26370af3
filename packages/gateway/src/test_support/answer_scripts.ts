import {
  formatHead,
  type Script,
  type ScriptedRunner,
} from "./scripted_runner.ts";
import { testHeaders } from "./test_protocol.ts";

/** Formats events of a stream with the given ids. */
export function formatEvents(ids: readonly number[]): string {
  return ids.map((id) => `id: ${id}\ndata: event ${id}\n\n`).join("");
}

/** Formats one chunk of a chunked body. */
export function formatChunk(text: string): string {
  return `${text.length.toString(16)}\r\n${text}\r\n`;
}

/** Formats the head of a chunked answer and its first events, if any. */
export function formatStreamStart(
  attemptId: string,
  ids: readonly number[] = [],
): string {
  const head = `${formatHead(attemptId)}Transfer-Encoding: chunked\r\n\r\n`;
  return ids.length === 0 ? head : head + formatChunk(formatEvents(ids));
}

/** Formats the last events of a chunked answer and its end. */
export function formatStreamEnd(ids: readonly number[]): string {
  return `${formatChunk(formatEvents(ids))}0\r\n\r\n`;
}

/** Refuses a request and states that it has not run. */
export const refuseAsNotRun: Script = ({ attemptId, socket }) =>
  socket.write(
    `HTTP/1.1 503 Busy\r\n${testHeaders.attempt}: ${attemptId}\r\n` +
      `${testHeaders.notRun}: 1\r\nContent-Length: 0\r\n\r\n`,
  );

/** Resumes a stream of four events after the second. */
export const resumeAtThird: Script = ({ attemptId, socket }) =>
  socket.write(formatStreamStart(attemptId, [3]) + formatStreamEnd([4]));

/** Handles the first request with one script and the others with another. */
export function setScripts(
  runners: Iterable<ScriptedRunner>,
  first: Script,
  others: Script,
): void {
  let count = 0;
  for (const runner of runners) {
    runner.script = (request) => {
      count += 1;
      if (count === 1) first(request);
      else others(request);
    };
  }
}
