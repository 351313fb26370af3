import {
  applyHostList,
  type MemberRow,
  type MembershipTables,
} from "@jasminetide/core/membership";
import {
  applyDrains,
  type DrainIntent,
  DrainReader,
  type HostRecord,
  type PlatformClient,
} from "../platform/mod.ts";
import { getReadPeriodMs, isFrequentReader, listMembers } from "./host_list.ts";
import {
  createReadBudget,
  type ReadBudget,
  spendReadBudget,
} from "./read_budget.ts";

/** Source and destination of the host list. */
export type HostListReaderOptions = {
  tables: MembershipTables;
  platform: PlatformClient;
  /** Reports a failed read; the last data read stays in use. */
  warn: (event: string, thrown: unknown) => void;
  nowMs: number;
};

/** Reads the host list and the operators' drains within a byte budget. */
export class HostListReader {
  readonly #options: HostListReaderOptions;
  readonly #budget: ReadBudget;
  readonly #drainReader: DrainReader;
  #drains: DrainIntent[] = [];
  #nextReadAtMs = 0;
  #isReading = false;

  private constructor(options: HostListReaderOptions) {
    this.#options = options;
    this.#budget = createReadBudget(options.nowMs);
    this.#drainReader = DrainReader.create(options.platform);
  }

  /** Creates a reader whose first read is due immediately. */
  static create(options: HostListReaderOptions): HostListReader {
    return new HostListReader(options);
  }

  /** Checks whether the next read is due. */
  isDue(nowMs: number): boolean {
    return nowMs >= this.#nextReadAtMs && !this.#isReading;
  }

  /**
   * Reads the list into the tables.
   *
   * @returns members that are newly marked as leaving, to be sent to peers.
   */
  async read(nowMs: number): Promise<MemberRow[]> {
    const { platform, tables, warn } = this.#options;
    this.#isReading = true;
    this.#nextReadAtMs = nowMs + getReadPeriodMs(tables);
    const beforeBytes = platform.hostListBytes;
    let leaving: MemberRow[] = [];
    try {
      leaving = applyHostList(tables, listMembers(await this.#load()));
    } catch (thrown) {
      warn("host-list-failed", thrown);
    }
    const sizeBytes = platform.hostListBytes - beforeBytes;
    const waitMs = spendReadBudget(this.#budget, { tables, sizeBytes, nowMs });
    this.#nextReadAtMs = Math.max(this.#nextReadAtMs, nowMs + waitMs);
    this.#isReading = false;
    return leaving;
  }

  /** Loads the host list and applies the operators' drains to it. */
  async #load(): Promise<HostRecord[]> {
    const { platform, tables, warn } = this.#options;
    const hosts = await platform.loadHosts();
    if (!isFrequentReader(tables)) return hosts;
    try {
      this.#drains = await this.#drainReader.load();
    } catch (thrown) {
      warn("drains-failed", thrown);
    }
    return applyDrains(hosts, this.#drains);
  }
}
