/** Reads certificates again periodically, so that they can be replaced without a restart. */
import type * as caller from "@banyangrade/caller";
import type * as peer from "@banyangrade/peer";
import * as utils from "@banyangrade/utils";
import * as settingsModule from "./settings.ts";

/** Interval at which the certificate files are read, in ms. */
const POLL_MS = 10_000;

/** Options of {@link Certificates.watch}: callbacks for changed certificates. */
export interface CertificateWatchOptions {
  readonly onCaller: (tls: caller.CallerTls) => void;
  readonly onPeer: (tls: peer.PeerTls) => void;
  /** Receives what a read throws. @default ignored, and the current certificates stay in use */
  readonly onError?: (thrown: unknown) => void;
  /** Interval at which the files are read, in ms. @default 10 s */
  readonly pollMs?: number;
}

/** Holds the current certificates from the files that the settings name. */
export class Certificates {
  readonly #settings: settingsModule.Settings;
  #caller: caller.CallerTls | undefined;
  #peer: peer.PeerTls | undefined;

  constructor(settings: settingsModule.Settings) {
    this.#settings = settings;
    this.#caller = settingsModule.readCallerTls(settings);
    this.#peer = settingsModule.readPeerTls(settings);
  }

  getCallerTls(): caller.CallerTls | undefined {
    return this.#caller;
  }

  getPeerTls(): peer.PeerTls | undefined {
    return this.#peer;
  }

  /** Reads the files periodically and reports changed certificates. Returns a function that stops it. */
  watch(options: CertificateWatchOptions): () => void {
    const { pollMs = POLL_MS, onError = () => undefined } = options;
    return utils.startInterval(
      { ms: pollMs, onError },
      () => this.#readFiles(options),
    );
  }

  /**
   * Reads the files once. While the files are being replaced, a certificate may
   * not match its key and the callback throws; the current certificate then
   * stays in use until the next read.
   */
  #readFiles(options: CertificateWatchOptions): void {
    try {
      const callerTls = settingsModule.readCallerTls(this.#settings);
      if (callerTls !== undefined && !isSame(callerTls, this.#caller)) {
        options.onCaller(callerTls);
        this.#caller = callerTls;
      }
      const peerTls = settingsModule.readPeerTls(this.#settings);
      if (peerTls !== undefined && !isSame(peerTls, this.#peer)) {
        options.onPeer(peerTls);
        this.#peer = peerTls;
      }
    } catch {
      return;
    }
  }
}

function isSame(a: object, b: object | undefined): boolean {
  return utils.formatCanonical(a) === utils.formatCanonical(b ?? null);
}
