/** Runs a case: records what was seen and ends with the case's exit code. */
import { writeFileSync } from "node:fs";
import { fileURLToPath } from "node:url";

/** Exit codes of `run.sh`. */
const codes = { held: 0, broken: 1, failed: 2 };

/** Time after which a case ends as one that could not run. */
const limitMs = 115_000;

/** Whether the disruption takes place. */
export const hasTrouble = process.env.TROUBLE !== "0";

/**
 * Runs a case in the folder of its script. `run` gets a function that records a
 * line and one that registers what to end, and resolves with whether the rule
 * was broken.
 */
export async function runCase(scriptUrl, run) {
  const file = fileURLToPath(new URL("record.txt", scriptUrl));
  const startMs = performance.now();
  const lines = [];
  const ends = [];
  const log = (line) => {
    const seconds = ((performance.now() - startMs) / 1000).toFixed(3);
    lines.push(`${seconds.padStart(8)} ${line}`);
  };
  const atEnd = (end) => ends.push(end);
  const finish = async (result) => {
    lines.push(`result: ${result}`);
    writeFileSync(file, `${lines.join("\n")}\n`);
    console.log(lines.slice(-4).join("\n"));
    for (const end of ends.reverse()) await end();
    process.exit(codes[result]);
  };
  setTimeout(() => {
    log("the case took too long");
    void finish("failed");
  }, limitMs);
  for (const signal of ["SIGINT", "SIGTERM"]) {
    process.once(signal, () => {
      log(`ended by ${signal}`);
      void finish("failed");
    });
  }
  log(hasTrouble ? "with the disruption" : "without the disruption");
  try {
    await finish(await run(log, atEnd) ? "broken" : "held");
  } catch (error) {
    log(`could not run: ${error.stack}`);
    await finish("failed");
  }
}
