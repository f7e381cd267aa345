/** Remote procedure calls between peers: entries or gateways. */
export type { PeerClient, PeerError, PeerHandler, PeerServer, Peers } from './types.js'
export { TcpPeers, type PeerTraffic } from './json-rpc-tcp.js'
