import { type ResultCode, resultCodes } from "./codes.ts";

/** Formats `docs/result-codes.md`, the Markdown table of result codes. */
export function formatResultTable(): string {
  const rows = Object.entries<ResultCode>(resultCodes).map(([name, row]) =>
    `| ${row.code} | \`${name}\` | ${row.status} | ${row.executed} | ` +
    `${row.title} |`
  );
  return [
    "# Result codes",
    "",
    "Errors are problem JSON (RFC 9457) with a numbered `code`. `executed`",
    "tells whether the request took effect; `no` is a promise. A single",
    "answer may be more definite than the table.",
    "",
    "| code | name | status | executed | title |",
    "| --- | --- | --- | --- | --- |",
    ...rows,
    "",
  ].join("\n");
}
