/**
 * Claims on operations that may run at most once. A claim is created in the
 * store before the operation is dispatched, so of two hosts that get the same
 * idempotency key only one can dispatch it.
 */
import * as utils from "@banyangrade/utils";
import * as client from "./client.ts";

/** How long an idempotency key is remembered, in seconds. */
export const CLAIM_TTL_SECONDS = 86_400;
/** A claim's lease is shared by the claims of this long, in ms. */
const LEASE_SHARED_MS = 3_600_000;
/** Largest answer that is kept for a caller who sends again, in bytes. */
export const KEPT_ANSWER_BYTES = 16_384;

/** A whole answer, kept for a caller who sends again. */
export interface KeptAnswer {
  readonly status: number;
  readonly contentType: string;
  readonly body: string;
}

/** What is known of a claimed operation. */
export type ClaimState =
  | { readonly kind: "claimed" }
  /** It ran; the answer is missing if it was too large to keep. */
  | { readonly kind: "done"; readonly answer?: KeptAnswer };

/** A claim as it stands in the store. */
export interface Claim {
  readonly state: ClaimState;
  readonly host: string;
  /** Digest of the request, so that a key is not reused for another one. */
  readonly fingerprint: string;
  /** Unique per try. */
  readonly writerToken: string;
}

/** A claim this host made. */
export interface OwnClaim {
  readonly key: string;
  readonly claim: Claim;
  readonly modRevision: number;
}

/** What a try to claim came to. */
export type ClaimOutcome =
  | { readonly kind: "claimed"; readonly own: OwnClaim }
  | { readonly kind: "exists"; readonly claim: Claim };

/** Makes and settles claims for one host. */
export interface ClaimKeeper {
  readonly claim: (
    operation: {
      readonly customer: string;
      readonly idempotencyKey: string;
      readonly fingerprint: string;
    },
  ) => Promise<utils.Result<ClaimOutcome, utils.StepError>>;
  /** Records that it ran, with the answer where it is small enough. */
  readonly complete: (own: OwnClaim, answer?: KeptAnswer) => Promise<void>;
  /** Takes the claim back; only for an operation that certainly did not run. */
  readonly release: (own: OwnClaim) => Promise<void>;
  /**
   * Takes back claims that could not be taken back at once: those whose answer
   * was lost, so that the operation was never dispatched, and those whose
   * release failed. Without it their callers would be told for a day that the
   * operation may have run.
   */
  readonly tidy: () => Promise<void>;
}

/** Tries to take back one claim before it is left to lapse. */
const TIDY_TRIES = 60;
/** Most claims that are waiting to be taken back. */
const TIDY_LIMIT = 10_000;

/**
 * Makes a claim keeper.
 *
 * @example
 * const claims = createClaimKeeper({ store, host: "rosenheim-1", clock });
 * const outcome = await claims.claim({ customer, idempotencyKey, fingerprint });
 */
export function createClaimKeeper(options: {
  readonly store: client.StoreClient;
  readonly host: string;
  readonly clock: utils.Clock;
}): ClaimKeeper {
  const { store } = options;
  const getLease = createSharedLease(store, options.clock);
  const stale = new Map<string, StaleClaim>();

  function addStale(key: string, claim: Claim): void {
    if (stale.size >= TIDY_LIMIT) return;
    stale.set(claim.writerToken, { key, claim, tries: TIDY_TRIES });
  }

  return {
    claim: async (operation) => {
      const lease = await getLease();
      if (lease.err) return lease;
      const claim: Claim = {
        state: { kind: "claimed" },
        host: options.host,
        fingerprint: operation.fingerprint,
        writerToken: utils.createId(),
      };
      const key = getClaimKey(operation);
      const swapped = await client.swapAndConfirm(store, {
        key,
        expected: 0,
        value: JSON.stringify(claim),
        lease: lease.val,
      });
      if (swapped.err) addStale(key, claim);
      return swapped.map((outcome) => readOutcome(outcome, { key, claim }));
    },
    complete: async (own, answer) => {
      const kept = answer && answer.body.length <= KEPT_ANSWER_BYTES
        ? answer
        : undefined;
      const state: ClaimState = kept === undefined
        ? { kind: "done" }
        : { kind: "done", answer: kept };
      const lease = await getLease();
      await client.swapAndConfirm(store, {
        key: own.key,
        expected: own.modRevision,
        value: JSON.stringify({ ...own.claim, state }),
        ...(lease.ok ? { lease: lease.val } : {}),
      });
    },
    release: async (own) => {
      const swapped = await client.swapAndConfirm(store, {
        key: own.key,
        expected: own.modRevision,
        value: undefined,
      });
      if (swapped.err) addStale(own.key, own.claim);
    },
    tidy: async () => {
      const entries = [...stale.values()];
      await Promise.all(entries.map((one) => tidyOne(store, { one, stale })));
    },
  };
}

interface StaleClaim {
  readonly key: string;
  readonly claim: Claim;
  readonly tries: number;
}

/** An absent claim may still be on its way to the store, so it is looked for again. */
async function tidyOne(
  store: client.StoreClient,
  { one, stale }: {
    readonly one: StaleClaim;
    readonly stale: Map<string, StaleClaim>;
  },
): Promise<void> {
  const token = one.claim.writerToken;
  if (one.tries <= 0) return void stale.delete(token);
  stale.set(token, { ...one, tries: one.tries - 1 });
  const entry = await store.get(one.key);
  if (entry.err || entry.val === undefined) return;
  const found = JSON.parse(entry.val.value) as Claim;
  if (found.writerToken !== token || found.state.kind !== "claimed") {
    return void stale.delete(token);
  }
  const { key, modRevision: expected } = entry.val;
  const swapped = await store.swap({ key, expected, value: undefined });
  if (swapped.ok) stale.delete(token);
}

function getClaimKey(
  operation: { readonly customer: string; readonly idempotencyKey: string },
): string {
  const digest = utils.computeDigest(
    utils.formatCanonical([operation.customer, operation.idempotencyKey]),
  );
  return `banyangrade/claims/${digest}`;
}

function readOutcome(
  outcome: client.SwapOutcome,
  { key, claim }: { readonly key: string; readonly claim: Claim },
): ClaimOutcome {
  if (outcome.kind === "won") {
    return {
      kind: "claimed",
      own: { key, claim, modRevision: outcome.modRevision },
    };
  }
  const found = outcome.current;
  // A claim that vanished between the two steps was released: still not ours.
  return {
    kind: "exists",
    claim: found === undefined ? claim : JSON.parse(found.value) as Claim,
  };
}

/** One lease for all claims of an hour: a lease each would double the writes. */
function createSharedLease(
  store: client.StoreClient,
  clock: utils.Clock,
): () => Promise<utils.Result<string, utils.StepError>> {
  let current:
    | { readonly lease: utils.Result<string, utils.StepError>; until: number }
    | undefined;
  return async () => {
    if (current !== undefined && clock.now() < current.until) {
      return current.lease;
    }
    const lease = await store.grantLease(CLAIM_TTL_SECONDS);
    if (lease.ok) current = { lease, until: clock.now() + LEASE_SHARED_MS };
    return lease;
  };
}
