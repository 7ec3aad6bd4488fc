/** Tests that the client of the store takes no body of another form for an answer. */
import * as tapModule from "tap";
import * as bodies from "@banyangrade/utils/bodies_testing.ts";
import * as storeClient from "./client.ts";

const tap = tapModule.default;

const HEADER = { revision: "9" };
/** The entry "k" with the value "v" as the store encodes it. */
const PAIR = { key: "aw==", value: "dg==", mod_revision: "7" };
const ENTRY = { key: "k", value: "v", modRevision: 7 };

/** What is no number as text; undefined stands for an absent field. */
const NO_NUMBERS = [undefined, null, true, "", "x", ["7"], {}];
const FLAWED_PAIRS = [
  ...NO_NUMBERS.map((mod_revision) => [{ ...PAIR, mod_revision }]),
  ...bodies.NO_TEXTS.map((key) => [PAIR, { ...PAIR, key }]),
  ...bodies.NO_TEXTS.map((value) => [PAIR, { ...PAIR, value }]),
];
const FLAWED_HEADERS = [
  undefined,
  null,
  5,
  ...NO_NUMBERS.map((revision) => ({ revision })),
];

const SOUND_ANSWERS: readonly bodies.SoundAnswer<storeClient.StoreClient>[] = [
  {
    name: "an entry",
    call: (client) => client.get("k"),
    body: { header: HEADER, kvs: [PAIR], count: "1" },
    flaws: {
      header: FLAWED_HEADERS,
      kvs: [...bodies.NO_LISTS, ...FLAWED_PAIRS],
    },
    taken: ENTRY,
  },
  {
    name: "a list",
    call: (client) => client.list("k"),
    body: { header: HEADER, kvs: [PAIR, PAIR], more: false },
    flaws: {
      header: FLAWED_HEADERS,
      kvs: [...bodies.NO_LISTS, ...FLAWED_PAIRS],
      more: [null, 5, "no"],
    },
    taken: [ENTRY, ENTRY],
  },
  {
    name: "a write",
    call: (client) => client.swap({ key: "k", expected: 0, value: "v" }),
    body: { header: HEADER, succeeded: true, responses: [{}] },
    flaws: { header: FLAWED_HEADERS, succeeded: [null, 1, "yes", [], {}] },
    taken: { kind: "won", modRevision: 9 },
  },
  {
    name: "a write that lost",
    call: (client) => client.swap({ key: "k", expected: 0, value: "v" }),
    body: { header: HEADER, responses: [{ response_range: { kvs: [PAIR] } }] },
    flaws: {
      header: FLAWED_HEADERS,
      responses: [
        null,
        5,
        [null],
        ...FLAWED_PAIRS.map((kvs) => [{ response_range: { kvs } }]),
      ],
    },
    taken: { kind: "lost", current: ENTRY },
  },
  {
    name: "a lease",
    call: (client) => client.grantLease(10),
    body: { ID: "7587", TTL: "10" },
    flaws: { ID: [undefined, "", ...bodies.NO_TEXTS] },
    taken: "7587",
  },
  {
    name: "a renewal",
    call: (client) => client.renewLease("7587"),
    body: { result: { ID: "7587", TTL: "10" } },
    flaws: { result: [undefined, null, 5, "x", [], { TTL: "x" }, { TTL: 10 }] },
    taken: true,
  },
];

SOUND_ANSWERS.forEach((sound) => {
  // Guards against a role or a write that is taken for won or lost because of such a body.
  tap.test(`bodies that are not ${sound.name} are no answer`, (t) =>
    bodies.checkBodies(t, {
      sound,
      openClient: (url) => {
        const client = storeClient.createStoreClient({ url });
        t.teardown(() => client.close());
        return client;
      },
    }));
});
