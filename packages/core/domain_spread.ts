/** Spreads a number of servers over failure domains. */

/** Minimum and maximum number of servers for a failure domain. */
export interface DomainLimits {
  readonly failureDomain: string;
  readonly min: number;
  readonly max: number;
}

/**
 * Gives each failure domain its minimum, then adds one server at a time to each
 * failure domain below its maximum, in the order of the list.
 *
 * @example
 * spreadEvenly(5, { domains: [{ failureDomain: "a", min: 1, max: 7 }] });
 */
export function spreadEvenly(
  total: number,
  { domains }: { readonly domains: readonly DomainLimits[] },
): ReadonlyMap<string, number> {
  const counts = new Map(
    domains.map(({ failureDomain, min }) => [failureDomain, min]),
  );
  const minimum = domains.reduce((sum, domain) => sum + domain.min, 0);
  let left = total - minimum;
  while (left > 0) {
    const available = domains.filter(({ failureDomain, max }) =>
      (counts.get(failureDomain) ?? 0) < max
    );
    if (available.length === 0) break;
    available.slice(0, left).forEach(({ failureDomain }) =>
      counts.set(failureDomain, (counts.get(failureDomain) ?? 0) + 1)
    );
    left -= available.length;
  }
  return counts;
}
