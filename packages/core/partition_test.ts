/** Every slot belongs to exactly one host, whatever the sizes. */
import * as fc from "fast-check";
import * as tap from "tap";
import * as core from "./mod.ts";

tap.t.test("hosts divide servers without overlap or rest", (t) => {
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
        core.computeHomeSlots(pool.toReversed(), { hosts, host })
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
  t.pass("500 divisions");
  t.end();
});

tap.t.test("a host that is not listed has no part", (t) => {
  const servers = [{ name: "s1", slots: 8 }];
  const home = core.computeHomeSlots(servers, { hosts: ["a"], host: "b" });
  t.equal(home.size, 0);
  t.end();
});
