/** A JSON value. */
export type Json =
  | null
  | boolean
  | number
  | string
  | Json[]
  | JsonObject;

/** A JSON object. */
export type JsonObject = { [name: string]: Json };

/** Says whether a value is a JSON object and no array. */
export function isJsonObject(value: unknown): value is JsonObject {
  return typeof value === "object" && value !== null && !Array.isArray(value);
}
