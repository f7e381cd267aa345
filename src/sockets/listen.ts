/** Opens listening sockets. */
import type * as net from 'node:net'
import type * as log from '../log/index.js'
import * as time from '../time/index.js'

/** Time from a failed attempt to the next one, in ms. */
const RETRY_INTERVAL_MS = 100

/** Attempts at a port that is in use; 30 s in all, longer than the stop of the process before may take. */
const MAX_ATTEMPTS = 300

/** Dependencies of {@link listen}. */
export interface ListenDeps {
  readonly timers: time.Timers
  readonly log: Pick<log.Logger, 'warn' | 'error'>
}

/**
 * Starts listening. While the port is in use, tries again: the process before may still be stopping. Rejects after other
 * errors. An error of the open socket, such as a connection that finds no file descriptor, is logged and ends nothing.
 */
export async function listen (server: net.Server, options: net.ListenOptions, { timers, log }: ListenDeps): Promise<void> {
  const { host, port } = options
  for (let attempt = 1; ; attempt++) {
    const err = await tryListen(server, options)
    if (err === undefined) break
    if (err.code !== 'EADDRINUSE' || attempt === MAX_ATTEMPTS) throw err
    if (attempt === 1) log.warn({ host, port }, 'port_in_use')
    await time.delay(timers, RETRY_INTERVAL_MS)
  }
  server.on('error', (err) => log.error({ err, host, port }, 'listener_failed'))
}

async function tryListen (server: net.Server, options: net.ListenOptions): Promise<NodeJS.ErrnoException | undefined> {
  return await new Promise((resolve) => {
    const settle = (err?: NodeJS.ErrnoException): void => {
      server.off('error', settle)
      server.off('listening', settle)
      resolve(err)
    }
    server.once('error', settle)
    server.once('listening', settle)
    server.listen(options)
  })
}
