/**
 * Parses a line of a head or of trailers in time that grows with its length,
 * whatever it contains. Lines that are no header are skipped.
 *
 * @param headers alternating names and values, to which the line is added; a
 * line that begins with a blank continues the last value.
 */
export function parseHeaderLine(line: string, headers: string[]): void {
  const colon = line.indexOf(":");
  const name = line.slice(0, Math.max(0, colon));
  if (name !== "" && !hasBlank(name)) {
    headers.push(name, trimBlanks(line.slice(colon + 1)));
    return;
  }
  if (!isBlank(line, 0) || headers.length === 0) return;
  const text = trimBlanks(line);
  if (text === "") return;
  const value = headers[headers.length - 1];
  headers[headers.length - 1] = value === "" ? text : `${value} ${text}`;
}

function isBlank(text: string, index: number): boolean {
  return text[index] === " " || text[index] === "\t";
}

function hasBlank(text: string): boolean {
  return text.includes(" ") || text.includes("\t");
}

/** Removes spaces and tabs at both ends. */
function trimBlanks(text: string): string {
  let begin = 0;
  let end = text.length;
  while (begin < end && isBlank(text, begin)) begin += 1;
  while (begin < end && isBlank(text, end - 1)) end -= 1;
  return text.slice(begin, end);
}
