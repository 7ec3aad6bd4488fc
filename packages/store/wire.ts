/**
 * Messages of the etcd v3 JSON gateway, as far as they are used. Keys and
 * values travel in base64 and 64-bit numbers as decimal strings.
 */

/** A stored pair. */
export interface WirePair {
  readonly key: string;
  readonly value?: string;
  readonly mod_revision: string;
  readonly create_revision: string;
  readonly lease?: string;
}

/** Body of `/v3/kv/range`. */
export interface RangeRequest {
  readonly key: string;
  readonly range_end?: string;
  readonly limit?: string;
}

/** Answer of `/v3/kv/range`. */
export interface RangeAnswer {
  readonly header?: { readonly revision?: string };
  readonly kvs?: readonly WirePair[];
  readonly more?: boolean;
}

/** Body of `/v3/kv/txn`: one comparison, then a put or delete, else a read. */
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

/** Answer of `/v3/kv/txn`. */
export interface TxnAnswer {
  readonly header?: { readonly revision?: string };
  readonly succeeded?: boolean;
  readonly responses?: readonly { readonly response_range?: RangeAnswer }[];
}

/** Answers of the lease calls. */
export interface LeaseAnswer {
  readonly ID?: string;
  readonly TTL?: string;
}

/** One line of a watch. */
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
 * Encodes text for a key or value field.
 *
 * @example
 * encodeText("a"); // "YQ=="
 */
export function encodeText(text: string): string {
  return Buffer.from(text, "utf8").toString("base64");
}

/**
 * Decodes a key or value field.
 *
 * @example
 * decodeText("YQ=="); // "a"
 */
export function decodeText(field: string | undefined): string {
  return Buffer.from(field ?? "", "base64").toString("utf8");
}

/**
 * Returns the end of the range that holds every key with a prefix: the prefix
 * with its last byte one higher.
 *
 * @example
 * getRangeEnd("a/"); // "a0"
 */
export function getRangeEnd(prefix: string): string {
  const last = prefix.charCodeAt(prefix.length - 1);
  return prefix.slice(0, -1) + String.fromCharCode(last + 1);
}
