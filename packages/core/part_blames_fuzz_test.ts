/** Checks over many hosts that a part which crashes servers is refused, and that sound requests are not. */
import * as fc from "fast-check";
import * as tapModule from "tap";
import * as utils from "@banyangrade/utils";
import * as core from "./mod.ts";

const tap = tapModule.default;
const RUNS = Number(process.env.FUZZ_RUNS ?? 200);
const STEP_MS = 50;
const TOTAL_MS = 60_000;
/** Interval at which hosts share what they know, and its delay on the way through two relays, in ms. */
const SHARE_MS = 1_000;
const SHARE_DELAY_MS = 2_000;
/** Time after which a host that was cut off counts as in touch, in ms. */
const WINDOW_MS = 3_000;
const COUNTED_CRASHES = 5;
const MAX_MORE = 3;
/** Time from the start of a request to its first event, or to the crash of its server, in ms. */
const FIRST_EVENT_MS = 150;
const RESTART_MS = 3_000;

interface Fleet {
  readonly hosts: number;
  readonly servers: number;
  /** Requests with the crashing part per second, over all hosts, from `guiltyFrom` on. */
  readonly guiltyPerSecond: number;
  readonly guiltyFrom: number;
  readonly soundPerSecond: number;
  /** Other parts that requests share. */
  readonly subjects: number;
  readonly cuts: readonly { host: number; from: number; forMs: number }[];
  readonly kills: readonly { host: number; at: number }[];
  /** Times at which many servers are lost at once. */
  readonly losses: readonly { at: number; share: number }[];
  readonly seed: number;
}

const FLEET: fc.Arbitrary<Fleet> = fc.record({
  hosts: fc.integer({ min: 1, max: 40 }),
  servers: fc.integer({ min: 6, max: 20 }),
  guiltyPerSecond: fc.double({ min: 0.1, max: 2, noNaN: true }),
  guiltyFrom: fc.integer({ min: 3_000, max: 15_000 }),
  soundPerSecond: fc.double({ min: 20, max: 80, noNaN: true }),
  subjects: fc.integer({ min: 2, max: 12 }),
  cuts: fc.array(
    fc.record({
      host: fc.nat(39),
      from: fc.nat(50_000),
      forMs: fc.integer({ min: 500, max: 10_000 }),
    }),
    { maxLength: 4 },
  ),
  kills: fc.array(
    fc.record({ host: fc.nat(39), at: fc.nat(50_000) }),
    { maxLength: 4 },
  ),
  losses: fc.array(
    fc.record({
      at: fc.nat(50_000),
      share: fc.double({ min: 0.2, max: 1, noNaN: true }),
    }),
    { maxLength: 2 },
  ),
  seed: fc.integer(),
});

interface RunningRequest {
  readonly host: number;
  readonly server: string;
  readonly parts: readonly string[];
  readonly endsAt: number;
}

interface Outcome {
  /** Requests with the crashing part that reached a server later than the window after the fifth crash, from hosts in touch. */
  readonly more: number;
  /** Sound requests from then on, and how many of them were refused. */
  readonly sound: number;
  readonly refused: number;
}

