/** Ports on which processes of the tests listen. */
import * as net from 'node:net'

const HOST = '127.0.0.1'

/**
 * The kernel chooses the ports of outgoing connections from 32,768 on. A port from there may be taken by a connection, even
 * one of the process that is to listen on it, between the choice and the start of the process.
 */
const FIRST_PORT = 10_000
const PORT_COUNT = 22_000

/** Distance between the first ports of two processes with successive ids: test runs at the same time share the range. */
const PORTS_PER_PROCESS = 701

let nextIndex = process.pid * PORTS_PER_PROCESS

/** A port on which nothing listens, another one with each call. */
export async function freePort (): Promise<number> {
  for (let attempt = 0; attempt < PORT_COUNT; attempt++) {
    const port = FIRST_PORT + nextIndex++ % PORT_COUNT
    if (await isFree(port)) return port
  }
  throw new Error('no free port')
}

async function isFree (port: number): Promise<boolean> {
  const server = net.createServer()
  return await new Promise((resolve) => {
    server.once('error', () => resolve(false))
    server.listen(port, HOST, () => server.close(() => resolve(true)))
  })
}
