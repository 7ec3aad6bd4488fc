/** How relays and their followers reach each other; tests replace it. */
import * as peer from "@banyangrade/peer";
import * as service from "@banyangrade/service";

/** Clients of relays. */
export type RelayClients = Pick<
  peer.PeerClients<peer.RelayRouter>,
  "call" | "close" | "closeIdle"
>;

/** The network between hosts. */
export interface RelayNetwork {
  readonly startServer: (
    options: peer.PeerServerOptions,
  ) => Promise<peer.PeerServer>;
  readonly createClients: (options: peer.PeerClientsOptions) => RelayClients;
  /** Whether nothing listens at an address: the process that did has ended. */
  readonly isRefused: (address: string) => Promise<boolean>;
}

/** The network of the operating system. */
export const SOCKET_NETWORK: RelayNetwork = {
  startServer: peer.startPeerServer,
  createClients: (options) => new peer.PeerClients(options),
  isRefused: async (address) =>
    await service.tryConnection(`http://${address}`) === "refused",
};
