/** Text hashes with which all hosts compute the same ranking. */
import * as lru from "lru-cache";
import * as utils from "@banyangrade/utils";

/** Maximum number of cached hashes; bounded because engines and subjects change over time. */
const MAX_HASHES = 20_000;

const hashes = new lru.LRUCache<string, number>({ max: MAX_HASHES });

/**
 * Returns a hash of a text that is the same on every host.
 *
 * @example
 * engines.toSorted((a, b) => hashText(a.name) - hashText(b.name));
 */
export function hashText(text: string): number {
  const known = hashes.get(text);
  if (known !== undefined) return known;
  const hash = utils.hashSeed(text);
  hashes.set(text, hash);
  return hash;
}
