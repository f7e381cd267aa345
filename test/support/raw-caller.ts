/** A caller that writes the bytes of its requests itself. */
import * as net from 'node:net'
import * as time from '../../src/time/index.js'

/** Time within which an expected event must happen, in ms; long, since it only bounds tests that fail. */
const EXPECTED_WITHIN_MS = 8_000

const CHECK_MS = 5

/** One connection to a gateway, with all that was received on it. */
export class RawCaller implements Disposable {
  received = ''
  /** `ended`: closed in order; `reset`: closed with an error. */
  state: 'open' | 'ended' | 'reset' = 'open'
  private readonly socket: net.Socket

  constructor (port: number) {
    this.socket = net.connect({ port, host: '127.0.0.1', noDelay: true, allowHalfOpen: true })
    this.socket.on('data', (data: Buffer) => { this.received += data.toString('latin1') })
    this.socket.on('end', () => { if (this.state === 'open') this.state = 'ended' })
    this.socket.on('error', () => { this.state = 'reset' })
  }

  send (text: string): void {
    this.socket.write(text, 'latin1')
  }

  /** Ends the direction to the gateway and keeps reading. */
  halfClose (): void {
    this.socket.end()
  }

  /** Stops or continues to read. */
  setReading (reads: boolean): void {
    if (reads) this.socket.resume()
    else this.socket.pause()
  }

  /** Waits until `text` was received; rejects when the connection closes first. */
  async receive (text: string | RegExp): Promise<void> {
    await this.until(`no ${String(text)}`, () => this.has(text) || this.state !== 'open')
    if (!this.has(text)) throw new Error(`connection ${this.state} before ${String(text)}, received: ${JSON.stringify(this.received)}`)
  }

  /** Waits until the gateway has closed the connection. */
  async closed (): Promise<void> {
    await this.until('not closed', () => this.state !== 'open')
  }

  [Symbol.dispose] (): void {
    this.socket.destroy()
  }

  private has (text: string | RegExp): boolean {
    return typeof text === 'string' ? this.received.includes(text) : text.test(this.received)
  }

  private async until (what: string, condition: () => boolean): Promise<void> {
    const timers = new time.SystemTimers()
    for (const startedAt = Date.now(); !condition(); await time.delay(timers, CHECK_MS)) {
      if (Date.now() - startedAt > EXPECTED_WITHIN_MS) throw new Error(`${what}, received: ${JSON.stringify(this.received)}`)
    }
  }
}

/** Head of a request to the route of `gateway-process.ts`; `lines` are further header lines. */
export function requestHead (id: string, lines: readonly string[] = [], requestLine = 'POST /r/x HTTP/1.1'): string {
  return [requestLine, 'Host: ledger.example', `Request-Id: ${id}`, 'Authorization: Token key1', 'Deadline-Ms: 8000', ...lines, '', ''].join('\r\n')
}
