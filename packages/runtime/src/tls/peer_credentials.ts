import { constants, X509Certificate } from "node:crypto";
import { readFile } from "node:fs/promises";
import { createSecureContext } from "node:tls";
import { AppError } from "@jasminetide/core/results";
import type { TimerService, TimerSubscription } from "@jasminetide/core/timers";
import type { Logger } from "../logging/mod.ts";

/** Paths of the PEM files with the credentials of a process. */
export type TlsFiles = {
  certificateFile: string;
  keyFile: string;
  authorityFile: string;
};

/** Certificate, key and trusted authority of a process, in PEM. */
export type TlsMaterial = { cert: string; key: string; ca: string };

/** Files of the credentials and the services that reload them. */
export type PeerCredentialsOptions = {
  files: TlsFiles;
  timers: TimerService;
  logger: Logger;
};

/** Period at which the files are compared with the credentials in use. */
const reloadPeriodMs = 10_000;

/**
 * Certificate, key and authority of a process. The files are read again at a
 * fixed period, and subscribers are notified when the contents changed.
 */
export class PeerCredentials {
  readonly #options: PeerCredentialsOptions;
  readonly #handlers = new Set<() => void>();
  readonly #reloadTimer: TimerSubscription;
  #material: TlsMaterial;
  #lastFailure = "";

  private constructor(options: PeerCredentialsOptions, material: TlsMaterial) {
    this.#options = options;
    this.#material = material;
    this.#reloadTimer = options.timers.subscribe(
      reloadPeriodMs,
      () => void this.reload(),
    );
  }

  /**
   * Loads the files.
   *
   * @throws AppError `invalidSettings` when one is absent or the key does not
   * belong to the certificate.
   */
  static async create(
    options: PeerCredentialsOptions,
  ): Promise<PeerCredentials> {
    return new PeerCredentials(options, await loadMaterial(options.files));
  }

  /** Credentials in use. */
  get material(): TlsMaterial {
    return this.#material;
  }

  /** Options of listeners; peers are checked on each request. */
  get serverOptions() {
    return {
      ...this.#material,
      requestCert: true,
      rejectUnauthorized: false,
      // A resumed session would skip the check of the peer's certificate.
      secureOptions: constants.SSL_OP_NO_TICKET,
    };
  }

  /** Options of clients; a server's certificate must contain its address. */
  get clientOptions() {
    return {
      ...this.#material,
      rejectUnauthorized: true,
      maxCachedSessions: 0,
    };
  }

  /** Calls the handler after each change of the credentials in use. */
  subscribe(handler: () => void): Disposable {
    this.#handlers.add(handler);
    return { [Symbol.dispose]: () => this.#handlers.delete(handler) };
  }

  /**
   * Reads the files and uses them if they changed and the key belongs to the
   * certificate; otherwise the credentials in use stay.
   */
  async reload(): Promise<void> {
    const { files, logger } = this.#options;
    let material: TlsMaterial;
    try {
      material = await loadMaterial(files);
    } catch (error) {
      this.#recordFailure(error as AppError);
      return;
    }
    this.#lastFailure = "";
    if (isSame(material, this.#material)) return;
    this.#material = material;
    for (const handler of this.#handlers) handler();
    logger.info("certificates-reloaded", {
      expires: new X509Certificate(material.cert).validTo,
    });
  }

  [Symbol.dispose](): void {
    this.#reloadTimer[Symbol.dispose]();
    this.#handlers.clear();
  }

  /** Logs a failure, but not again while the same failure lasts. */
  #recordFailure(error: AppError): void {
    if (this.#lastFailure === error.message) return;
    this.#lastFailure = error.message;
    this.#options.logger.error("certificates-not-reloaded", {
      code: error.code,
      detail: error.message,
    });
  }
}

async function loadMaterial(files: TlsFiles): Promise<TlsMaterial> {
  const { certificateFile, keyFile, authorityFile } = files;
  try {
    const [cert, key, ca] = await Promise.all(
      [certificateFile, keyFile, authorityFile].map((file) =>
        readFile(file, "utf8")
      ),
    );
    // Throws when the key does not belong to the certificate.
    createSecureContext({ cert, key, ca });
    return { cert, key, ca };
  } catch (error) {
    throw AppError.create(
      "invalidSettings",
      `Cannot use certificate "${certificateFile}" with key "${keyFile}" and ` +
        `authority "${authorityFile}"`,
      { cause: error },
    );
  }
}

function isSame(left: TlsMaterial, right: TlsMaterial): boolean {
  return left.cert === right.cert && left.key === right.key &&
    left.ca === right.ca;
}
