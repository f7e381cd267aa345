/** Clients that hold as much of a gateway as they can, and the deployment that they connect to. */
import * as fs from 'node:fs'
import * as http from 'node:http'
import * as net from 'node:net'
import * as time from '../../src/time/index.js'
import * as deployment from '../emulator/deployment.js'
import * as httpServer from '../emulator/http-server.js'

/** Arguments of Node in the deploy file, whose command the operators run. */
const NODE_ARGS = /run = "node (.*?) ?target\//.exec(fs.readFileSync('deploy/system.toml', 'utf8'))![1]!.split(' ')

const KIB_PER_MB = 1_024

/** Time after which the caller of the ordinary request gives up, in ms; only bounds tests that fail. */
const GIVE_UP_MS = 20_000

/** Connections on which nothing more is sent, and whose data is not read, until they are disposed. */
export class AbusiveClients implements Disposable {
  private readonly sockets: net.Socket[] = []

  constructor (private readonly address: string) {}

  /** Opens a connection and writes all pieces as far as the other side reads them. */
  connect (pieces: readonly Buffer[]): void {
    const [host, port] = this.address.split(':')
    const socket = net.connect(Number(port), host)
    socket.on('error', () => {})
    for (const piece of pieces) socket.write(piece)
    this.sockets.push(socket)
  }

  [Symbol.dispose] (): void {
    for (const socket of this.sockets) socket.destroy()
  }
}

/** Head of a request of the first account, which the abusive clients use. */
export function head (path: string, ...lines: string[]): string {
  return ['POST ' + path + ' HTTP/1.1', 'Host: svc.example', 'Request-Id: abuse', 'Authorization: Token key-0', 'Deadline-Ms: 30000', ...lines, '', ''].join('\r\n')
}

/** A chunked body of `count` chunks without its end. */
export function openChunks (size: number, count: number): string {
  return `${size.toString(16)}\r\n${'x'.repeat(size)}\r\n`.repeat(count)
}

/** One gateway process within limits, with a server whose plain service is under control of the test. */
export class LimitedGateway implements AsyncDisposable {
  private constructor (readonly dep: deployment.Deployment, private readonly server: httpServer.HttpServer, private readonly limits: deployment.VmLimits) {}

  /** Starts the gateway; `handler` serves what is sent to the routes of the engines, in the place of an engine. */
  static async start (limits: deployment.VmLimits, handler: httpServer.Handler): Promise<LimitedGateway> {
    const server = await httpServer.HttpServer.listen(handler)
    const dep = await deployment.Deployment.start(time.systemEnv(), { gateways: 1, engines: 0, plains: 1, accounts: 2, nodeArgs: () => NODE_ARGS, limits })
    await dep.store.write('servers/scripted', { service: deployment.ENGINES, address: server.address, zone: 'zone-a', slots: 4_000, state: 'ready', stage: 'decode' })
    await dep.ready()
    return new LimitedGateway(dep, server, limits)
  }

  get address (): string {
    return this.dep.gateways[0]!.front
  }

  /** What is over its limit now, or ended; empty when all is as it should be. */
  violations (): string[] {
    const { pid, lines } = this.dep.gateways[0]!
    if (pid === undefined) return [`ended: ${lines.slice(-3).join('\n')}`]
    const peakMb = Number(/VmHWM:\s+(\d+)/.exec(fs.readFileSync(`/proc/${pid}/status`, 'utf8'))![1]) / KIB_PER_MB
    const fds = fs.readdirSync(`/proc/${pid}/fd`).length
    const found = [peakMb > this.limits.memoryMb ? `peak of ${Math.round(peakMb)} MB` : '', fds > this.limits.maxFds ? `${fds} descriptors` : '']
    return found.filter((text) => text !== '')
  }

  /** Sends an ordinary request of another account; its status, or the error. */
  async request (): Promise<number | string> {
    const [host, port] = this.address.split(':')
    const headers = { host: 'svc.example', 'request-id': 'ordinary', authorization: 'Token key-1', 'deadline-ms': '4000' }
    return await new Promise((resolve) => {
      const req = http.request({ host, port, method: 'POST', path: '/read/x', headers, agent: false }, (res) => {
        res.resume().on('end', () => resolve(res.statusCode!))
      })
      req.on('error', (err) => resolve(err.message))
      req.setTimeout(GIVE_UP_MS, () => req.destroy(new Error('no response')))
      req.end('question')
    })
  }

  async [Symbol.asyncDispose] (): Promise<void> {
    await this.dep[Symbol.asyncDispose]()
    await this.server[Symbol.asyncDispose]()
  }
}
