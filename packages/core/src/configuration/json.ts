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

/** Reports whether a value is a JSON object and not an array. */
export function isJsonObject(value: unknown): value is JsonObject {
  return typeof value === "object" && value !== null && !Array.isArray(value);
}
