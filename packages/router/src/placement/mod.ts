/** The duty to place models on the runners of a region. */
export * from "./placement_keeper.ts";
export * from "./status_writer.ts";
