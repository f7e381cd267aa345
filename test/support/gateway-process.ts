/** A complete gateway with the platform adapter on loopback, an in-memory store, and scripted servers. */
import * as http from 'node:http'
import * as net from 'node:net'
import type * as duties from '../../src/duties/index.js'
import * as errors from '../../src/errors/index.js'
import * as gateway from '../../src/gateway/index.js'
import * as log from '../../src/log/index.js'
import * as metrics from '../../src/metrics/index.js'
import * as standin from '../../src/standin/index.js'
import * as time from '../../src/time/index.js'
import * as callerProtocol from '../../platform/caller-protocol.js'
import * as servingConfig from '../../platform/serving-config.js'
import * as targetEntry from '../../platform/target-entry.js'
import * as targetProtocol from '../../platform/target-protocol.js'
import * as ports from './ports.js'

const HOST = '127.0.0.1'

/** A platform configuration with one plain service and one route. */
export const CONFIG = {
  version: 1,
  routes: [{ name: 'record', host: 'ledger.example', pathPrefix: '/r/', kind: 'unsafe', timeoutMs: 400, sloMs: 150, priority: 1, service: 'ledger', maxAttempts: 1, public: false }],
  services: [{ name: 'ledger', maxConns: 50 }],
  limits: { maxHeaderBytes: 16_384, maxBodyBytes: 1_000, headerTimeoutMs: 3_000, idleTimeoutMs: 5_000 },
  tenants: [{ name: 'acc', apiKeys: ['key1'] }]
}

const NO_DUTIES: duties.DutyApi = {
  reportUsage: async () => errors.Ok(undefined),
  orderTargets: async () => errors.Ok(undefined)
}

/** A gateway node in this process, with its servers, log lines and metrics. */
export class GatewayProcess implements AsyncDisposable {
  readonly lines: string[] = []
  readonly metrics = new metrics.Metrics()
  readonly store = new standin.MemoryStore(new time.SystemTimers())
  private node: gateway.GatewayNode | undefined
  private readonly servers: http.Server[] = []
  /** Port for callers; 0 before the start. */
  callerPort = 0
  /** Port for other gateways; 0 before the start. */
  peerPort = 0

  /** Starts a server of the plain service and adds it to the list of targets. */
  async addServer (id: string, handler: http.RequestListener): Promise<void> {
    const server = http.createServer(handler)
    this.servers.push(server)
    await new Promise<void>((resolve) => server.listen(0, HOST, resolve))
    const address = `${HOST}:${(server.address() as net.AddressInfo).port}`
    await this.store.put(`servers/${id}`, JSON.stringify({ service: 'ledger', address, zone: 'z', slots: 4, state: 'ready', seq: 1 }), 'absent')
  }

  /** Starts the gateway and waits until it is ready. */
  async start (config: object = CONFIG, graceMs = 8_000): Promise<void> {
    await this.store.put(servingConfig.CONFIG_KEY, JSON.stringify(config), 'absent')
    this.callerPort = await ports.freePort()
    this.peerPort = await ports.freePort()
    const logOutput = { write: (line: string) => this.lines.push(line.trim()) > 0 }
    this.node = new gateway.GatewayNode({
      settings: {
        name: 'g1',
        incarnation: 'i1',
        domain: 'z',
        domains: ['z'],
        callerHost: HOST,
        callerPort: this.callerPort,
        peerHost: HOST,
        peerPort: this.peerPort,
        bounds: { keyRevocationMs: 5_000, leavePropagationMs: 2_000, targetExpiryMs: 2_400, configPropagationMs: 2_000, retryLimits: { ratio: 0.2, slack: 50, windowMs: 10_000 }, graceMs, takeoverDelayMs: 3_000, usageWindowMs: 5_000, quota: { windowMs: 8_000, overage: 0, slackTokens: 0 } }
      },
      env: time.systemEnv(),
      store: this.store,
      eras: this.store.eras,
      callerProtocol: new callerProtocol.HttpCallerProtocol(),
      targetProtocol: new targetProtocol.HttpTargetProtocol(),
      dutyApi: NO_DUTIES,
      config: { key: servingConfig.CONFIG_KEY, decode: servingConfig.decodeConfig },
      targets: { prefix: targetEntry.TARGETS_PREFIX, decode: targetEntry.decodeTarget },
      log: log.createLogger('gateway', 'info', logOutput as never),
      metrics: this.metrics
    })
    await this.node.start()
    while (!this.node.ready) await time.delay(new time.SystemTimers(), 10)
  }

