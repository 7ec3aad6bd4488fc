/** Divides what a client sends into pieces that begin few requests. */

/** Fewest bytes of a piece, so that a body of empty lines is not parsed byte by byte. */
const MIN_PIECE_BYTES = 128;
/** Most lines of a piece: each chunk of a body takes two, and is delivered by itself. */
const MAX_PIECE_LINES = 32;
const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;

/**
 * Returns the length of the first piece of bytes: up to an empty line, which ends
 * the head of each request, and at most 32 lines. A piece begins at most as many
 * requests as fit into 128 bytes.
 *
 * @example
 * findPieceEnd(Buffer.from("GET / HTTP/1.1\r\n\r\n")); // 18 bytes
 */
export function findPieceEnd(bytes: Buffer): number {
  let from = MIN_PIECE_BYTES - 1;
  for (let lines = 0; lines < MAX_PIECE_LINES; lines += 1) {
    const feed = bytes.indexOf(LINE_FEED, from);
    if (feed === -1) return bytes.length;
    const before = bytes[feed - 1] === CARRIAGE_RETURN ? feed - 2 : feed - 1;
    if (bytes[before] === LINE_FEED) return feed + 1;
    from = feed + 1;
  }
  return from;
}
