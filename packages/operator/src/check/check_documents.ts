import { readdir, stat } from "node:fs/promises";
import { basename, dirname, join } from "node:path";
import {
  type Fault,
  findConfigurationFaults,
  parseDocument,
  type ValueFault,
} from "@jasminetide/core/configuration";
import { AppError } from "@jasminetide/core/results";
import { z } from "zod";
import { loadText } from "../declaration/mod.ts";
import {
  type DocumentKind,
  documentSchemas,
  getDocumentKind,
} from "./document_kind.ts";
import {
  findDuplicateValues,
  findUnknownMatches,
  findUnknownPools,
  type FleetNames,
  listFleetNames,
  type RawDocument,
} from "./fleet_names.ts";

/** Result of a check: the files read and all faults found. */
export type CheckReport = {
  files: { file: string; kind: DocumentKind }[];
  faults: Fault[];
};

type CheckedDocument = RawDocument & { text: string; kind: DocumentKind };

/**
 * Checks files and folders. The documents below one path belong to one fleet
 * and are checked against each other.
 *
 * @throws AppError `invalidSettings` if a path cannot be read.
 */
export async function checkDocuments(
  paths: readonly string[],
): Promise<CheckReport> {
  const reports: CheckReport[] = [];
  for (const path of paths) {
    const files = await listDocuments(path);
    const documents = await Promise.all(files.map(loadDocument));
    reports.push(checkFleet(documents));
  }
  return {
    files: reports.flatMap((report) => report.files),
    faults: reports.flatMap((report) => report.faults),
  };
}

/** Lists the .jsonc files below a folder, or the file itself. */
async function listDocuments(path: string): Promise<string[]> {
  let isFolder: boolean;
  try {
    isFolder = (await stat(path)).isDirectory();
  } catch (error) {
    throw AppError.create("invalidSettings", `Cannot read "${path}"`, {
      cause: error,
    });
  }
  if (!isFolder) return [path];
  const entries = await readdir(path, { recursive: true });
  const files = entries.filter((entry) => entry.endsWith(".jsonc")).sort();
  if (files.length > 0) return files.map((file) => join(path, file));
  throw AppError.create("invalidSettings", `No .jsonc file in "${path}"`);
}

async function loadDocument(file: string): Promise<CheckedDocument> {
  const text = await loadText(file);
  const result = parseDocument(text, { file, schema: z.unknown() });
  const value = result.type === "parsed" ? result.value : undefined;
  return { file, text, value, kind: getDocumentKind(file, value) };
}

function checkFleet(documents: readonly CheckedDocument[]): CheckReport {
  const settings = documents.filter((document) =>
    document.kind === "router" || document.kind === "sidecar"
  );
  const declaration = documents.find(isDeclaration);
  const names = listFleetNames(settings, declaration);
  const seen = new Map<string, string>();
  return {
    files: documents.map(({ file, kind }) => ({ file, kind })),
    faults: documents.flatMap((document) =>
      checkDocument(document, (value) => [
        ...findFleetFaults(document, names),
        ...(settings.includes(document)
          ? findDuplicateValues(value, seen, formatShortPath(document.file))
          : []),
      ])
    ),
  };
}

function isDeclaration(document: CheckedDocument): boolean {
  return document.kind === "declaration";
}

function formatShortPath(file: string): string {
  return join(basename(dirname(file)), basename(file));
}

function findFleetFaults(
  document: CheckedDocument,
  names: FleetNames,
): ValueFault[] {
  switch (document.kind) {
    case "declaration":
      return [
        ...findConfigurationFaults(document.value),
        ...findUnknownMatches(document.value, names),
      ];
    case "sidecar":
      return findUnknownPools(document.value, names);
    default:
      return [];
  }
}

function checkDocument(
  document: CheckedDocument,
  findFaults: (value: unknown) => ValueFault[],
): Fault[] {
  const { file, text, kind } = document;
  if (kind === "unknown") {
    return [{
      file,
      line: 1,
      path: "",
      found: "a document of unknown kind",
      wanted: "a declaration or the settings of a process",
    }];
  }
  const schema = documentSchemas[kind];
  const result = parseDocument(text, { file, schema, findFaults });
  return result.type === "parsed" ? [] : result.faults;
}
