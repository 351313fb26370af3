import process from "node:process";

const shared = {
  forceExit: true,
  paths: process.env.FEATURES?.split(" ") ??
    ["packages/*/src/**/*.feature", "platform/src/**/*.feature"],
  import: ["packages/*/dist/**/*_test.js", "platform/dist/**/*_test.js"],
};

/** Every test that has to pass. */
export default {
  ...shared,
  tags: "not @known-red",
  format: [
    "progress",
    "./packages/testing/dist/summary/mod.js:reports/summary.txt",
  ],
};

/** Tests of faults listed in KNOWN-RED.txt. */
export const knownRed = {
  ...shared,
  tags: "@known-red",
  format: ["progress"],
};
