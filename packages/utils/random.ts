/** Seeded random numbers, so that decisions, tests and the bench are reproducible. */
import * as digest from "./digest.ts";
import * as generator from "pure-rand/generator/xoroshiro128plus";
import * as float from "pure-rand/distribution/uniformFloat64";

/** A random number generator. */
export interface Random {
  /** Returns the next number in [0, 1). */
  readonly next: () => number;
  /** Returns the next integer in [0, `below`). */
  readonly below: (below: number) => number;
}

/**
 * Creates a generator from a seed; equal seeds give equal sequences.
 *
 * @example
 * const random = createRandom(42);
 * random.below(6);
 */
export function createRandom(seed: number): Random {
  const source = generator.xoroshiro128plus(seed | 0);
  const next = () => float.uniformFloat64(source);
  return { next, below: (below) => Math.floor(next() * below) };
}

/**
 * Draws an exponentially distributed value with the given mean.
 *
 * @example
 * const gapMs = drawExponential(random, 1000 / requestsPerSecond);
 */
export function drawExponential(random: Random, mean: number): number {
  return -mean * Math.log(1 - random.next());
}

/**
 * Returns a seed derived from the digest of a text.
 *
 * @example
 * const random = createRandom(hashSeed("host-1"));
 */
export function hashSeed(text: string): number {
  return Number.parseInt(digest.computeDigest(text).slice(0, 8), 16);
}
