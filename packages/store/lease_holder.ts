/** Holds one control role by a lease in the store, as long as it may. */
import * as core from "@banyangrade/core";
import * as utils from "@banyangrade/utils";
import * as client from "./client.ts";

/** Who holds a role, as written in the store. */
export interface RoleRecord {
  readonly host: string;
  readonly incarnation: string;
  /** Unique per try, so that a lost answer can be recognised. */
  readonly writerToken: string;
  /** Where other hosts reach it, if they have reason to. */
  readonly contact?: RoleContact;
}

/** How the holder of a role is reached. */
export interface RoleContact {
  readonly address: string;
  /** Proves to it that the caller reads the same store. */
  readonly secret: string;
}

/** Options of {@link startLeaseHolder}. */
export interface LeaseHolderOptions {
  readonly store: client.KeyValueClient;
  readonly clock: utils.Clock;
  readonly log: utils.Logger;
  /** For example `orders/rosenheim`. */
  readonly role: string;
  readonly host: string;
  readonly incarnation: string;
  readonly terms: core.LeaseTerms;
  /** Longest time a predecessor's order can be under way, in ms. */
  readonly flightMs: number;
  /** Whether this host should try for the role; few should, each try is a call. */
  readonly isCandidate: () => boolean;
  /**
   * Time to wait in ms before a role that nobody holds is tried for. Hosts that
   * start together would all try at once, with four calls each for one winner.
   * @default 0
   */
  readonly getPauseMs?: () => number;
  /** Told when the role is won or lost. */
  readonly onChange: (lease: core.LeaseState) => void;
  /** How this host is reached as the holder. */
  readonly contact?: RoleContact;
  /** Told of another holder that was found in its place. */
  readonly onOther?: (record: RoleRecord) => void;
}

/** A role that is being held or tried for. */
export interface LeaseHolder {
  /** The lease as believed now; ask at the moment of acting. */
  readonly getLease: () => core.LeaseState;
  /** Resolves once it has been looked up for the first time who holds the role. */
  readonly looked: Promise<void>;
  /** Gives the role back, so that a successor need not wait for the lease's end. */
  readonly release: () => Promise<void>;
}

/**
 * Starts trying for a role.
 *
 * @example
 * const holder = startLeaseHolder({ store, role: "orders/rosenheim", ...rest });
 * core.mayAct(holder.getLease(), clock.now());
 */
export function startLeaseHolder(options: LeaseHolderOptions): LeaseHolder {
  let lease: core.LeaseState = { kind: "none" };
  let lapsed: core.LeaseState = { kind: "none" };
  let released = false;
  let markLooked = () => {};
  const looked = new Promise<void>((resolve) => {
    markLooked = resolve;
  });

  function setLease(next: core.LeaseState): void {
    const changed = next.kind !== lease.kind;
    lease = next;
    if (!changed) return;
    const verb = next.kind === "held" ? "won" : "lost";
    options.log.info({ role: options.role }, `Role ${verb}.`);
    options.onChange(next);
  }

  async function work(): Promise<void> {
    const before = lease.kind === "held" ? lease : lapsed;
    const next = await advanceLease(before, {
      ...options,
      onPause: markLooked,
    });
    markLooked();
    lapsed = next.kind === "held" ? next : { kind: "none" };
    if (!released && !core.isLeaseHeld(next, options.clock.now())) {
      setLease({ kind: "none" });
    } else if (!released) setLease(next);
    else if (next.kind === "held") {
      await options.store.revokeLease(next.leaseId);
    }
  }

  const stop = utils.startInterval(options.terms.ttlMs / 4, work);
  const first = setTimeout(() => void work(), 0);
  return {
    getLease: () => lease,
    looked,
    release: async () => {
      released = true;
      stop();
      clearTimeout(first);
      const held = lease;
      setLease({ kind: "none" });
      if (held.kind === "held") await options.store.revokeLease(held.leaseId);
    },
  };
}

/** What one step towards a lease needs. */
export interface AdvanceOptions
  extends Omit<LeaseHolderOptions, "log" | "onChange"> {
  /** Told that nobody holds the role and a pause begins. */
  readonly onPause?: () => void;
}

