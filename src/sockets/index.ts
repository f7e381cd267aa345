/** Sockets that listen. */
export { listen, type ListenDeps } from './listen.js'
