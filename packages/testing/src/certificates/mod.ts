/** Generates certificates for tests. */
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { generate, type GenerateResult } from "selfsigned";

/** A certificate and its private key in PEM format. */
export type Certificate = { cert: string; key: string };

/** Validity of a certificate; one year from now by default. */
export type CertificateDates = { notBeforeDate?: Date; notAfterDate?: Date };

/** Paths of the certificate files of a process. */
export type CertificateFiles = {
  certificateFile: string;
  keyFile: string;
  authorityFile: string;
};

const keyOptions = { keyType: "ec", algorithm: "sha256" } as const;

/** Creates a certificate authority. */
export async function createAuthority(
  name = "authority",
): Promise<Certificate> {
  const generated = await generate([{ name: "commonName", value: name }], {
    ...keyOptions,
    extensions: [
      { name: "basicConstraints", cA: true, critical: true },
      { name: "keyUsage", keyCertSign: true, critical: true },
    ],
  });
  return convert(generated);
}

/** Creates a certificate for a process on the loopback address. */
export async function createCertificate(
  authority: Certificate,
  dates: CertificateDates = {},
): Promise<Certificate> {
  const generated = await generate([{ name: "commonName", value: "process" }], {
    ...keyOptions,
    ca: authority,
    extensions: [
      { name: "basicConstraints", cA: false },
      { name: "subjectAltName", altNames: [{ type: 7, ip: "127.0.0.1" }] },
    ],
    ...dates,
  });
  return convert(generated);
}

/** A temporary folder of certificate files; disposing of it removes it. */
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

  /** Writes a new certificate, replacing the one of the same name. */
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

function convert(result: GenerateResult): Certificate {
  return { cert: result.cert, key: result.private };
}
