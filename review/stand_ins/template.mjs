/**
 * Fills in a settings template as the platform does: values, values as JSON,
 * sections for lists and for values that are present, and inverted sections.
 */
export function renderTemplate(template, fields) {
  return renderPart(template, [fields]);
}

const sectionPattern = /\{\{([#^])([\w.]+)\}\}([\s\S]*?)\{\{\/\2\}\}/;
const valuePattern = /\{\{([\w.]+)(\|json)?\}\}/g;

function renderPart(template, scopes) {
  let text = template;
  let match = sectionPattern.exec(text);
  while (match !== null) {
    const [whole, type, name, inner] = match;
    const value = find(name, scopes);
    text = text.slice(0, match.index) +
      renderSection({ type, value, inner }, scopes) +
      text.slice(match.index + whole.length);
    match = sectionPattern.exec(text);
  }
  return text.replace(valuePattern, (_whole, name, json) => {
    const value = find(name, scopes);
    if (json !== undefined) return JSON.stringify(value);
    return value === undefined ? "" : String(value);
  });
}

function renderSection({ inner, type, value }, scopes) {
  const isPresent = value !== undefined && value !== null && value !== false;
  if (type === "^") return isPresent ? "" : renderPart(inner, scopes);
  if (!isPresent) return "";
  const entries = Array.isArray(value) ? value : [value];
  return entries
    .map((entry, index) =>
      renderPart(
        inner.replaceAll("{{,}}", index < entries.length - 1 ? "," : ""),
        [entry, ...scopes],
      )
    )
    .join("");
}

function find(name, scopes) {
  if (name === ".") return scopes[0];
  for (const scope of scopes) {
    let value = scope;
    for (const key of name.split(".")) value = value?.[key];
    if (value !== undefined) return value;
  }
  return undefined;
}
