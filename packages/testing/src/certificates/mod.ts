/** Certificates for tests, made anew for each. */
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { generate, type GenerateResult } from "selfsigned";

/** A certificate and its key, in PEM. */
export type Certificate = { cert: string; key: string };

/** Validity of a certificate; a year from now when absent. */
export type CertificateDates = { notBeforeDate?: Date; notAfterDate?: Date };

/** Names of a process's files. */
export type CertificateFiles = {
  certificateFile: string;
  keyFile: string;
  authorityFile: string;
};

const shared = { keyType: "ec", algorithm: "sha256" } as const;

/** Creates an authority that can sign certificates. */
export async function createAuthority(
  name = "authority",
): Promise<Certificate> {
  const made = await generate([{ name: "commonName", value: name }], {
    ...shared,
    extensions: [
      { name: "basicConstraints", cA: true, critical: true },
      { name: "keyUsage", keyCertSign: true, critical: true },
    ],
  });
  return convert(made);
}

/** Creates a certificate of a process on the loopback address. */
export async function createCertificate(
  authority: Certificate,
  dates: CertificateDates = {},
): Promise<Certificate> {
  const made = await generate([{ name: "commonName", value: "process" }], {
    ...shared,
    ca: authority,
    extensions: [
      { name: "basicConstraints", cA: false },
      { name: "subjectAltName", altNames: [{ type: 7, ip: "127.0.0.1" }] },
    ],
    ...dates,
  });
  return convert(made);
}

/** A folder of certificate files, removed with its owner. */
export class CertificateFolder {
  readonly #directory: string;

  private constructor(directory: string) {
    this.#directory = directory;
  }

  /** Creates an empty folder. */
  static async create(): Promise<CertificateFolder> {
    return new CertificateFolder(
      await mkdtemp(join(tmpdir(), "jasminetide-certificates-")),
    );
  }

  /** Writes a new certificate of an authority, over the one before. */
  async write(
    name: string,
    authority: Certificate,
    dates: CertificateDates = {},
  ): Promise<CertificateFiles> {
    const files = {
      certificateFile: join(this.#directory, `${name}.pem`),
      keyFile: join(this.#directory, `${name}.key`),
      authorityFile: join(this.#directory, `${name}-authority.pem`),
    };
    const { cert, key } = await createCertificate(authority, dates);
    await writeFile(files.certificateFile, cert);
    await writeFile(files.keyFile, key);
    await writeFile(files.authorityFile, authority.cert);
    return files;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await rm(this.#directory, { recursive: true });
  }
}

function convert(made: GenerateResult): Certificate {
  return { cert: made.cert, key: made.private };
}
