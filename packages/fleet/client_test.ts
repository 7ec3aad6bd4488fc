/** Tests that the client of the fleet API takes no body of another form for an answer. */
import * as tapModule from "tap";
import * as bodies from "@banyangrade/utils/bodies_testing.ts";
import * as client from "./client.ts";

const tap = tapModule.default;

const HOST = {
  name: "h1",
  failureDomain: "a",
  address: "127.0.0.1:7340",
  state: "live",
};
const SERVER = { name: "s1", pool: "p", url: "http://a", state: "live" };

const SOUND_ANSWERS: readonly bodies.SoundAnswer<client.FleetClient>[] = [
  {
    name: "a list of hosts",
    call: (fleet) => fleet.listHosts(),
    body: { hosts: [HOST] },
    flaws: {
      hosts: [
        undefined,
        ...bodies.NO_LISTS,
        ...bodies.NO_TEXTS.map((name) => [HOST, { ...HOST, name }]),
        ...bodies.NO_TEXTS.map((address) => [HOST, { ...HOST, address }]),
        [{ ...HOST, state: "asleep" }],
      ],
    },
    taken: [HOST],
  },
  {
    name: "a list of servers",
    call: (fleet) => fleet.listServers("a"),
    body: { servers: [SERVER] },
    flaws: {
      servers: [
        undefined,
        ...bodies.NO_LISTS,
        ...bodies.NO_TEXTS.map((pool) => [SERVER, { ...SERVER, pool }]),
        ...bodies.NO_TEXTS.map((url) => [SERVER, { ...SERVER, url }]),
        [{ ...SERVER, state: "asleep" }],
        [{ ...SERVER, slots: "many" }],
      ],
    },
    taken: [SERVER],
  },
];

SOUND_ANSWERS.forEach((sound) => {
  // Guards against a host that forgets its servers or the other hosts because of such a body.
  tap.test(`bodies that are not ${sound.name} are no answer`, (t) =>
    bodies.checkBodies(t, { sound, openClient: client.createFleetClient }));
});
