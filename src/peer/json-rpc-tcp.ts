/** JSON-RPC between entries over TCP, one message a line. */
import * as net from 'node:net'
import * as readline from 'node:readline'
import * as rpc from 'json-rpc-2.0'
import { Err, Ok, type Result } from '../errors/index.js'
import type { Timers } from '../time/index.js'
import { withTimeout } from '../time/index.js'
import type { PeerError, PeerHandler, Peers } from './types.js'

/** Longest line accepted from a peer, in bytes. */
const MAX_LINE_BYTES = 2 * 1024 * 1024

/** Time allowed to open a connection, in ms. */
const CONNECT_TIMEOUT_MS = 1_000

/** A connection without an answer for this long while calls wait is destroyed, in ms. */
const SILENT_MS = 3_000

/** Bytes and messages exchanged with peers. */
export interface PeerTraffic {
  messagesOut: number
  bytesOut: number
  messagesIn: number
  bytesIn: number
}

/** Listens for other entries and keeps one connection to each peer it calls. */
export class TcpPeers implements Peers, AsyncDisposable {
  readonly traffic: PeerTraffic = { messagesOut: 0, bytesOut: 0, messagesIn: 0, bytesIn: 0 }
  private readonly server = new rpc.JSONRPCServer()
  private readonly listener = net.createServer((socket) => this.accept(socket))
  private readonly links = new Map<string, Link>()
  private readonly accepted = new Set<net.Socket>()

  constructor (private readonly timers: Timers) {
    this.server.applyMiddleware(async (next, req, server) => await next(req, server))
  }

  /** Starts listening; resolves with the port. */
  async listen (host: string, port: number): Promise<number> {
    await new Promise<void>((resolve, reject) => {
      this.listener.once('error', reject)
      this.listener.listen(port, host, resolve)
    })
    return (this.listener.address() as net.AddressInfo).port
  }

  handle (method: string, handler: PeerHandler): void {
    this.server.addMethod(method, async (params: unknown) => await handler(params))
  }

  async call<T> (address: string, method: string, params: unknown, timeoutMs: number): Promise<Result<T, PeerError>> {
    const link = this.linkTo(address)
    const answer = await withTimeout<Result<T, PeerError>>(this.timers, timeoutMs, link.call<T>(method, params),
      () => Err({ kind: 'timeout', message: `no answer from ${address} within ${timeoutMs} ms` }))
    if (answer.err && answer.val.kind === 'timeout') link.closeIfSilent()
    return answer
  }

  async [Symbol.asyncDispose] (): Promise<void> {
    for (const link of [...this.links.values()]) link.close('closing')
    for (const socket of this.accepted) socket.destroy()
    await new Promise<void>((resolve) => { this.listener.close(() => resolve()) })
  }

  private linkTo (address: string): Link {
    const current = this.links.get(address)
    if (current !== undefined && !current.closed) return current
    const link = new Link(address, this.timers, this.traffic, () => { if (this.links.get(address) === link) this.links.delete(address) })
    this.links.set(address, link)
    return link
  }

  private accept (socket: net.Socket): void {
    this.accepted.add(socket)
    socket.setNoDelay(true)
    socket.on('error', () => socket.destroy())
    socket.on('close', () => this.accepted.delete(socket))
    readLines(socket, this.traffic, (line) => { this.answer(socket, line).catch(() => socket.destroy()) })
  }

  private async answer (socket: net.Socket, line: string): Promise<void> {
    const res = await this.server.receiveJSON(line)
    if (res !== null && !socket.destroyed) writeLine(socket, res, this.traffic)
  }
}

type Opened = 'open' | 'refused' | 'unreachable'

class Link {
  closed = false
  private lastHeard = 0
  private ticks = 0
  private readonly socket: net.Socket
  private readonly opened: Promise<Opened>
  private readonly client: rpc.JSONRPCClient
  private readonly watchdog: Disposable

  constructor (readonly address: string, private readonly timers: Timers, private readonly traffic: PeerTraffic, private readonly onClose: () => void) {
    const separator = address.lastIndexOf(':')
    this.socket = net.connect({ host: address.slice(0, separator), port: Number(address.slice(separator + 1)) })
    this.socket.setNoDelay(true)
    this.opened = this.open()
    this.client = new rpc.JSONRPCClient((payload) => { writeLine(this.socket, payload, this.traffic) })
    this.watchdog = this.timers.every(SILENT_MS, () => { this.ticks++ })
    readLines(this.socket, this.traffic, (line) => { this.receive(line) })
    this.socket.on('close', () => this.close('connection closed'))
  }

  async call<T> (method: string, params: unknown): Promise<Result<T, PeerError>> {
    const opened = await this.opened
    if (opened !== 'open') return Err({ kind: opened, message: `cannot connect to ${this.address}` })
    if (this.closed) return Err({ kind: 'unreachable', message: `connection to ${this.address} was closed` })
    try {
      return Ok(await this.client.request(method, params) as T)
    } catch (err) {
      const kind = this.closed ? 'unreachable' : 'failed'
      return Err({ kind, message: err instanceof Error ? err.message : String(err) })
    }
  }

  /** Destroys the connection when nothing was heard for a whole watchdog period. */
  closeIfSilent (): void {
    if (this.ticks - this.lastHeard >= 1) this.close('connection silent')
  }

  close (reason: string): void {
    if (this.closed) return
    this.closed = true
    this.watchdog[Symbol.dispose]()
    this.socket.destroy()
    this.client.rejectAllPendingRequests(reason)
    this.onClose()
  }

  // Only a refusal shows that no process listens there; a timeout or a missing route does not.
  private async open (): Promise<Opened> {
    return await new Promise<Opened>((resolve) => {
      const fail = (outcome: Opened, reason: string): void => {
        timer[Symbol.dispose]()
        this.close(reason)
        resolve(outcome)
      }
      const timer = this.timers.after(CONNECT_TIMEOUT_MS, () => fail('unreachable', 'connect timeout'))
      this.socket.once('connect', () => { timer[Symbol.dispose](); resolve('open') })
      this.socket.once('error', (err: NodeJS.ErrnoException) => fail(err.code === 'ECONNREFUSED' ? 'refused' : 'unreachable', 'connect failed'))
    })
  }

  private receive (line: string): void {
    this.lastHeard = this.ticks
    try {
      this.client.receive(JSON.parse(line) as rpc.JSONRPCResponse)
    } catch {
      this.close('malformed message')
    }
  }
}

function writeLine (socket: net.Socket, payload: unknown, traffic: PeerTraffic): void {
  const line = JSON.stringify(payload) + '\n'
  traffic.messagesOut++
  traffic.bytesOut += line.length
  socket.write(line)
}

function readLines (socket: net.Socket, traffic: PeerTraffic, receive: (line: string) => void): void {
  let unfinished = 0
  socket.on('data', (data: Buffer) => {
    traffic.bytesIn += data.length
    const lastBreak = data.lastIndexOf(10)
    unfinished = lastBreak >= 0 ? data.length - lastBreak - 1 : unfinished + data.length
    if (unfinished > MAX_LINE_BYTES) socket.destroy()
  })
  const lines = readline.createInterface({ input: socket, crlfDelay: Infinity })
  lines.on('error', () => socket.destroy())
  lines.on('line', (line) => { traffic.messagesIn++; receive(line) })
}
