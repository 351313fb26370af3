import type { ObjectName } from "../platform/mod.ts";

/** Object of the platform that stores the operators' declaration. */
export const configurationObject: ObjectName = {
  kind: "configuration",
  name: "fleet",
};

/** Gets the object of a part; it is named by the hash of its content. */
export function getPartObject(hash: string): ObjectName {
  return { kind: "configuration-part", name: hash };
}
