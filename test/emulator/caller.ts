/** Callers: send requests to gateways, read the responses as they arrive, and note what is wrong with them. */
import * as http from 'node:http'
import type * as time from '../../src/time/index.js'
import type * as deployment from './deployment.js'
import * as engineServer from './engine-server.js'
import type * as observations from './observations.js'
import * as plainServer from './plain-server.js'

/** Time that callers wait, in ms. */
const WAIT_MS = 4_000

/** Time without a byte after which callers of streams leave, in ms. */
const STREAM_IDLE_MS = 2_400

/** Time for which callers use addresses, in ms. */
const ADDRESSES_LIFE_MS = 1_500

/** Shape of the requests of one route. */
export interface RouteLoad {
  readonly route: string
  /** Share of all requests. */
  readonly share: number
  /** Tokens of the shared and of the own part of the prompt, and of the output; absent for plain routes. */
  readonly tokens?: { readonly shared: number, readonly own: number, readonly output: number }
  /** Number of different shared parts. */
  readonly sharedParts?: number
}

/** Sends requests at a given rate, whether or not earlier ones have ended. */
export class Callers implements Disposable {
  private readonly agent = new http.Agent({ keepAlive: true, maxSockets: 2_000 })
  private timer: Disposable | undefined
  private addresses: string[] = []
  private addressesAt = -Infinity
  private sequence = 0
  active = 0

  constructor (private readonly env: time.Env, private readonly target: deployment.Deployment, private readonly loads: readonly RouteLoad[], private readonly seed: string) {}

  /** Starts to send `perSecond` requests a second on average, at random times. */
  start (perSecond: number): void {
    const next = (): void => {
      this.timer = this.env.timers.after(-Math.log(1 - this.env.random.next()) * 1_000 / perSecond, () => {
        next()
        this.send().catch(() => {})
      })
    }
    next()
  }

  /** Stops sending; requests in flight go on. */
  stop (): void {
    this.timer?.[Symbol.dispose]()
    this.timer = undefined
  }

  [Symbol.dispose] (): void {
    this.stop()
    this.agent.destroy()
  }

  private async send (): Promise<void> {
    const entry = await this.pickEntry()
    if (entry === undefined) return
    const load = this.pickLoad()
    const account = this.target.accounts[Math.floor(this.env.random.next() * this.target.accounts.length)]!
    const id = `${this.seed}-${this.sequence++}`
    const observed = this.target.observations.sent(id, { route: load.route, account: account.name, key: account.key, entry, sentAt: this.env.clock.now() })
    this.active++
    observed.ending = await this.exchange(observed, load)
    observed.endedAt = this.env.clock.now()
    this.active--
  }

  private async pickEntry (): Promise<string | undefined> {
    const now = this.env.clock.now()
    if (now - this.addressesAt > ADDRESSES_LIFE_MS || this.addresses.length === 0) await this.resolveAddresses()
    return this.addresses[Math.floor(this.env.random.next() * this.addresses.length)]
  }

  private async resolveAddresses (): Promise<void> {
    this.addressesAt = this.env.clock.now()
    const start = Math.floor(this.env.random.next() * this.target.gateways.length)
    for (let offset = 0; offset < this.target.gateways.length; offset++) {
      const gateway = this.target.gateways[(start + offset) % this.target.gateways.length]!
      const reply = await fetch(`http://${gateway.directory}/-/resolve?name=svc.example`, { signal: AbortSignal.timeout(1_000) })
        .then(async (res) => await res.json() as { addresses: string[] }, () => undefined)
      if (reply === undefined || reply.addresses.length === 0) continue
      this.addresses = reply.addresses
      return
    }
  }

  private pickLoad (): RouteLoad {
    let draw = this.env.random.next() * this.loads.reduce((sum, load) => sum + load.share, 0)
    for (const load of this.loads) {
      draw -= load.share
      if (draw < 0) return load
    }
    return this.loads[0]!
  }

  private headers (id: string, key: string, { tokens, sharedParts = 1 }: RouteLoad): http.OutgoingHttpHeaders {
    const common = { host: 'svc.example', 'request-id': id, authorization: `Token ${key}`, 'deadline-ms': String(WAIT_MS) }
    if (tokens === undefined) return common
    const part = Math.floor(this.env.random.next() * sharedParts)
    return { ...common, 'token-count': `${tokens.shared + tokens.own},${tokens.output}`, 'prompt-prefix': `s${part}:${tokens.shared},${id}:${tokens.own}` }
  }

  private async exchange (observed: observations.Observed, load: RouteLoad): Promise<observations.Ending> {
    const { id, key, entry } = observed
    const [host, port] = entry.split(':')
    return await new Promise((resolve) => {
      const req = http.request({ host, port, method: 'POST', path: `/${load.route}/x`, headers: this.headers(id, key, load), agent: this.agent }, (res) => {
        const chunks: Buffer[] = []
        res.on('data', (chunk: Buffer) => {
          chunks.push(chunk)
          if (load.tokens !== undefined) idle = this.restart(idle, STREAM_IDLE_MS, leave)
        })
        res.on('end', () => finish(checkResponse(observed, load, res, Buffer.concat(chunks).toString())))
        res.on('error', () => finish('incomplete'))
      })
      const leave = (): void => { req.destroy(); finish('left') }
      const finish = (ending: observations.Ending): void => {
        deadline[Symbol.dispose]()
        idle[Symbol.dispose]()
        resolve(ending)
      }
      const deadline = this.env.timers.after(WAIT_MS, leave)
      let idle = this.env.timers.after(load.tokens === undefined ? WAIT_MS : STREAM_IDLE_MS, leave)
      req.on('error', () => finish('closed'))
      req.end('question')
    })
  }

  private restart (timer: Disposable, ms: number, fn: () => void): Disposable {
    timer[Symbol.dispose]()
    return this.env.timers.after(ms, fn)
  }
}

/** Notes what is wrong with a complete response; returns its status. */
function checkResponse (observed: observations.Observed, load: RouteLoad, res: http.IncomingMessage, body: string): number {
  const status = res.statusCode!
  if (status !== 200) return status
  if (res.headers['request-id'] !== observed.id) observed.faults.push(`response carries the id ${String(res.headers['request-id'])}`)
  if (res.headers['response-stamp'] === undefined) observed.faults.push('success without a stamp')
  if (body !== expectedBody(observed.id, load)) observed.faults.push(`body is not that of the server: ${JSON.stringify(body.slice(0, 200))}`)
  return status
}

function expectedBody (id: string, { tokens }: RouteLoad): string {
  if (tokens === undefined) return plainServer.plainBody(id)
  const events = engineServer.outputEvents(tokens.output)
  return Array.from({ length: events }, (_, index) => engineServer.eventText(id, index + 1)).join('')
}
