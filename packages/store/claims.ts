/**
 * Claims on operations that may run at most once. A claim is created in the store
 * before the operation is dispatched, so if two hosts receive the same idempotency
 * key, only one of them can dispatch the operation.
 */
import * as utils from "@banyangrade/utils";
import * as client from "./client.ts";

/** Time for which an idempotency key is stored, in seconds. */
export const CLAIM_TTL_SECONDS = 86_400;
/** Time for which new claims share one lease, in ms. */
const SHARED_LEASE_USE_MS = 3_600_000;
/** Maximum size of a response that is stored for retries of its request, in bytes. */
export const MAX_STORED_RESPONSE_BYTES = 16_384;

/** A complete response, stored for retries of its request. */
export interface StoredResponse {
  readonly status: number;
  readonly contentType: string;
  readonly body: string;
}

/** State of a claimed operation. */
export type ClaimState =
  | { readonly kind: "claimed" }
  /** The operation ran. The response is absent if it was too large to store. */
  | { readonly kind: "done"; readonly answer?: StoredResponse };

/** A claim as stored. */
export interface Claim {
  readonly state: ClaimState;
  readonly host: string;
  /** Digest of the request, to detect an idempotency key that is reused for a different request. */
  readonly fingerprint: string;
  /** Unique for each attempt to claim, so that a write whose response was lost can be recognised. */
  readonly writerToken: string;
}

/** A claim that this host created. */
export interface OwnClaim {
  readonly key: string;
  readonly claim: Claim;
  readonly modRevision: number;
}

/** Result of an attempt to claim an operation. */
export type ClaimOutcome =
  | { readonly kind: "claimed"; readonly own: OwnClaim }
  | { readonly kind: "exists"; readonly claim: Claim };

/** Creates, completes and releases the claims of one host. */
export interface ClaimKeeper {
  readonly claim: (
    operation: {
      readonly customer: string;
      readonly idempotencyKey: string;
      readonly fingerprint: string;
    },
  ) => Promise<utils.Result<ClaimOutcome, utils.StepError>>;
  /** Records that the operation ran, and stores its response unless it is too large. */
  readonly complete: (own: OwnClaim, answer?: StoredResponse) => Promise<void>;
  /** Deletes the claim. Only allowed if the operation certainly did not run. */
  readonly release: (own: OwnClaim) => Promise<void>;
  /**
   * Retries the deletion of stale claims: claims whose creation had an unknown
   * outcome, so that the operation was never dispatched, and claims whose release
   * failed. Until such a claim expires after a day, its callers learn only that the
   * operation may have run.
   */
  readonly releaseStale: () => Promise<void>;
}

/** Maximum attempts to delete a stale claim; after that it remains until its lease expires. */
const MAX_CLEANUP_ATTEMPTS = 60;
/** Maximum number of stale claims that are tracked for deletion. */
const MAX_STALE_CLAIMS = 10_000;

/**
 * Creates the claim keeper of a host.
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
    if (stale.size >= MAX_STALE_CLAIMS) return;
    stale.set(claim.writerToken, {
      key,
      claim,
      remaining: MAX_CLEANUP_ATTEMPTS,
    });
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
      return swapped.map((outcome) => parseOutcome(outcome, { key, claim }));
    },
    complete: async (own, answer) => {
      const stored = answer && answer.body.length <= MAX_STORED_RESPONSE_BYTES
        ? answer
        : undefined;
      const state: ClaimState = stored === undefined
        ? { kind: "done" }
        : { kind: "done", answer: stored };
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
    releaseStale: async () => {
      const entries = [...stale.values()];
      await Promise.all(
        entries.map((staleClaim) => tidyClaim(store, { staleClaim, stale })),
      );
    },
  };
}

interface StaleClaim {
  readonly key: string;
  readonly claim: Claim;
  readonly remaining: number;
}

/** Tries to delete a stale claim. A claim that is absent stays tracked, because its write may still reach the store. */
async function tidyClaim(
  store: client.StoreClient,
  { staleClaim, stale }: {
    readonly staleClaim: StaleClaim;
    readonly stale: Map<string, StaleClaim>;
  },
): Promise<void> {
  const token = staleClaim.claim.writerToken;
  if (staleClaim.remaining <= 0) return void stale.delete(token);
  stale.set(token, { ...staleClaim, remaining: staleClaim.remaining - 1 });
  const entry = await store.get(staleClaim.key);
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

function parseOutcome(
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
  // A claim that is absent after the failed comparison was released in the
  // meantime; this host does not hold it.
  return {
    kind: "exists",
    claim: found === undefined ? claim : JSON.parse(found.value) as Claim,
  };
}

/** Shares one lease between all claims of an hour, because one lease per claim would double the writes. */
function createSharedLease(
  store: client.StoreClient,
  clock: utils.Clock,
): () => Promise<utils.Result<string, utils.StepError>> {
  let shared:
    | { readonly lease: utils.Result<string, utils.StepError>; until: number }
    | undefined;
  return async () => {
    if (shared !== undefined && clock.now() < shared.until) {
      return shared.lease;
    }
    const lease = await store.grantLease(CLAIM_TTL_SECONDS);
    if (lease.ok) shared = { lease, until: clock.now() + SHARED_LEASE_USE_MS };
    return lease;
  };
}
