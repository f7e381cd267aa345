/** Clients that keep their connection and send one request after the other on it. */
import * as net from 'node:net'
import * as resolving from './resolving-client.mjs'

const CONNECT_TIMEOUT_MS = 1_000

/** A connection to one gateway. */
class KeptConnection {
  open = false
  /** Requests that were answered completely on it. */
  answered = 0

  constructor (address) {
    this.address = address
    this.socket = net.connect(Number(address.split(':')[1]), '127.0.0.1')
    this.socket.setNoDelay(true)
    this.socket.on('error', () => {})
    this.socket.on('close', () => { this.open = false })
  }

  async connected () {
    return await new Promise((resolve) => {
      const timer = setTimeout(() => { this.socket.destroy(); resolve(false) }, CONNECT_TIMEOUT_MS)
      this.socket.once('connect', () => { clearTimeout(timer); this.open = true; resolve(true) })
      this.socket.once('close', () => { clearTimeout(timer); resolve(false) })
    })
  }

  /** Sends a request; resolves to its answer, to `closed` when the connection ended before it was complete, or to `gaveUp`. */
  async exchange (text, giveUpMs) {
    const { socket } = this
    return await new Promise((resolve) => {
      let received = ''
      const settle = (outcome) => {
        clearTimeout(timer)
        socket.off('data', onData)
        socket.off('close', onClose)
        resolve(outcome)
      }
      const onData = (data) => {
        received += data.toString('latin1')
        const answer = parseAnswer(received)
        if (answer === undefined) return
        this.answered++
        if (answer.closes) socket.destroy()
        settle(answer)
      }
      const onClose = () => settle({ closed: true, answeredBefore: this.answered })
      const timer = setTimeout(() => { socket.destroy(); settle({ gaveUp: true }) }, giveUpMs)
      socket.on('data', onData)
      socket.on('close', onClose)
      socket.write(text)
    })
  }
}

/** Status of a complete answer, and whether the connection is to be closed; undefined before it is complete. */
function parseAnswer (text) {
  const headEnd = text.indexOf('\r\n\r\n')
  if (headEnd < 0) return undefined
  const head = text.slice(0, headEnd)
  const length = /^content-length: *(\d+)/im.exec(head)?.[1]
  const isComplete = length === undefined ? text.endsWith('\r\n0\r\n\r\n') : text.length >= headEnd + 4 + Number(length)
  return isComplete ? { status: Number(head.split(' ')[1]), closes: /^connection: *close/im.test(head) } : undefined
}

/** A client that keeps a connection to a gateway that it was told. */
export class KeptClient {
  connection = undefined

  constructor (directories, ttlFactor) {
    this.directory = new resolving.Client(directories, ttlFactor)
  }

  /** Sends one request; resolves to the outcome of {@link KeptConnection.exchange} with its times, or undefined when no gateway took a connection. */
  async send (text, giveUpMs) {
    await this.directory.refresh()
    const { addresses, failedAt } = this.directory
    if (this.connection?.open === true && !addresses.includes(this.connection.address)) this.connection.socket.destroy()
    if (this.connection?.open !== true) {
      const address = this.directory.pick()
      if (address === undefined) return undefined
      this.connection = new KeptConnection(address)
      if (!await this.connection.connected()) {
        failedAt.set(address, Date.now())
        return undefined
      }
    }
    const { connection } = this
    const sentAt = Date.now()
    const outcome = await connection.exchange(text, giveUpMs)
    if (outcome.status === undefined) failedAt.set(connection.address, Date.now())
    return { ...outcome, address: connection.address, sentAt, endedAt: Date.now() }
  }
}
