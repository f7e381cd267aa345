/** Daemons: they open the sockets and pass messages to the library. */
export { EntryDaemon, type EntryAddresses, type EntryOptions } from './entry-daemon.js'
export { startDemo, type Demo, type DemoEntry } from './demo.js'
export { startStandins, type Standins } from './standins.js'
