/** How a number of servers is spread over failure domains. */

/** Servers that a failure domain may be given. */
export interface DomainRoom {
  readonly failureDomain: string;
  readonly least: number;
  readonly most: number;
}

/**
 * Gives each failure domain its least, then one at a time to each in its rank.
 *
 * @example
 * spreadEvenly(5, { domains: [{ failureDomain: "a", least: 1, most: 7 }] });
 */
export function spreadEvenly(
  total: number,
  { domains }: { readonly domains: readonly DomainRoom[] },
): ReadonlyMap<string, number> {
  const counts = new Map(
    domains.map(({ failureDomain, least }) => [failureDomain, least]),
  );
  const sum = domains.reduce((least, domain) => least + domain.least, 0);
  let left = total - sum;
  while (left > 0) {
    const open = domains.filter(({ failureDomain, most }) =>
      (counts.get(failureDomain) ?? 0) < most
    );
    if (open.length === 0) break;
    open.slice(0, left).forEach(({ failureDomain }) =>
      counts.set(failureDomain, (counts.get(failureDomain) ?? 0) + 1)
    );
    left -= open.length;
  }
  return counts;
}
