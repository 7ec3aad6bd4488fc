/**
 * The key-value service's state for the stand-ins: compare-and-swap, leases
 * and revisions as etcd defines them, without a clock or a socket.
 */

/** A stored pair. */
export interface KvPair {
  readonly key: string;
  readonly value: string;
  readonly createRevision: number;
  readonly modRevision: number;
  /** "0" without a lease. */
  readonly lease: string;
}

/** A change that watchers are told of. */
export type KvChange =
  | { readonly kind: "put"; readonly pair: KvPair }
  | { readonly kind: "delete"; readonly pair: KvPair };

interface Lease {
  readonly ttlMs: number;
  expiresAt: number;
}

/** All pairs and leases. */
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

  /** Lists the pairs with keys in [`from`, `to`), in order. */
  list(from: string, to: string): KvPair[] {
    return [...this.#pairs.values()]
      .filter((pair) => pair.key >= from && pair.key < to)
      .toSorted((a, b) => a.key < b.key ? -1 : 1);
  }

  /** Whether the key's last change has this revision; 0 means absent. */
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

  /** Renews a lease; returns its length, 0 if it has lapsed. */
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

  /** Drops the leases that have lapsed, and their pairs. */
  expire(now: number): void {
    [...this.#leases].filter(([, lease]) => lease.expiresAt <= now)
      .forEach(([id]) => this.revokeLease(id));
  }
}
