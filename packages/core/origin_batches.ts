/**
 * Batches of streams and the software versions that began them, as they are written to
 * the store: hosts that are all lost at once leave nothing else behind.
 */
import * as utils from "@banyangrade/utils";
import type * as streamOrigins from "./stream_origins.ts";

/** Bytes of a stream's number in a batch; it has 52 bits. */
const STREAM_BYTES = 7;
/** Bytes of the lower part of the number, which Node.js reads at once. */
const LOW_BYTES = 6;
const LOW_SIZE = 2 ** (8 * LOW_BYTES);
/** Largest number of streams in a batch; some 20 KB. */
export const MAX_BATCH = 2_000;

/**
 * Encodes streams by version.
 *
 * @example
 * encodeOrigins([[12, "v1"]]); // '{"v1":"AAAAAAAADA=="}'
 */
export function encodeOrigins(
  origins: readonly streamOrigins.OriginRecord[],
): string {
  const byVersion = new Map<string, number[]>();
  origins.forEach(([stream, software]) => {
    const streams = byVersion.get(software) ?? [];
    byVersion.set(software, streams);
    streams.push(stream);
  });
  return JSON.stringify(Object.fromEntries(
    [...byVersion].map(([software, streams]) =>
      [software, encodeStreams(streams)] as const
    ),
  ));
}

/**
 * Decodes streams; undefined if no host wrote the text so.
 *
 * @example
 * decodeOrigins('{"v1":"AAAAAAAADA=="}'); // [[12, "v1"]]
 */
export function decodeOrigins(
  text: string,
): streamOrigins.OriginRecord[] | undefined {
  const parsed = utils.parseJson(text);
  const isRecord = typeof parsed === "object" && parsed !== null &&
    !Array.isArray(parsed);
  if (!isRecord) return undefined;
  const decoded = Object.entries(parsed).map(([software, streams]) => ({
    software,
    bytes: decodeStreams(streams),
  }));
  if (decoded.some(({ bytes }) => bytes === undefined)) return undefined;
  return decoded.flatMap(({ software, bytes = Buffer.alloc(0) }) =>
    Array.from(
      { length: bytes.length / STREAM_BYTES },
      (_, index) =>
        [readStream(bytes, index * STREAM_BYTES), software] as const,
    )
  );
}

function encodeStreams(streams: readonly number[]): string {
  const bytes = Buffer.alloc(STREAM_BYTES * streams.length);
  streams.forEach((stream, index) => {
    const offset = STREAM_BYTES * index;
    bytes.writeUInt8(Math.floor(stream / LOW_SIZE), offset);
    bytes.writeUIntBE(stream % LOW_SIZE, offset + 1, LOW_BYTES);
  });
  return bytes.toString("base64");
}

function decodeStreams(value: unknown): Buffer | undefined {
  if (typeof value !== "string") return undefined;
  const bytes = Buffer.from(value, "base64");
  return bytes.length % STREAM_BYTES === 0 ? bytes : undefined;
}

function readStream(bytes: Buffer, offset: number): number {
  return bytes.readUInt8(offset) * LOW_SIZE +
    bytes.readUIntBE(offset + 1, LOW_BYTES);
}