/**
 * Takes one step: renews the lease if it is held, else tries for it. A lease
 * that has ended by this host's own count is renewed too, as long as the store
 * does not say that it is gone: a store that was away may have stopped its own
 * count, and the role would stay empty until that lease ended there.
 *
 * @example
 * lease = await advanceLease(lease, options);
 */
export async function advanceLease(
  lease: core.LeaseState,
  options: AdvanceOptions,
): Promise<core.LeaseState> {
  if (lease.kind === "held") return await renew(lease, options);
  return options.isCandidate() ? await acquire(options) : lease;
}

async function renew(
  lease: Extract<core.LeaseState, { kind: "held" }>,
  options: AdvanceOptions,
): Promise<core.LeaseState> {
  const sentAt = options.clock.now();
  const renewed = await options.store.renewLease(lease.leaseId);
  if (renewed.ok && renewed.val) {
    return core.recordRenewed(lease, { sentAt, terms: options.terms });
  }
  // No answer says nothing of the lease: whoever asks sees when it ends.
  return renewed.ok ? { kind: "none" } : lease;
}

async function acquire(
  options: AdvanceOptions,
): Promise<core.LeaseState> {
  const key = getRoleKey(options.role);
  const { sentAt, current } = await readRole(key, options);
  if (current.err) return { kind: "none" };
  const holder = parseRole(current.val);
  if (current.val !== undefined && !isOwnPast(holder, options)) {
    if (holder !== undefined) options.onOther?.(holder);
    return { kind: "none" };
  }
  const granted = await options.store.grantLease(options.terms.ttlMs / 1_000);
  if (granted.err) return { kind: "none" };
  const record: RoleRecord = {
    host: options.host,
    incarnation: options.incarnation,
    writerToken: utils.createId(),
    ...(options.contact && { contact: options.contact }),
  };
  const swapped = await client.swapAndConfirm(options.store, {
    key,
    expected: current.val?.modRevision ?? 0,
    value: JSON.stringify(record),
    lease: granted.val,
  });
  if (swapped.err || swapped.val.kind === "lost") {
    const winner = swapped.ok && swapped.val.kind === "lost"
      ? parseRole(swapped.val.current)
      : undefined;
    if (winner !== undefined) options.onOther?.(winner);
    await options.store.revokeLease(granted.val);
    return { kind: "none" };
  }
  return core.recordAcquired({
    leaseId: granted.val,
    token: swapped.val.modRevision,
    sentAt,
    wonAt: options.clock.now(),
    flightMs: options.flightMs,
  }, options.terms);
}

function parseRole(
  entry: client.StoreEntry | undefined,
): RoleRecord | undefined {
  return entry && utils.parseJson(entry.value) as RoleRecord | undefined;
}

interface ReadRole {
  /** When the read was sent. */
  readonly sentAt: number;
  readonly current: utils.Result<
    client.StoreEntry | undefined,
    utils.StepError
  >;
}

/** Reads who holds a role; where nobody does, once more after a pause. */
async function readRole(
  key: string,
  options: AdvanceOptions,
): Promise<ReadRole> {
  const read = async (): Promise<ReadRole> => ({
    sentAt: options.clock.now(),
    current: await options.store.get(key),
  });
  const first = await read();
  const isFree = first.current.ok && first.current.val === undefined;
  const pauseMs = isFree ? options.getPauseMs?.() ?? 0 : 0;
  if (pauseMs === 0) return first;
  options.onPause?.();
  await utils.waitFor(pauseMs);
  return await read();
}

/**
 * Whether a role is held by this host's earlier process, which has ended: its
 * lease would keep the role empty, for longer still if the store was away.
 */
function isOwnPast(
  holder: RoleRecord | undefined,
  { host, incarnation }: AdvanceOptions,
): boolean {
  return holder?.host === host && holder.incarnation !== incarnation;
}

/**
 * Returns the key that names the holder of a role.
 *
 * @example
 * getRoleKey("orders/rosenheim"); // "banyangrade/roles/orders/rosenheim"
 */
export function getRoleKey(role: string): string {
  return `banyangrade/roles/${role}`;
}
