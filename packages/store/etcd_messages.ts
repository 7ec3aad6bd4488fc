/**
 * The messages of the etcd v3 JSON gateway that this project uses. Keys and
 * values are encoded as base64, 64-bit integers as decimal strings.
 */
import * as z from "zod";

/** A number as text. */
const NUMBER = z.string().min(1).refine((text) =>
  Number.isFinite(Number(text))
);
/** What each answer says of the store; it distinguishes an answer that lists nothing from none. */
const HEADER = z.object({ revision: NUMBER });

/** A stored key-value pair. */
export const PAIR = z.object({
  key: z.string(),
  value: z.string().optional(),
  mod_revision: NUMBER,
  create_revision: NUMBER.optional(),
  lease: z.string().optional(),
});

/** A stored key-value pair, decoded from JSON. */
export type WirePair = z.infer<typeof PAIR>;

/** Request body of `/v3/kv/range`. */
export interface RangeRequest {
  readonly key: string;
  readonly range_end?: string;
  readonly limit?: string;
}

/** Response body of `/v3/kv/range`. */
export const RANGE_RESPONSE = z.object({
  header: HEADER,
  kvs: z.array(PAIR).optional(),
  more: z.boolean().optional(),
});

/** A response to a range read. */
export type RangeResponse = z.infer<typeof RANGE_RESPONSE>;

/** Request body of `/v3/kv/txn`: a comparison, a put or delete if it succeeds, and a read if it fails. */
export interface TxnRequest {
  readonly compare: readonly {
    readonly key: string;
    readonly target: "MOD";
    readonly result: "EQUAL";
    readonly mod_revision: string;
  }[];
  readonly success: readonly {
    readonly request_put?: { key: string; value: string; lease?: string };
    readonly request_delete_range?: { key: string };
  }[];
  readonly failure: readonly { readonly request_range: RangeRequest }[];
}

/** Response body of `/v3/kv/txn`. */
export const TXN_RESPONSE = z.object({
  header: HEADER,
  succeeded: z.boolean().optional(),
  responses: z.array(z.object({
    response_range: z.object({ kvs: z.array(PAIR).optional() }).optional(),
  })).optional(),
});

/** A response to a transaction. */
export type TxnResponse = z.infer<typeof TXN_RESPONSE>;

/** Response body of `/v3/lease/grant`. */
export const GRANT_RESPONSE = z.object({ ID: z.string().min(1) });

/** Response body of `/v3/lease/keepalive`; a lease that has expired has no time to live. */
export const KEEPALIVE_RESPONSE = z.object({
  result: z.object({ TTL: NUMBER.optional() }),
});

/** Response body of `/v3/lease/revoke`. */
export const REVOKE_RESPONSE = z.object({});

/** One line of the response stream of `/v3/watch`. */
export const WATCH_LINE = z.object({
  result: z.object({
    created: z.boolean().optional(),
    canceled: z.boolean().optional(),
    events: z.array(z.object({
      type: z.enum(["PUT", "DELETE"]).optional(),
      kv: PAIR,
    })).optional(),
  }).optional(),
});

/** One line of that stream. */
export type WatchLine = z.infer<typeof WATCH_LINE>;

/**
 * Encodes text as base64 for a key or value field.
 *
 * @example
 * encodeText("a"); // "YQ=="
 */
export function encodeText(text: string): string {
  return Buffer.from(text, "utf8").toString("base64");
}

/**
 * Decodes a base64 key or value field; an absent field is empty text.
 *
 * @example
 * decodeText("YQ=="); // "a"
 */
export function decodeText(field: string | undefined): string {
  return Buffer.from(field ?? "", "base64").toString("utf8");
}

/**
 * Returns the exclusive end of the range that holds all keys with a prefix: the
 * prefix with its last character incremented.
 *
 * @example
 * getRangeEnd("a/"); // "a0"
 */
export function getRangeEnd(prefix: string): string {
  const last = prefix.charCodeAt(prefix.length - 1);
  return prefix.slice(0, -1) + String.fromCharCode(last + 1);
}
