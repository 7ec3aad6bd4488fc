/** Mutual TLS between hosts, and certificates that are replaced while running. */
import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import * as tls from "node:tls";
import * as selfsigned from "selfsigned";
import * as tap from "tap";
import * as caller from "@banyangrade/caller";
import * as peer from "@banyangrade/peer";
import * as utils from "@banyangrade/utils";
import * as certificates from "./certificates.ts";
import * as settingsModule from "./settings.ts";
import * as testing from "./process_testing.ts";

interface Pair {
  readonly cert: string;
  readonly private: string;
}

async function createPair(name: string): Promise<Pair> {
  return await selfsigned.generate([{ name: "commonName", value: name }], {
    keySize: 2048,
    algorithm: "sha256",
  }) as Pair;
}

/** Handlers of which only one is used here. */
function buildHandlers(): peer.PeerHandlers {
  return { getRevision: () => 7 } as unknown as peer.PeerHandlers;
}

tap.t.test(
  "a host answers only hosts with certificate and secret",
  async (t) => {
    const own = await createPair("host");
    const stranger = await createPair("stranger");
    const trusted = { cert: own.cert, key: own.private, ca: own.cert };
    const server = await peer.startPeerServer({
      hostname: "127.0.0.1",
      port: 0,
      secrets: ["new", "old"],
      tls: trusted,
      router: peer.buildRouter(buildHandlers()),
    });
    t.teardown(server.close);
    const askWith = async (secret: string, pair: peer.PeerTls) => {
      const clients = new peer.PeerClients({
        secret,
        clock: utils.SYSTEM_CLOCK,
        getTls: () => pair,
      });
      const answer = await clients.call(
        { address: `127.0.0.1:${server.port}`, step: "test" },
        (client, signal) => client.revision.query(undefined, { signal }),
      );
      clients.close();
      return answer.ok ? answer.val : answer.val.code;
    };
    t.equal(await askWith("new", trusted), 7);
    t.equal(await askWith("old", trusted), 7, "during a change of secrets");
    t.equal(await askWith("wrong", trusted), "unknown_outcome");
    const other = { ...trusted, cert: stranger.cert, key: stranger.private };
    t.equal(await askWith("new", other), "unknown_outcome");
  },
);

tap.t.test(
  "a replaced certificate is used by the next connection",
  async (t) => {
    // The certificate towards callers runs out at night and is replaced by a
    // file; callers must not see the old one until someone restarts the hosts.
    const folder = fs.mkdtempSync(path.join(os.tmpdir(), "banyangrade-cert-"));
    t.teardown(() => fs.rmSync(folder, { recursive: true }));
    const write = (pair: Pair) => {
      fs.writeFileSync(path.join(folder, "cert.pem"), pair.cert);
      fs.writeFileSync(path.join(folder, "key.pem"), pair.private);
    };
    const [before, after] = [
      await createPair("before"),
      await createPair("after"),
    ];
    write(before);
    const settings = {
      caller: {
        cert_file: path.join(folder, "cert.pem"),
        key_file: path.join(folder, "key.pem"),
      },
      peer: {},
    } as unknown as settingsModule.Settings;
    const files = new certificates.Certificates(settings);
    const server = await caller.startCallerServer({
      hostname: "127.0.0.1",
      port: 0,
      limits: caller.DEFAULT_LIMITS,
      tls: files.getCaller(),
      acceptHead: () => false,
      onRequest: () => undefined,
    });
    t.teardown(server.close);
    t.teardown(files.watch({
      onCaller: server.setTls,
      onPeer: () => undefined,
      pollMs: 20,
    }));
    t.equal(await readName(server.port), "before");
    write(after);
    t.ok(
      await testing.waitUntil(async () =>
        await readName(server.port) === "after"
      ),
    );
  },
);

/** The common name of the certificate that a port shows. */
function readName(port: number): Promise<string> {
  return new Promise((resolve, reject) => {
    const socket = tls.connect(
      { port, host: "127.0.0.1", rejectUnauthorized: false },
      () => {
        resolve(String(socket.getPeerCertificate().subject.CN));
        socket.end();
      },
    );
    socket.on("error", reject);
  });
}
