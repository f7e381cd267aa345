/** JSON-RPC between peers over TCP, one message per line. */
import * as net from 'node:net'
import * as readline from 'node:readline'
import * as rpc from 'json-rpc-2.0'
import { Err, Ok, type Result } from '../errors/index.js'
import { SILENT_LOGGER, type Logger } from '../log/index.js'
import * as sockets from '../sockets/index.js'
import type { Timers } from '../time/index.js'
import { withTimeout } from '../time/index.js'
import type { PeerError, PeerHandler, Peers } from './types.js'

/** Longest unfinished line accepted from a peer, in bytes. */
const MAX_LINE_BYTES = 2 * 1024 * 1024

/** Time allowed to establish a connection, in ms. */
const CONNECT_TIMEOUT_MS = 1_000

/**
 * Watchdog period, in ms. When a call times out, its connection is destroyed if it has received nothing since the last
 * watchdog tick.
 */
const WATCHDOG_PERIOD_MS = 3_000

/** Bytes and messages exchanged with peers. */
export interface PeerTraffic {
  messagesOut: number
  bytesOut: number
  messagesIn: number
  bytesIn: number
}

/** Accepts connections of other peers and keeps one connection to each peer that it calls. */
export class TcpPeers implements Peers, AsyncDisposable {
  readonly traffic: PeerTraffic = { messagesOut: 0, bytesOut: 0, messagesIn: 0, bytesIn: 0 }
  private readonly server = new rpc.JSONRPCServer()
  private readonly listener = net.createServer((socket) => this.accept(socket))
  private readonly connections = new Map<string, PeerConnection>()
  private readonly acceptedSockets = new Set<net.Socket>()

  constructor (private readonly timers: Timers, private readonly log: Logger = SILENT_LOGGER) {
    this.server.applyMiddleware(async (next, req, server) => await next(req, server))
  }

  /** Starts listening; resolves with the port. */
  async listen (host: string, port: number): Promise<number> {
    await sockets.listen(this.listener, { host, port }, { timers: this.timers, log: this.log })
    return (this.listener.address() as net.AddressInfo).port
  }

  handle (method: string, handler: PeerHandler): void {
    this.server.addMethod(method, async (params: unknown) => await handler(params))
  }

  async call<T> (address: string, method: string, params: unknown, timeoutMs: number): Promise<Result<T, PeerError>> {
    const connection = this.connectionTo(address)
    const reply = await withTimeout<Result<T, PeerError>>(this.timers, timeoutMs, connection.call<T>(method, params),
      () => Err({ kind: 'timeout', message: `no reply from ${address} within ${timeoutMs} ms` }))
    if (reply.err && reply.val.kind === 'timeout') connection.closeIfStalled()
    return reply
  }

  async [Symbol.asyncDispose] (): Promise<void> {
    for (const connection of [...this.connections.values()]) connection.close('peer client stopped')
    for (const socket of this.acceptedSockets) socket.destroy()
    await new Promise<void>((resolve) => { this.listener.close(() => resolve()) })
  }

  private connectionTo (address: string): PeerConnection {
    const current = this.connections.get(address)
    if (current !== undefined && !current.closed) return current
    const connection = new PeerConnection(address, this.timers, this.traffic, () => { if (this.connections.get(address) === connection) this.connections.delete(address) })
    this.connections.set(address, connection)
    return connection
  }

  private accept (socket: net.Socket): void {
    this.acceptedSockets.add(socket)
    socket.setNoDelay(true)
    socket.on('error', () => socket.destroy())
    socket.on('close', () => this.acceptedSockets.delete(socket))
    readLines(socket, this.traffic, (line) => { this.handleLine(socket, line).catch(() => socket.destroy()) })
  }

  private async handleLine (socket: net.Socket, line: string): Promise<void> {
    const res = await this.server.receiveJSON(line)
    if (res !== null && !socket.destroyed) writeLine(socket, res, this.traffic)
  }
}

type ConnectOutcome = 'open' | 'refused' | 'unreachable'

class PeerConnection {
  closed = false
  private lastReceiveTick = 0
  private watchdogTicks = 0
  private readonly socket: net.Socket
  private readonly connected: Promise<ConnectOutcome>
  private readonly client: rpc.JSONRPCClient
  private readonly watchdog: Disposable

  constructor (readonly address: string, private readonly timers: Timers, private readonly traffic: PeerTraffic, private readonly onClose: () => void) {
    const separator = address.lastIndexOf(':')
    this.socket = net.connect({ host: address.slice(0, separator), port: Number(address.slice(separator + 1)) })
    this.socket.setNoDelay(true)
    this.connected = this.connect()
    this.client = new rpc.JSONRPCClient((payload) => { writeLine(this.socket, payload, this.traffic) })
    this.watchdog = this.timers.every(WATCHDOG_PERIOD_MS, () => { this.watchdogTicks++ })
    readLines(this.socket, this.traffic, (line) => { this.receiveLine(line) })
    this.socket.on('close', () => this.close('connection closed'))
  }

  async call<T> (method: string, params: unknown): Promise<Result<T, PeerError>> {
    const outcome = await this.connected
    if (outcome !== 'open') return Err({ kind: outcome, message: `cannot connect to ${this.address}` })
    if (this.closed) return Err({ kind: 'unreachable', message: `connection to ${this.address} was closed` })
    try {
      return Ok(await this.client.request(method, params) as T)
    } catch (err) {
      const kind = this.closed ? 'unreachable' : 'failed'
      return Err({ kind, message: err instanceof Error ? err.message : String(err) })
    }
  }

  /** Destroys the connection when nothing was received since the last watchdog tick. */
  closeIfStalled (): void {
    if (this.watchdogTicks - this.lastReceiveTick >= 1) this.close('connection stalled')
  }

  close (reason: string): void {
    if (this.closed) return
    this.closed = true
    this.watchdog[Symbol.dispose]()
    this.socket.destroy()
    this.client.rejectAllPendingRequests(reason)
    this.onClose()
  }

  // Only a refused connection shows that no process listens there; a timeout or a missing route does not.
  private async connect (): Promise<ConnectOutcome> {
    return await new Promise<ConnectOutcome>((resolve) => {
      const fail = (outcome: ConnectOutcome, reason: string): void => {
        timer[Symbol.dispose]()
        this.close(reason)
        resolve(outcome)
      }
      const timer = this.timers.after(CONNECT_TIMEOUT_MS, () => fail('unreachable', 'connecting timed out'))
      this.socket.once('connect', () => { timer[Symbol.dispose](); resolve('open') })
      this.socket.once('error', (err: NodeJS.ErrnoException) => fail(err.code === 'ECONNREFUSED' ? 'refused' : 'unreachable', 'connecting failed'))
    })
  }

  private receiveLine (line: string): void {
    this.lastReceiveTick = this.watchdogTicks
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

function readLines (socket: net.Socket, traffic: PeerTraffic, onLine: (line: string) => void): void {
  let unfinishedBytes = 0
  socket.on('data', (data: Buffer) => {
    traffic.bytesIn += data.length
    const lastBreak = data.lastIndexOf(10)
    unfinishedBytes = lastBreak >= 0 ? data.length - lastBreak - 1 : unfinishedBytes + data.length
    if (unfinishedBytes > MAX_LINE_BYTES) socket.destroy()
  })
  const lines = readline.createInterface({ input: socket, crlfDelay: Infinity })
  lines.on('error', () => socket.destroy())
  lines.on('line', (line) => { traffic.messagesIn++; onLine(line) })
}
