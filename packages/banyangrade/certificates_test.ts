/** Mutual TLS between hosts, and certificates that are replaced while a host runs. */
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

interface KeyPair {
  readonly cert: string;
  readonly private: string;
}

async function createKeyPair(name: string): Promise<KeyPair> {
  return await selfsigned.generate([{ name: "commonName", value: name }], {
    keySize: 2048,
    algorithm: "sha256",
  }) as KeyPair;
}

/** Peer handlers of which these tests call only getRevision. */
function buildHandlers(): peer.PeerHandlers {
  return { getRevision: () => 7 } as unknown as peer.PeerHandlers;
}

tap.t.test(
  "a host answers only peers with a trusted certificate and a shared secret",
  async (t) => {
    const trustedPair = await createKeyPair("host");
    const untrustedPair = await createKeyPair("stranger");
    const trusted = {
      cert: trustedPair.cert,
      key: trustedPair.private,
      ca: trustedPair.cert,
    };
    const server = await peer.startPeerServer({
      hostname: "127.0.0.1",
      port: 0,
      secrets: ["new", "old"],
      tls: trusted,
      router: peer.buildRouter(buildHandlers()),
    });
    t.teardown(server.close);
    const callWith = async (secret: string, pair: peer.PeerTls) => {
      const clients = new peer.PeerClients({
        secret,
        clock: utils.SYSTEM_CLOCK,
        getTls: () => pair,
      });
      const response = await clients.call(
        { address: `127.0.0.1:${server.port}`, step: "test" },
        (client, signal) => client.revision.query(undefined, { signal }),
      );
      clients.close();
      return response.ok ? response.val : response.val.code;
    };
    t.equal(await callWith("new", trusted), 7);
    t.equal(
      await callWith("old", trusted),
      7,
      "an older secret is accepted while secrets are replaced",
    );
    t.equal(await callWith("wrong", trusted), "unknown_outcome");
    const other = {
      ...trusted,
      cert: untrustedPair.cert,
      key: untrustedPair.private,
    };
    t.equal(await callWith("new", other), "unknown_outcome");
  },
);

tap.t.test(
  "a replaced certificate is used for new connections without a restart",
  async (t) => {
    // The certificate of the port for callers is replaced in its file before it
    // expires. A host that keeps the old one would present an expired
    // certificate until it is restarted.
    const folder = fs.mkdtempSync(path.join(os.tmpdir(), "banyangrade-cert-"));
    t.teardown(() => fs.rmSync(folder, { recursive: true }));
    const write = (pair: KeyPair) => {
      fs.writeFileSync(path.join(folder, "cert.pem"), pair.cert);
      fs.writeFileSync(path.join(folder, "key.pem"), pair.private);
    };
    const [before, after] = [
      await createKeyPair("before"),
      await createKeyPair("after"),
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
      tls: files.getCallerTls(),
      acceptHead: () => false,
      onRequest: () => undefined,
    });
    t.teardown(server.close);
    t.teardown(files.watch({
      onCaller: server.setTls,
      onPeer: () => undefined,
      pollMs: 20,
    }));
    t.equal(await fetchCommonName(server.port), "before");
    write(after);
    t.ok(
      await testing.waitUntil(async () =>
        await fetchCommonName(server.port) === "after"
      ),
    );
  },
);

/** Returns the common name of the certificate that the server at a port presents. */
function fetchCommonName(port: number): Promise<string> {
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
