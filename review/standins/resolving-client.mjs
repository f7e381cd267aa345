/** Clients that ask the gateways where to connect, and send each request to one of the addresses at random. */
import * as client from './client.mjs'

/** Time allowed for an answer where to connect, in ms. */
const RESOLVE_TIMEOUT_MS = 1_000

/** Time for which an address that has failed a client is not used by it, in ms. */
const FAILED_MS = 5_000

/** One client with its own view of the addresses. */
export class Client {
  addresses = []
  failedAt = new Map()
  resolvedAt = -Infinity
  ttlMs = 0

  /** `directories`: the ports where gateways tell addresses, nearest first; `ttlFactor`: how long answers are kept. */
  constructor (directories, ttlFactor) {
    this.directories = directories
    this.ttlFactor = ttlFactor
  }

  async resolve () {
    for (const port of this.directories) {
      const res = await client.request({ port, method: 'GET', path: '/-/resolve?name=svc.example&region=region&zone=zone-a', headers: { Host: 'svc.example' }, timeoutMs: RESOLVE_TIMEOUT_MS })
      const body = res.status === 200 && res.complete ? JSON.parse(res.body) : undefined
      if (body?.addresses === undefined) continue
      this.addresses = body.addresses
      this.ttlMs = body.ttlS * 1_000 * this.ttlFactor
      this.resolvedAt = Date.now()
      return
    }
  }

  /** Asks again where to connect when the last answer is too old. */
  async refresh () {
    if (Date.now() - this.resolvedAt > this.ttlMs) await this.resolve()
  }

  /** One of the addresses at random, of those that have not failed lately if there are any. */
  pick () {
    const now = Date.now()
    const usable = this.addresses.filter((address) => now - (this.failedAt.get(address) ?? -Infinity) > FAILED_MS)
    const from = usable.length > 0 ? usable : this.addresses
    return from[Math.floor(Math.random() * from.length)]
  }

  /** Sends one request; resolves to its answer, the port that it was sent to, and when it was sent and answered. */
  async send (req, giveUpMs) {
    await this.refresh()
    const address = this.pick()
    if (address === undefined) return undefined
    const port = Number(address.split(':')[1])
    const sentAt = Date.now()
    const res = await client.request({ port, timeoutMs: giveUpMs, ...req })
    if (res.status === undefined) this.failedAt.set(address, Date.now())
    return { res, port, sentAt, answeredAt: res.status === undefined || !res.complete ? undefined : Date.now() }
  }
}
