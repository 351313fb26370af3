import { isIP } from "node:net";
import { formatFaults } from "@jasminetide/core/configuration";
import { AppError, normalizeError } from "@jasminetide/core/results";
import { routesDocumentSchema } from "@jasminetide/core/routes";
import { fetchNewerState } from "@jasminetide/gateway/peers";
import type { PlatformClient } from "@jasminetide/runtime/platform";
import {
  compareExceptionOrder,
  compareRoutes,
  compareTrees,
  createConfigurationTree,
  createDeclarationCounter,
  createRouteCounter,
  rankChanges,
  type RankedChange,
} from "../changes/mod.ts";
import { loadDeclaration } from "../declaration/mod.ts";
import { checkDocuments, type CheckResult } from "./check_documents.ts";
import type { DocumentFormat, VersionedBody } from "./document_kind.ts";

/** What differs from a version in force, or from another file. */
export type Comparison = {
  /** What the document is compared with. */
  against: string;
  /** Version that is in force there; 0 if none is, or of a file. */
  version: number;
  /** The document. */
  file: string;
  /**
   * Changes, those that affect most entries first; absent if no version is in
   * force.
   */
  changes?: RankedChange[];
};

/** Options of a comparison. */
export type ComparisonOptions = {
  /** `current`, the `ip:port` of a gateway, or a file. */
  against: string;
  /** Platform whose declaration is `current`. */
  platform: PlatformClient;
  formats?: readonly DocumentFormat[];
};

/** The version to compare with; without a document if none is in force. */
type OtherVersion = {
  type: VersionedBody["type"];
  version: number;
  versioned: VersionedBody | undefined;
};

/** Source that is the declaration in force at the platform. */
const platformSource = "current";

/**
 * Compares the checked document with another version of it.
 *
 * @returns undefined if the document has faults.
 * @throws AppError `invalidRequest` if there is no document of that kind,
 * `platformUnavailable` if the other version cannot be fetched.
 */
export async function compareInForce(
  { report, versioned }: CheckResult,
  options: ComparisonOptions,
): Promise<Comparison | undefined> {
  const { against } = options;
  const other = await loadOther(options);
  const { type, version } = other;
  const document = versioned.find((candidate) => candidate.type === type);
  if (document !== undefined) {
    const { file } = document;
    const changes = compare(other, document);
    return { against, version, file, ...(changes && { changes }) };
  }
  if (report.faults.length > 0) return undefined;
  throw AppError.create(
    "invalidRequest",
    `Cannot compare with "${against}": no checked document is of kind ${type}`,
  );
}

function compare(
  { versioned }: OtherVersion,
  document: VersionedBody,
): RankedChange[] | undefined {
  if (versioned?.type === "routes" && document.type === "routes") {
    const [before, after] = [versioned.body, document.body];
    const countAffected = createRouteCounter({ before, after });
    return rankChanges(compareRoutes(before, after), countAffected);
  }
  if (versioned?.type === "declaration" && document.type === "declaration") {
    const [before, after] = [versioned.body, document.body];
    const countAffected = createDeclarationCounter({ before, after });
    const changes = compareTrees(
      createConfigurationTree(before),
      createConfigurationTree(after),
    );
    return rankChanges(
      [...changes, ...compareExceptionOrder(before, after)],
      countAffected,
    );
  }
  return undefined;
}

function loadOther(options: ComparisonOptions): Promise<OtherVersion> {
  const { against } = options;
  if (against === platformSource) return loadInForce(options);
  return isAddress(against) ? fetchRoutes(against) : loadFile(options);
}

function isAddress(text: string): boolean {
  const [, host, port] = /^\[?(.+?)\]?:(\d+)$/.exec(text) ?? [];
  return port !== undefined && isIP(host) !== 0;
}

async function loadInForce(
  { platform }: ComparisonOptions,
): Promise<OtherVersion> {
  const accepted = await loadDeclaration(platform);
  return {
    type: "declaration",
    version: accepted?.version ?? 0,
    versioned: accepted && { type: "declaration", body: accepted.body },
  };
}

/** Position that no list of runners is later than. */
const latestPosition = {
  epoch: Number.MAX_SAFE_INTEGER,
  revision: Number.MAX_SAFE_INTEGER,
};

/** Fetches the routes of a gateway, without its runners. */
async function fetchRoutes(address: string): Promise<OtherVersion> {
  try {
    const { declaration } = await fetchNewerState(address, {
      version: 0,
      position: latestPosition,
    });
    if (declaration === undefined) {
      return { type: "routes", version: 0, versioned: undefined };
    }
    const body = routesDocumentSchema.parse(declaration);
    const { version } = body;
    return { type: "routes", version, versioned: { type: "routes", body } };
  } catch (thrown) {
    throw AppError.create(
      "platformUnavailable",
      `Cannot load the routes of gateway ${address}: ` +
        normalizeError(thrown).message,
      { cause: thrown },
    );
  }
}

async function loadFile(
  { against, formats }: ComparisonOptions,
): Promise<OtherVersion> {
  const { report, versioned: [document] } = await checkDocuments(
    [against],
    formats && { formats },
  );
  if (report.faults.length > 0) {
    throw AppError.create(
      "invalidConfiguration",
      formatFaults(report.faults),
    );
  }
  if (document === undefined) {
    throw AppError.create(
      "invalidRequest",
      `"${against}" is neither a declaration nor a routes document`,
    );
  }
  const version = document.type === "routes" ? document.body.version : 0;
  return { type: document.type, version, versioned: document };
}