  /** Writes a configuration and waits until it is in force; a request of an unknown route makes the gateway read it at once. */
  async change (config: object & { version: number }): Promise<void> {
    await this.store.put(servingConfig.CONFIG_KEY, JSON.stringify(config), this.store.peek(servingConfig.CONFIG_KEY)!.version)
    while (!this.lines.some((line) => line.includes('event=config_applied') && line.includes(` version=${config.version} `))) await this.request(`change-${config.version}`, { path: '/unknown/' })
  }

  /** Sends a request and reads the complete response. */
  async request (id: string, overrides: { path?: string, key?: string, body?: string, headers?: Record<string, string> } = {}): Promise<{ status: number, headers: http.IncomingHttpHeaders, body: string }> {
    return await new Promise((resolve, reject) => {
      const headers = { host: 'ledger.example', 'request-id': id, authorization: `Token ${overrides.key ?? 'key1'}`, 'deadline-ms': '2500', ...overrides.headers }
      const req = http.request({ host: HOST, port: this.callerPort, method: 'POST', path: overrides.path ?? '/r/x', headers, agent: false }, (res) => {
        let body = ''
        res.on('data', (data: Buffer) => { body += data.toString() })
        res.on('end', () => resolve({ status: res.statusCode!, headers: res.headers, body }))
        res.on('error', reject)
      })
      req.on('error', reject)
      req.end(overrides.body ?? 'b')
    })
  }

  /** Opens a connection of a caller that writes requests as text. */
  connect (): CallerSocket {
    return new CallerSocket(net.connect(this.callerPort, HOST))
  }

  /** Log lines that contain the id of a request. */
  linesOf (id: string): string[] {
    return this.lines.filter((line) => line.includes(`id=${id}`))
  }

  async stop (): Promise<void> {
    await this.node?.stop()
  }

  /** Closes all connections at once, as the end of the process does. */
  async exit (): Promise<void> {
    await this.node?.[Symbol.asyncDispose]()
  }

  async [Symbol.asyncDispose] (): Promise<void> {
    await this.node?.[Symbol.asyncDispose]()
    for (const server of this.servers) {
      server.closeAllConnections()
      await new Promise<void>((resolve) => { server.close(() => resolve()) })
    }
  }
}

/** A caller's connection, as bytes. */
export class CallerSocket implements Disposable {
  /** All that was received. */
  text = ''
  /** Resolves when the connection has closed. */
  readonly closed: Promise<void>

  constructor (readonly socket: net.Socket) {
    socket.on('data', (data: Buffer) => { this.text += data.toString('latin1') })
    socket.on('error', () => {})
    this.closed = new Promise((resolve) => { socket.once('close', () => resolve()) })
  }

  /** Sends the head of a request, and as much of its body as is given. */
  send (id: string, body: string, length = body.length): void {
    this.socket.write(`POST /r/x HTTP/1.1\r\nhost: ledger.example\r\nrequest-id: ${id}\r\nauthorization: Token key1\r\ndeadline-ms: 30000\r\ncontent-length: ${length}\r\n\r\n${body}`)
  }

  /** Statuses of the responses whose head was received. */
  get statuses (): number[] {
    return [...this.text.matchAll(/HTTP\/1\.1 (\d+)/g)].map((match) => Number(match[1]))
  }

  [Symbol.dispose] (): void {
    this.socket.destroy()
  }
}
