/**
 * Bundles the gateway for the users' platform into `target/`: the program as one
 * script, a loader for it, and settings for a trial run. That run of the loader,
 * with `--write-code-cache` and the flags of later starts, keeps the compiled
 * code beside the script, so that those starts need not compile it.
 */
import { mkdir, writeFile } from "node:fs/promises";
import { builtinModules } from "node:module";
import { build } from "esbuild";

const outputFolder = "target";

/** Turns imports of Node.js modules into calls of `require`. */
const requireBuiltins = {
  name: "require-builtins",
  setup(bundler) {
    const names = builtinModules.join("|");
    const filter = new RegExp(`^(node:)?(${names})$`);
    bundler.onResolve({ filter }, ({ path }) => ({
      path: path.replace(/^node:/, ""),
      namespace: "builtin",
    }));
    bundler.onLoad({ filter: /.*/, namespace: "builtin" }, ({ path }) => ({
      contents: `module.exports = requireBuiltin("node:${path}");`,
    }));
  },
};

const result = await build({
  entryPoints: ["platform/src/main.ts"],
  bundle: true,
  write: false,
  platform: "node",
  format: "esm",
  target: "node20",
  charset: "ascii",
  conditions: ["source"],
  mainFields: ["module", "main"],
  minifySyntax: true,
  minifyWhitespace: true,
  logLevel: "warning",
  plugins: [requireBuiltins],
});

const program = `(async (requireBuiltin) => {${result.outputFiles[0].text}\n})`;

/** Runs the bundled program, from compiled code where it fits this Node.js. */
const loader = `
const { readFileSync, writeFileSync } = require("node:fs");
const { Script } = require("node:vm");
const file = __dirname + "/gateway_program.js";
const cacheFile = __dirname + "/gateway_program.cache";
const isWriting = process.argv.includes("--write-code-cache");
let cachedData;
try {
  if (!isWriting) cachedData = readFileSync(cacheFile);
} catch {
  // Built without the cache; the program is compiled at each start.
}
const script = new Script(readFileSync(file, "latin1"), {
  filename: file,
  cachedData,
});
if (isWriting) {
  process.env.JASMINETIDE_NODE_FILE = __dirname + "/trial_settings.jsonc";
  setTimeout(() => process.kill(process.pid, "SIGTERM"), 500);
  process.on("exit", () => {
    writeFileSync(cacheFile, script.createCachedData());
    process.exitCode = 0;
  });
}
script.runInThisContext()(require);
`;

/** Settings of a gateway without callers, whose store does not answer. */
const trialSettings = {
  name: "trial",
  failureDomain: "trial",
  callerAddress: "127.0.0.1:0",
  readinessAddress: "127.0.0.1:0",
  peerAddress: "127.0.0.1:0",
  platform: { address: "127.0.0.1:1" },
  stop: { noticeMs: 1 },
  repeats: {},
  log: {},
};

await mkdir(outputFolder, { recursive: true });
await writeFile(`${outputFolder}/gateway_program.js`, program);
await writeFile(
  `${outputFolder}/trial_settings.jsonc`,
  JSON.stringify(trialSettings),
);
await writeFile(`${outputFolder}/gateway.cjs`, loader.trimStart());
