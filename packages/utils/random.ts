/** Seeded random numbers, so that decisions, tests and the bench repeat. */
import * as digest from "./digest.ts";
import * as generator from "pure-rand/generator/xoroshiro128plus";
import * as float from "pure-rand/distribution/uniformFloat64";

/** A stream of random numbers. */
export interface Random {
  /** The next number in [0, 1). */
  readonly next: () => number;
  /** The next integer in [0, `below`). */
  readonly below: (below: number) => number;
}

/**
 * Makes a stream from a seed; equal seeds give equal streams.
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
 * Returns a seed that differs between texts.
 *
 * @example
 * const random = createRandom(hashSeed("host-1"));
 */
export function hashSeed(text: string): number {
  return Number.parseInt(digest.computeDigest(text).slice(0, 8), 16);
}
