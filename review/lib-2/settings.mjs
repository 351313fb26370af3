/** Renders the settings of a gateway from the repository's template. */
import { readFileSync } from "node:fs";

/** Bounds of the small deployment `vsc-trolley-desk`. */
const bounds = {
  ContactMs: 3000,
  DrainMs: 2000,
  GraceS: 8,
  ConfigApplyMs: 2000,
  RetryRatio: 0.2,
  RetryWindowS: 10,
  RetrySlack: 54,
};

/** Renders the template for one gateway of a small deployment. */
export function renderSettings(template, { name, ports, storePort, limits }) {
  const ip = "127.0.0.1";
  const fields = {
    NodeName: name,
    Zone: "cz-central-a",
    Ip: ip,
    Listen: {
      Frontend: `${ip}:${ports.callers}`,
      Readiness: `${ip}:${ports.readiness}`,
      ControlPlane: `${ip}:${ports.control}`,
    },
    InternalPorts: [ports.internal, ports.internal],
    Seeds: [],
    Limits: {
      CpuShare: 0.513,
      Cores: 1,
      MemoryMb: 350,
      MaxFds: 4200,
      LinkMbps: 1000,
      ...limits,
    },
    Bounds: bounds,
    Platform: { Address: `${ip}:${storePort}`, WritesPerS: 400 },
  };
  return render(readFileSync(template, "utf8"), [fields]);
}

const section =
  /\{\{([#^])([\w.]+)\}\}((?:(?!\{\{[#^]\2\}\}).)*?)\{\{\/\2\}\}/s;

function render(text, scopes) {
  let result = text;
  let match = section.exec(result);
  while (match !== null) {
    const [whole, type, path, body] = match;
    const rendered = renderSection(
      { type, body },
      lookUp(path, scopes),
      scopes,
    );
    result = result.slice(0, match.index) + rendered +
      result.slice(match.index + whole.length);
    match = section.exec(result);
  }
  return result.replace(
    /\{\{([\w.@]+)(\|json)?\}\}/g,
    (_whole, path, json) => format(lookUp(path, scopes), json !== undefined),
  );
}

function renderSection({ type, body }, value, scopes) {
  const isEmpty = value === undefined || value === false || value === null;
  if (type === "^") return isEmpty ? render(body, scopes) : "";
  if (isEmpty) return "";
  const items = Array.isArray(value) ? value : [value];
  return items.map((item, index) => {
    const comma = index < items.length - 1 ? "," : "";
    return render(body.replaceAll("{{,}}", comma), [item, ...scopes]);
  }).join("");
}

function lookUp(path, scopes) {
  if (path === ".") return scopes[0];
  for (const scope of scopes) {
    const value = path.split(".").reduce(
      (inner, key) => inner?.[key],
      scope,
    );
    if (value !== undefined) return value;
  }
  return undefined;
}

function format(value, isJson) {
  if (isJson) return JSON.stringify(value ?? null);
  return value === undefined || value === null ? "" : String(value);
}
