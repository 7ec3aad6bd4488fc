/** Certificates that are replaced without a restart: files are read again now and then. */
import type * as caller from "@banyangrade/caller";
import type * as peer from "@banyangrade/peer";
import * as utils from "@banyangrade/utils";
import * as settingsModule from "./settings.ts";

/** Between two readings of the files, in ms. */
const READ_MS = 10_000;

/** Who takes over a new certificate. */
export interface CertificateWatch {
  readonly onCaller: (tls: caller.CallerTls) => void;
  readonly onPeer: (tls: peer.PeerTls) => void;
  /** @default 10 s */
  readonly readMs?: number;
}

/** The certificates that the settings name, as they stand in their files. */
export class Certificates {
  readonly #settings: settingsModule.Settings;
  #caller: caller.CallerTls | undefined;
  #peer: peer.PeerTls | undefined;

  constructor(settings: settingsModule.Settings) {
    this.#settings = settings;
    this.#caller = settingsModule.readCallerTls(settings);
    this.#peer = settingsModule.readPeerTls(settings);
  }

  getCaller(): caller.CallerTls | undefined {
    return this.#caller;
  }

  getPeer(): peer.PeerTls | undefined {
    return this.#peer;
  }

  /** Reads the files again and again; returns a function that stops it. */
  watch(options: CertificateWatch): () => void {
    return utils.startInterval(
      options.readMs ?? READ_MS,
      () => this.#readAgain(options),
    );
  }

  /** Files that are just being written may not fit together; they are read again later. */
  #readAgain(options: CertificateWatch): void {
    try {
      const ofCaller = settingsModule.readCallerTls(this.#settings);
      if (ofCaller !== undefined && !isSame(ofCaller, this.#caller)) {
        options.onCaller(ofCaller);
        this.#caller = ofCaller;
      }
      const ofPeer = settingsModule.readPeerTls(this.#settings);
      if (ofPeer !== undefined && !isSame(ofPeer, this.#peer)) {
        options.onPeer(ofPeer);
        this.#peer = ofPeer;
      }
    } catch {
      return;
    }
  }
}

function isSame(a: object, b: object | undefined): boolean {
  return utils.formatCanonical(a) === utils.formatCanonical(b ?? null);
}
