import type { ObjectName } from "../platform/mod.ts";

/** Where the operators' declaration stands in the platform. */
export const configurationObject: ObjectName = {
  kind: "configuration",
  name: "fleet",
};

/** Gets the object of a part, named by its content. */
export function getPartObject(hash: string): ObjectName {
  return { kind: "configuration-part", name: hash };
}
