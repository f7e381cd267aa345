/** A plain service of the platform: short requests on a few slots. */
import type * as http from 'node:http'
import type * as time from '../../src/time/index.js'
import * as httpServer from './http-server.js'
import type * as observations from './observations.js'

/** Requests that wait for a slot; further ones are rejected. */
const QUEUE = 24

/** Time that a request takes, in ms. */
const WORK_MS = 25

/** How a server treats requests that it has run. */
export type ServerFault = 'none' | 'lose_answer' | 'break_off' | 'extra_answer' | 'stall'

/** What servers need. */
export interface ServerDeps {
  readonly env: time.Env
  readonly observations: observations.Observations
}

/** Serves the requests of one plain server. */
export class PlainServer implements AsyncDisposable {
  fault: ServerFault = 'none'
  private running = 0
  private readonly waiting: Array<() => void> = []
  private server!: httpServer.HttpServer

  private constructor (readonly id: string, readonly slots: number, private readonly deps: ServerDeps) {}

  static async start (id: string, slots: number, deps: ServerDeps): Promise<PlainServer> {
    const created = new PlainServer(id, slots, deps)
    created.server = await httpServer.HttpServer.listen(async (req, res) => await created.handle(req, res))
    return created
  }

  get address (): string {
    return this.server.address
  }

  async [Symbol.asyncDispose] (): Promise<void> {
    await this.server[Symbol.asyncDispose]()
  }

  private async handle (req: http.IncomingMessage, res: http.ServerResponse): Promise<void> {
    await httpServer.readBody(req)
    const id = String(req.headers['request-id'] ?? '')
    const head = { 'request-id': id, 'server-load': `${this.running},${this.waiting.length},${this.slots}` }
    const expected = req.headers['expect-instance']
    if (expected !== undefined && expected !== this.id) { httpServer.sendJson(res, 421, {}, { 'instance-id': this.id }); return }
    if (this.waiting.length >= QUEUE) { httpServer.sendJson(res, 503, {}, { ...head, 'not-executed': '1' }); return }
    await this.takeSlot()
    try {
      if (res.destroyed) return
      this.deps.observations.ran(id, { server: this.id, account: req.headers.tenant as string | undefined, prefillOnly: false, startedAt: this.deps.env.clock.now(), resumedAfter: 0, events: 0 })
      await new Promise<void>((resolve) => { this.deps.env.timers.after(WORK_MS, resolve) })
      this.respond(res, id, head)
    } finally {
      this.running--
      this.waiting.shift()?.()
    }
  }

  private respond (res: http.ServerResponse, id: string, head: http.OutgoingHttpHeaders): void {
    const body = plainBody(id)
    if (this.fault === 'stall') return
    if (this.fault === 'lose_answer') { res.destroy(); return }
    res.writeHead(200, { ...head, 'response-stamp': `${this.id}.${id}`, 'content-length': body.length })
    if (this.fault === 'break_off') {
      res.write(body.slice(0, body.length / 2), () => res.destroy())
      return
    }
    res.end(body)
    // The connection may be in use again when the second copy is written.
    if (this.fault === 'extra_answer') res.socket?.write(`HTTP/1.1 200 OK\r\nrequest-id: ${id}\r\nresponse-stamp: ${this.id}.${id}\r\ncontent-length: ${body.length}\r\n\r\n${body}`)
  }

  private async takeSlot (): Promise<void> {
    if (this.running >= this.slots) await new Promise<void>((resolve) => this.waiting.push(resolve))
    this.running++
  }
}

/** The whole body of the response to a plain request. */
export function plainBody (id: string): string {
  return `answer to ${id} `.repeat(20)
}
