/** Reads the body of an answer up to a limit: its sender alone decides how long it is. */

/**
 * Reads a body as text; returns undefined, and ends the connection, if it is longer
 * than `maxBytes`.
 *
 * @example
 * const text = await readBoundedText(answer.body, 1024 * 1024);
 */
export async function readBoundedText(
  body: AsyncIterable<Uint8Array>,
  maxBytes: number,
): Promise<string | undefined> {
  const chunks: Uint8Array[] = [];
  let bytes = 0;
  for await (const chunk of body) {
    bytes += chunk.length;
    if (bytes > maxBytes) return undefined;
    chunks.push(chunk);
  }
  return Buffer.concat(chunks).toString("utf8");
}
