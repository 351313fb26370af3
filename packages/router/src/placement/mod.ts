/** Placement of models on the runners of a region. */
export * from "./placement_controller.ts";
export * from "./status_writer.ts";
