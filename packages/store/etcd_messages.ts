/**
 * The messages of the etcd v3 JSON gateway that this project uses. Keys and
 * values are encoded as base64, 64-bit integers as decimal strings.
 */

/** A stored key-value pair. */
export interface WirePair {
  readonly key: string;
  readonly value?: string;
  readonly mod_revision: string;
  readonly create_revision: string;
  readonly lease?: string;
}

/** Request body of `/v3/kv/range`. */
export interface RangeRequest {
  readonly key: string;
  readonly range_end?: string;
  readonly limit?: string;
}

/** Response body of `/v3/kv/range`. */
export interface RangeResponse {
  readonly header?: { readonly revision?: string };
  readonly kvs?: readonly WirePair[];
  readonly more?: boolean;
}

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
export interface TxnResponse {
  readonly header?: { readonly revision?: string };
  readonly succeeded?: boolean;
  readonly responses?: readonly { readonly response_range?: RangeResponse }[];
}

/** Response body of the lease calls. */
export interface LeaseResponse {
  readonly ID?: string;
  readonly TTL?: string;
}

/** One line of the response stream of `/v3/watch`. */
export interface WatchLine {
  readonly result?: {
    readonly created?: boolean;
    readonly canceled?: boolean;
    readonly header?: { readonly revision?: string };
    readonly events?: readonly {
      readonly type?: "PUT" | "DELETE";
      readonly kv: WirePair;
    }[];
  };
}

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
