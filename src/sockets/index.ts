/** Sockets that listen, and connections for HTTP clients. */
export { listen, type ListenDeps } from './listen.js'
export { createConnector } from './connector.js'
