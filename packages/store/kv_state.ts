/**
 * In-memory state of the key-value store for the fake and the simulated store:
 * compare-and-swap, leases and revisions with the semantics of etcd, without a
 * clock or a socket.
 */

/** A stored key-value pair. */
export interface KvPair {
  readonly key: string;
  readonly value: string;
  readonly createRevision: number;
  readonly modRevision: number;
  /** Id of the lease; "0" without a lease. */
  readonly lease: string;
}

/** A change that is sent to watchers. */
export type KvChange =
  | { readonly kind: "put"; readonly pair: KvPair }
  | { readonly kind: "delete"; readonly pair: KvPair };

interface Lease {
  readonly ttlMs: number;
  expiresAt: number;
}

/** All key-value pairs and leases of a store. */
export class KvState {
  readonly #pairs = new Map<string, KvPair>();
  readonly #leases = new Map<string, Lease>();
  readonly #onChange: (change: KvChange) => void;
  #nextLease = 1;
  revision = 1;

  constructor(onChange: (change: KvChange) => void = () => undefined) {
    this.#onChange = onChange;
  }

  get(key: string): KvPair | undefined {
    return this.#pairs.get(key);
  }

  /** Lists the pairs with keys in [`from`, `to`), sorted by key. */
  list(from: string, to: string): KvPair[] {
    return [...this.#pairs.values()]
      .filter((pair) => pair.key >= from && pair.key < to)
      .toSorted((a, b) => a.key < b.key ? -1 : 1);
  }

  /** Whether the key was last changed at this revision; 0 means that it is absent. */
  isAt(key: string, revision: number): boolean {
    return (this.#pairs.get(key)?.modRevision ?? 0) === revision;
  }

  put(
    key: string,
    { value, lease = "0" }: { value: string; lease?: string },
  ): void {
    this.revision += 1;
    const pair = {
      key,
      value,
      createRevision: this.#pairs.get(key)?.createRevision ?? this.revision,
      modRevision: this.revision,
      lease,
    };
    this.#pairs.set(key, pair);
    this.#onChange({ kind: "put", pair });
  }

  remove(key: string): void {
    const pair = this.#pairs.get(key);
    if (pair === undefined) return;
    this.revision += 1;
    this.#pairs.delete(key);
    this.#onChange({ kind: "delete", pair });
  }

  hasLease(id: string): boolean {
    return this.#leases.has(id);
  }

  grantLease(ttlMs: number, now: number): string {
    const id = String(this.#nextLease);
    this.#nextLease += 1;
    this.#leases.set(id, { ttlMs, expiresAt: now + ttlMs });
    return id;
  }

  /** Renews a lease; returns its time to live in ms, 0 if it has expired. */
  renewLease(id: string, now: number): number {
    const lease = this.#leases.get(id);
    if (lease === undefined) return 0;
    lease.expiresAt = now + lease.ttlMs;
    return lease.ttlMs;
  }

  revokeLease(id: string): void {
    this.#leases.delete(id);
    [...this.#pairs.values()].filter((pair) => pair.lease === id)
      .forEach((pair) => this.remove(pair.key));
  }

  /** Removes expired leases and their pairs. */
  expire(now: number): void {
    [...this.#leases].filter(([, lease]) => lease.expiresAt <= now)
      .forEach(([id]) => this.revokeLease(id));
  }
}
