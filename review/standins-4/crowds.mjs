/** Starts crowds of clients, each part in a process of its own. */
import * as childProcess from 'node:child_process'

/** Connections of one process: fewer than the usual limit on its descriptors. */
const PER_PROCESS = 800

/** Clients that connect to one address of a gateway. */
export class Crowd {
  #children = []
  #lastLines = []

  /** Opens `count` connections, sends `text` on each, and `repeated` every few seconds; resolves when all have been opened. */
  async start ({ host, port }, count, text, repeated = '') {
    const opened = []
    for (let left = count; left > 0; left -= PER_PROCESS) {
      const args = [host, String(port), String(Math.min(PER_PROCESS, left)), base64(text), base64(repeated)]
      const child = childProcess.spawn(process.execPath, [new URL('crowd.mjs', import.meta.url).pathname, ...args], { stdio: ['ignore', 'pipe', 'inherit'] })
      const index = this.#children.push(child) - 1
      opened.push(new Promise((resolve) => child.stdout.once('data', resolve)))
      child.stdout.on('data', (data) => { this.#lastLines[index] = data.toString().trim().split('\n').at(-1) })
    }
    await Promise.all(opened)
  }

  /** Connections that were open when the processes told it last. */
  openConnections () {
    return this.#lastLines.reduce((sum, line) => sum + (Number(line) || 0), 0)
  }

  /** Ends the processes, and with them the connections. */
  async stop () {
    const running = this.#children.filter((child) => child.exitCode === null && child.signalCode === null)
    const ended = running.map((child) => new Promise((resolve) => child.once('exit', resolve)))
    for (const child of running) child.kill('SIGKILL')
    await Promise.all(ended)
  }
}

function base64 (text) {
  return Buffer.from(text, 'latin1').toString('base64')
}