/** Simulates a fleet; without the crashing part, all blames are wrong. */
function replayFleet(fleet: Fleet, { crashes }: { crashes: boolean }): Outcome {
  const random = utils.createRandom(fleet.seed);
  let hosts = Array.from(
    { length: fleet.hosts },
    () => new core.PartBlames(),
  );
  const sent: { at: number; marks: core.SuspectMark[]; from: number }[] = [];
  const marks = hosts.map(() => new Map<string, core.SuspectMark>());
  const servers = Array.from(
    { length: fleet.servers },
    (_, index) => ({ name: `s${index}`, upAt: 0, incarnation: 0 }),
  );
  let running: RunningRequest[] = [];
  const crashedAt: number[] = [];
  let more = 0;
  let sound = 0;
  let refused = 0;
  const isCut = (host: number, now: number, slackMs = 0) =>
    fleet.cuts.some((cut) =>
      cut.host % fleet.hosts === host && now >= cut.from &&
      now < cut.from + cut.forMs + slackMs
    ) || (slackMs > 0 && fleet.kills.some((kill) =>
      kill.host % fleet.hosts === host && now >= kill.at &&
      now < kill.at + slackMs
    ));
  const loseServer = (name: string, now: number) => {
    const lost = running.filter(({ server }) => server === name);
    running = running.filter(({ server }) => server !== name);
    lost.forEach(({ host, parts }) =>
      hosts[host].buildMarks(parts, { server: name, at: now }).forEach(
        (mark) => {
          hosts[host].add(mark, now);
          marks[host].set(`${mark.fingerprint}/${mark.server}`, mark);
        },
      )
    );
    const server = servers.find((one) => one.name === name);
    if (server === undefined) return;
    server.incarnation += 1;
    server.name = `${name.split("@")[0]}@${server.incarnation}`;
    server.upAt = now + RESTART_MS;
  };
  const startRequest = (parts: readonly string[], now: number) => {
    const host = random.below(fleet.hosts);
    const isGuilty = parts.includes("bad");
    const isCounted = now > fleet.guiltyFrom + 2 * WINDOW_MS;
    if (!isGuilty && isCounted) sound += 1;
    const blamed = hosts[host].find(parts);
    if (blamed !== undefined) {
      hosts[host].recordRequest(blamed, now).forEach((mark) =>
        marks[host].set(`${mark.fingerprint}/${mark.server}`, mark)
      );
      const trial = host === 0 ? hosts[host].takeTrial(blamed, now) : undefined;
      if (trial === undefined) {
        if (!isGuilty && isCounted) refused += 1;
        return;
      }
      marks[host].set(`${trial.fingerprint}/${trial.server}`, trial);
    }
    const up = servers.filter(({ upAt }) => upAt <= now);
    if (up.length === 0) return;
    const fifth = crashedAt[COUNTED_CRASHES - 1] ?? Number.POSITIVE_INFINITY;
    const inTouch = !isCut(host, now, WINDOW_MS + SHARE_DELAY_MS);
    if (isGuilty && inTouch && now > fifth + WINDOW_MS) more += 1;
    const server = up[random.below(up.length)].name;
    running.push({ host, server, parts, endsAt: now + FIRST_EVENT_MS });
  };
  for (let now = 0; now < TOTAL_MS; now += STEP_MS) {
    fleet.kills.filter(({ at }) => at >= now && at < now + STEP_MS)
      .forEach(({ host }) => {
        const index = host % fleet.hosts;
        hosts = hosts.with(index, new core.PartBlames());
        marks[index].clear();
        running = running.filter((one) => one.host !== index);
      });
    fleet.losses.filter(({ at }) => at >= now && at < now + STEP_MS)
      .forEach(({ share }) =>
        servers.slice(0, Math.ceil(share * servers.length))
          .map(({ name }) => name).forEach((name) => loseServer(name, now))
      );
    running.filter(({ endsAt }) => endsAt <= now).forEach((one) => {
      if (!running.includes(one)) return;
      if (crashes && one.parts.includes("bad")) {
        crashedAt.push(now);
        return loseServer(one.server, now);
      }
      running = running.filter((other) => other !== one);
      hosts[one.host].recordAnswer(one.parts, now);
    });
    const draw = (perSecond: number) =>
      random.next() < perSecond * STEP_MS / 1_000;
    if (now >= fleet.guiltyFrom && draw(fleet.guiltyPerSecond)) {
      startRequest(["first", `p${random.below(fleet.subjects)}`, "bad"], now);
    }
    for (let n = 0; n < 4; n += 1) {
      if (!draw(fleet.soundPerSecond / 4)) continue;
      startRequest(["first", `p${random.below(fleet.subjects)}`], now);
    }
    if (now % SHARE_MS !== 0) continue;
    hosts.forEach((blames, from) => {
      if (isCut(from, now)) return;
      sent.push({ at: now, from, marks: [...marks[from].values()] });
      const answers = blames.listAnswers(now);
      hosts.forEach((other, to) => {
        if (to !== from && !isCut(to, now)) other.mergeAnswers(answers);
      });
    });
    while (sent.length > 0 && sent[0].at <= now - SHARE_DELAY_MS) {
      const { from, marks: shared } = sent.shift() as typeof sent[0];
      hosts.forEach((blames, to) => {
        if (to === from || isCut(to, now)) return;
        shared.forEach((mark) => blames.add(mark, now));
      });
    }
  }
  return { more, sound, refused };
}

// Guards against hosts that each bear some crashes of the same part, and that
// forget or never learn those of others.
tap.test("a crashing part reaches servers at most three more times", (t) => {
  fc.assert(
    fc.property(
      FLEET,
      (fleet) => replayFleet(fleet, { crashes: true }).more <= MAX_MORE,
    ),
    { numRuns: Math.ceil(RUNS / 5), seed: 56 },
  );
  t.end();
});

// Guards against sound requests that are refused for the parts that they share
// with guilty ones, or because many servers were lost at once.
tap.test("sound requests go on beside a crashing part, and when servers are lost", (t) => {
  fc.assert(
    fc.property(FLEET, fc.boolean(), (fleet, crashes) => {
      const { sound, refused } = replayFleet(fleet, { crashes });
      return sound < 20 || refused <= 0.1 * sound;
    }),
    { numRuns: Math.ceil(RUNS / 5), seed: 57 },
  );
  t.end();
});
