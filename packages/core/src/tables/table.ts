/**
 * A table of rows by identifier, in insertion order. Its users read and modify
 * the rows in place.
 */
export class Table<Id extends string | number, Row> {
  #rows = new Map<Id, Row>();

  private constructor() {}

  /** Creates an empty table. */
  static create<Id extends string | number, Row>(): Table<Id, Row> {
    return new Table<Id, Row>();
  }

  get size(): number {
    return this.#rows.size;
  }

  get(id: Id): Row | undefined {
    return this.#rows.get(id);
  }

  has(id: Id): boolean {
    return this.#rows.has(id);
  }

  set(id: Id, row: Row): void {
    this.#rows.set(id, row);
  }

  delete(id: Id): boolean {
    return this.#rows.delete(id);
  }

  rows(): IterableIterator<Row> {
    return this.#rows.values();
  }

  entries(): IterableIterator<[Id, Row]> {
    return this.#rows.entries();
  }
}
