/**
 * Collects the chunks of a body. A client may send chunks of one byte, which would
 * each take a hundred times their size, and keep all bytes that were read with them.
 */

/** Size from which a chunk is kept as it is, in bytes. */
const LARGE_BYTES = 16 * 1024;
/** Share of the bytes that were read with a chunk from which on it is kept as it is; they stay with it. */
const KEPT_SHARE = 0.5;
/** Size of the blocks into which small chunks are copied, in bytes. */
const BLOCK_BYTES = 16 * 1024;

/** The chunks of one body. */
export class BodyBuffer {
  readonly #parts: Buffer[] = [];
  #block: Buffer = Buffer.alloc(0);
  #used = 0;

  add(chunk: Buffer): void {
    // Most bodies come in one chunk, which is not copied.
    const isKept = chunk.length >= LARGE_BYTES || this.#parts.length === 0;
    if (isKept && chunk.length >= KEPT_SHARE * chunk.buffer.byteLength) {
      this.#endBlock();
      this.#parts.push(chunk);
      return;
    }
    if (this.#used + chunk.length > this.#block.length) {
      this.#endBlock();
      const size = Math.max(BLOCK_BYTES, chunk.length);
      this.#block = Buffer.allocUnsafeSlow(size);
    }
    chunk.copy(this.#block, this.#used);
    this.#used += chunk.length;
  }

  #endBlock(): void {
    if (this.#used > 0) this.#parts.push(this.#block.subarray(0, this.#used));
    this.#block = Buffer.alloc(0);
    this.#used = 0;
  }

  /** Returns the whole body. */
  build(): Buffer {
    this.#endBlock();
    return Buffer.concat(this.#parts);
  }
}
