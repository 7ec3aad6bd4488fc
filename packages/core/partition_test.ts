/** Tests that every slot belongs to exactly one host for any sizes. */
import * as fc from "fast-check";
import * as tap from "tap";
import * as core from "./mod.ts";

tap.t.test("the slots of all servers are partitioned among the hosts", (t) => {
  const names = fc.uniqueArray(fc.string({ minLength: 1, maxLength: 4 }), {
    minLength: 1,
    maxLength: 20,
  });
  const property = fc.property(
    names,
    names,
    fc.integer({ min: 1, max: 16 }),
    (hosts, servers, slots) => {
      const pool = servers.map((name) => ({ name, slots }));
      const homes = hosts.map((host) =>
        core.computePreferredSlots(pool.toReversed(), { hosts, host })
      );
      const sizes = homes.map((home) =>
        [...home.values()].reduce((sum, count) => sum + count, 0)
      );
      return servers.every((server) =>
        homes.reduce((sum, home) => sum + (home.get(server) ?? 0), 0) === slots
      ) && Math.max(...sizes) - Math.min(...sizes) <= 1;
    },
  );
  fc.assert(property, { seed: 20_261_203, numRuns: 500 });
  t.pass("500 partitions");
  t.end();
});

tap.t.test("an unlisted host has no preferred slots", (t) => {
  const servers = [{ name: "s1", slots: 8 }];
  const home = core.computePreferredSlots(servers, { hosts: ["a"], host: "b" });
  t.equal(home.size, 0);
  t.end();
});
