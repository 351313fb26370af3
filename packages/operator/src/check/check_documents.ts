import { readdir, stat } from "node:fs/promises";
import { basename, dirname, join } from "node:path";
import {
  createLineFinder,
  type Fault,
  findConfigurationFaults,
  formatPath,
  parseDocument,
  type ValueFault,
} from "@jasminetide/core/configuration";
import {
  type Finding,
  findRunnerFindings,
  type FleetRunners,
} from "@jasminetide/core/findings";
import { AppError } from "@jasminetide/core/results";
import { z } from "zod";
import { loadText } from "../declaration/mod.ts";
import {
  type DocumentFormat,
  type DocumentKind,
  type DocumentReader,
  documentReaders,
  getDocumentKind,
  type VersionedBody,
} from "./document_kind.ts";
import {
  findDuplicateValues,
  findUnknownMatches,
  findUnknownPools,
  type FleetNames,
  listFleetNames,
  listRunners,
  type RawDocument,
} from "./fleet_names.ts";

/** A finding with its place in a file. */
export type LocatedFinding = Omit<Finding, "path"> & {
  file: string;
  /** Line number, from 1. */
  line: number;
  /** Dotted path with indices, such as `routes[3].goalMs`. */
  path: string;
};

/** Result of a check: the files read, all faults, and what else was found. */
export type CheckReport = {
  files: { file: string; kind: DocumentKind }[];
  faults: Fault[];
  /** Findings in the documents without faults. */
  findings: LocatedFinding[];
};

/** A document of which versions are put in force, and its file. */
export type VersionedDocument = VersionedBody & { file: string };

/** A report, and the documents that can be compared with other versions. */
export type CheckResult = {
  report: CheckReport;
  versioned: VersionedDocument[];
};

/** Options of a check. */
export type CheckOptions = {
  /** Notations of documents besides the product's own. */
  formats?: readonly DocumentFormat[];
};

type CheckedDocument = RawDocument & {
  text: string;
  /** Why the text could not be parsed, if so. */
  textFaults: readonly Fault[];
  kind: DocumentKind;
  /** Undefined if the kind is unknown. */
  read: DocumentReader | undefined;
};

/**
 * Checks files and folders. The documents below one path belong to one fleet
 * and are checked against each other.
 *
 * @throws AppError `invalidSettings` if a path cannot be read.
 */
export async function checkDocuments(
  paths: readonly string[],
  options: CheckOptions = {},
): Promise<CheckResult> {
  const results: CheckResult[] = [];
  for (const path of paths) {
    const files = await listDocuments(path);
    const documents = await Promise.all(
      files.map((file) => loadDocument(file, options)),
    );
    results.push(checkFleet(documents));
  }
  return {
    report: mergeReports(results.map(({ report }) => report)),
    versioned: results.flatMap(({ versioned }) => versioned),
  };
}

function mergeReports(reports: readonly CheckReport[]): CheckReport {
  return {
    files: reports.flatMap(({ files }) => files),
    faults: reports.flatMap(({ faults }) => faults),
    findings: reports.flatMap(({ findings }) => findings),
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

async function loadDocument(
  file: string,
  { formats = [] }: CheckOptions,
): Promise<CheckedDocument> {
  const text = await loadText(file);
  const result = parseDocument(text, { file, schema: z.unknown() });
  const value = result.type === "parsed" ? result.value : undefined;
  const textFaults = result.type === "faulty" ? result.faults : [];
  const format = formats.find(({ isMatch }) => isMatch(value));
  if (format !== undefined) return { file, text, textFaults, value, ...format };
  const kind = getDocumentKind(file, value);
  const read = kind === "unknown" ? undefined : documentReaders[kind];
  return { file, text, textFaults, value, kind, read };
}

function checkFleet(documents: readonly CheckedDocument[]): CheckResult {
  const settings = documents.filter((document) =>
    document.kind === "router" || document.kind === "sidecar"
  );
  const declaration = documents.find(isDeclaration);
  const names = listFleetNames(settings, declaration);
  const seen = new Map<string, string>();
  const runners = listRunners(settings);
  const results = documents.map((document) =>
    checkDocument(document, {
      runners,
      findFaults: (value) => [
        ...findFleetFaults(document, names),
        ...(settings.includes(document)
          ? findDuplicateValues(value, seen, formatShortPath(document.file))
          : []),
      ],
    })
  );
  return {
    report: mergeReports(results.map(({ report }) => report)),
    versioned: results.flatMap(({ versioned }) => versioned),
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
  { findFaults, runners }: {
    findFaults: (value: unknown) => ValueFault[];
    runners: FleetRunners | undefined;
  },
): CheckResult {
  const { file, kind, read, text } = document;
  const files = [{ file, kind }];
  const result = read?.(text, { file, findFaults }) ??
    { type: "faulty", faults: getFaultsOfUnknown(document) };
  if (result.type === "faulty") {
    const report = { files, faults: result.faults, findings: [] };
    return { report, versioned: [] };
  }
  const { findings, versioned } = result;
  const ofRunners = versioned?.type === "declaration" && runners !== undefined
    ? findRunnerFindings(versioned.body, runners)
    : [];
  const located = getLocatedFindings([...findings, ...ofRunners], document);
  return {
    report: { files, faults: [], findings: located },
    versioned: versioned === undefined ? [] : [{ file, ...versioned }],
  };
}

function getLocatedFindings(
  findings: readonly Finding[],
  { file, text }: CheckedDocument,
): LocatedFinding[] {
  const findLine = createLineFinder(text);
  const located = findings.map(({ path, ...finding }) => ({
    file,
    line: findLine(path),
    path: formatPath(path),
    ...finding,
  }));
  return located.sort((left, right) => left.line - right.line);
}

/** Gets the faults of a document whose kind cannot be told. */
function getFaultsOfUnknown({ file, textFaults }: CheckedDocument): Fault[] {
  return textFaults.length > 0 ? [...textFaults] : [createUnknownKind(file)];
}

function createUnknownKind(file: string): Fault {
  return {
    file,
    line: 1,
    path: "",
    found: "a document of unknown kind",
    wanted: "a declaration, routes or the settings of a process",
  };
}
