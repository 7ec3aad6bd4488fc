/**
 * Software versions of the backend servers of each service. What two versions
 * write into one stream does not fit together, so a host must know which versions
 * may have begun a stream that a caller takes up again.
 */
import type * as serverList from "./server_list.ts";

/** Longest life of a stream over all attempts of its caller, in ms; twice the longest timeout of a route. */
export const STREAM_LIFE_MS = 30_000;

/** What a host knows of the versions that began the streams of a service that may still be taken up. */
export type VersionView =
  /** One version has served alone for the life of a stream. */
  | { readonly kind: "single"; readonly software: string }
  /** One version has served alone since the host started, which is not long ago. */
  | { readonly kind: "young"; readonly software: string }
  | { readonly kind: "several" }
  /** The host is not in touch with the store, or knows no server. */
  | { readonly kind: "unsure" };

/** Views of one host, by service. */
export type PublishedViews = Readonly<Record<string, VersionView>>;

/** Versions of one service. */
interface ServiceVersions {
  /** Versions that are listed now. */
  listed: ReadonlySet<string>;
  /** When the versions that are no longer listed were last listed, monotonic ms. */
  readonly goneAt: Map<string, number>;
  /** Since when the versions are known, monotonic ms. */
  since: number;
}

/**
 * Returns the software version of each server. A server that names none, beside
 * others that do, counts as a version of its own, because nothing shows which one
 * it has.
 *
 * @example
 * resolveSoftware([{ id: "s1", service: "planner", software: "v1", ... }]); // ["v1"]
 */
export function resolveSoftware(
  servers: readonly serverList.ListedServer[],
): string[] {
  const naming = new Set(
    servers.filter(({ software }) => software !== undefined)
      .map(({ service }) => service),
  );
  return servers.map(({ id, startedAt, service, software }) => {
    if (software !== undefined) return software;
    return naming.has(service) ? `?${id}@${startedAt}` : "";
  });
}

/** The versions that a host has seen, by service. */
export class SoftwareVersions {
  readonly #services = new Map<string, ServiceVersions>();

  /** Records the servers that are listed now. */
  record(
    servers: readonly serverList.ListedServer[],
    now: number,
  ): void {
    const names = resolveSoftware(servers);
    const listed = new Map<string, Set<string>>();
    servers.forEach(({ service }, index) => {
      const versions = listed.get(service) ?? new Set();
      listed.set(service, versions.add(names[index]));
    });
    this.#services.forEach((known, service) => {
      const next = listed.get(service) ?? new Set();
      known.listed.forEach((software) => {
        if (!next.has(software)) known.goneAt.set(software, now);
      });
      next.forEach((software) => known.goneAt.delete(software));
      known.listed = next;
      listed.delete(service);
    });
    listed.forEach((versions, service) => {
      this.#services.set(service, {
        listed: versions,
        goneAt: new Map(),
        since: now,
      });
    });
    this.#forget(now);
  }

  /** Drops what is older than any stream. */
  #forget(now: number): void {
    this.#services.forEach(({ listed, goneAt }, service) => {
      goneAt.forEach((at, software) => {
        if (now - at > STREAM_LIFE_MS) goneAt.delete(software);
      });
      if (listed.size + goneAt.size === 0) this.#services.delete(service);
    });
  }

  /** Describes a service; `fresh` says whether the list of servers is current. */
  describe(
    service: string,
    { now, fresh }: { readonly now: number; readonly fresh: boolean },
  ): VersionView {
    const known = this.#services.get(service);
    if (known === undefined) return { kind: "unsure" };
    const recent = [...known.goneAt]
      .filter(([, at]) => now - at <= STREAM_LIFE_MS)
      .map(([software]) => software);
    const all = [...new Set([...known.listed, ...recent])];
    if (all.length > 1) return { kind: "several" };
    if (!fresh || all.length === 0) return { kind: "unsure" };
    const isYoung = now - known.since < STREAM_LIFE_MS;
    return { kind: isYoung ? "young" : "single", software: all[0] };
  }

  /**
   * Takes over from a host that has known the service for longer that the only
   * version of this host has served alone.
   */
  acceptView(service: string, software: string): void {
    const known = this.#services.get(service);
    const isSame = known?.listed.size === 1 && known.listed.has(software) &&
      known.goneAt.size === 0;
    if (known !== undefined && isSame) known.since = Number.NEGATIVE_INFINITY;
  }

  /**
   * Takes over what hosts published before this one started, which may be the only
   * word of the time before if all hosts were lost together.
   */
  acceptPublished(published: readonly PublishedViews[], now: number): void {
    this.listYoung(now).forEach((service) => {
      const views = published.flatMap((one) => one[service] ?? []);
      const singles = views.flatMap((view) =>
        view.kind === "single" ? [view.software] : []
      );
      const isSeveral = views.some(({ kind }) => kind === "several") ||
        new Set(singles).size > 1;
      if (!isSeveral && singles.length > 0) {
        this.acceptView(service, singles[0]);
      }
    });
  }

  /** Describes all services. */
  describeAll(
    options: { readonly now: number; readonly fresh: boolean },
  ): PublishedViews {
    return Object.fromEntries(
      [...this.#services.keys()]
        .map((service) => [service, this.describe(service, options)]),
    );
  }

  /** Lists the services of which this host has not known the versions for long. */
  listYoung(now: number): string[] {
    return [...this.#services]
      .filter(([, { since }]) => now - since < STREAM_LIFE_MS)
      .map(([service]) => service);
  }
}

/** Where a stream that a caller takes up may go on. */
export type StreamVersion =
  | { readonly kind: "known"; readonly software: string }
  /** No host could say which version began the stream. */
  | { readonly kind: "unknown" };

/** What is known of the versions of a service when a stream is taken up of which no host knows the beginning. */
export interface KnownVersions {
  /** View of this host. */
  readonly own: VersionView;
  /** Views of the hosts that answered. */
  readonly others: readonly VersionView[];
  /** Whether other hosts were asked. */
  readonly asked: boolean;
}

/**
 * Decides at which version a stream may go on of which no host knows the
 * beginning: only where one version has served alone for the life of a stream.
 * A host that asked others, none of which is in touch, may be cut off from the
 * version that began it.
 *
 * @example
 * resolveVersion({ own: { kind: "single", software: "v1" }, others: [], asked: false }).kind; // "known"
 */
export function resolveVersion(
  { own, others, asked }: KnownVersions,
): StreamVersion {
  const isAnswered = others.some(({ kind }) => kind !== "unsure");
  if (asked && !isAnswered) return { kind: "unknown" };
  const views = [own, ...others];
  if (views.some(({ kind }) => kind === "several")) return { kind: "unknown" };
  const named = views.flatMap((view) =>
    view.kind === "single" || view.kind === "young" ? [view] : []
  );
  const sure = named.find(({ kind }) => kind === "single");
  const isAgreed = named.every(({ software }) => software === sure?.software);
  return sure !== undefined && isAgreed
    ? { kind: "known", software: sure.software }
    : { kind: "unknown" };
}
