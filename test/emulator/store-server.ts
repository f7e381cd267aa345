/** The platform's metadata store and its API for duties, over HTTP. */
import type * as http from 'node:http'
import * as external from '../../src/external/index.js'
import * as standin from '../../src/standin/index.js'
import * as time from '../../src/time/index.js'
import * as httpServer from './http-server.js'

/** Objects in one page of a list. */
const PAGE_SIZE = 500

/** How the store responds. */
export type StoreMode = 'serving' | 'busy' | 'silent' | 'lose_writes'

/** A usage report or an order of targets, as received. */
export interface DutyCall {
  readonly path: string
  readonly holder: string
  readonly token: number
  readonly body: Record<string, unknown>
  readonly at: number
}

/** A stored object, as the platform encodes it. */
interface ObjectBody {
  readonly metadata: { readonly name: string, readonly revision?: number }
  readonly spec: unknown
}

/** Serves a {@link standin.MemoryStore} with the platform's calls. */
export class StoreServer implements AsyncDisposable {
  readonly store = new standin.MemoryStore(new time.SystemTimers())
  mode: StoreMode = 'serving'
  readonly duties: DutyCall[] = []
  /** Calls received. */
  calls = 0
  private server!: httpServer.HttpServer

  private constructor (private readonly clock: time.Clock) {}

  static async start (clock: time.Clock): Promise<StoreServer> {
    const created = new StoreServer(clock)
    created.server = await httpServer.HttpServer.listen(async (req, res) => await created.handle(req, res))
    return created
  }

  get address (): string {
    return this.server.address
  }

  /** Creates or replaces an object, as the operator and the servers do. */
  async write (key: string, spec: unknown): Promise<number> {
    for (;;) {
      const put = await this.store.put(key, JSON.stringify(spec), this.store.peek(key)?.version ?? 'absent')
      if (put.ok) return put.val.version
    }
  }

  /** Removes an object if it exists. */
  async remove (key: string): Promise<void> {
    const current = this.store.peek(key)
    if (current !== undefined) await this.store.delete(key, current.version)
  }

  async [Symbol.asyncDispose] (): Promise<void> {
    await this.server[Symbol.asyncDispose]()
  }

  private async handle (req: http.IncomingMessage, res: http.ServerResponse): Promise<void> {
    const url = new URL(req.url ?? '/', 'http://store')
    const body = await httpServer.readJson(req)
    this.calls++
    res.setHeader('store-era', String(this.store.era))
    if (this.mode === 'silent') return
    if (this.mode === 'busy') { httpServer.sendJson(res, 503, {}); return }
    if (!url.pathname.startsWith('/-/objects/')) { this.handleDuty(req, res, url.pathname, body as Record<string, unknown>); return }
    const [kind = '', name = ''] = url.pathname.slice('/-/objects/'.length).split('/').map(decodeURIComponent)
    if (req.method === 'GET') await this.read(res, url, kind, name)
    else await this.change(req, res, url, kind, name, body as ObjectBody)
  }

  private async read (res: http.ServerResponse, url: URL, kind: string, name: string): Promise<void> {
    if (url.searchParams.has('watch')) {
      const batch = await this.store.watch(`${kind}/`, this.versionOf(url.searchParams.get('watch')), Number(url.searchParams.get('waitMs')))
      if (batch.err) { httpServer.sendJson(res, 503, {}); return }
      const changed = batch.val.changes.map((object) => ({ deleted: false, object: encode(object) }))
      const deleted = batch.val.deleted.map((key) => ({ deleted: true, object: { metadata: { name: key.slice(kind.length + 1), revision: external.revisionOf(batch.val.version) }, spec: null } }))
      httpServer.sendJson(res, 200, { events: [...changed, ...deleted], asOf: external.revisionOf(batch.val.version) })
    } else if (name !== '') {
      const object = this.store.peek(`${kind}/${name}`)
      httpServer.sendJson(res, object === undefined ? 404 : 200, object === undefined ? {} : encode(object))
    } else {
      const after = url.searchParams.get('after') ?? ''
      const keys = this.store.keys(`${kind}/`).filter((key) => key > `${kind}/${after}`)
      const items = keys.slice(0, PAGE_SIZE).map((key) => encode(this.store.peek(key)!))
      httpServer.sendJson(res, 200, { items, morePages: keys.length > PAGE_SIZE, asOf: 0 })
    }
  }

  private async change (req: http.IncomingMessage, res: http.ServerResponse, url: URL, kind: string, name: string, body: ObjectBody): Promise<void> {
    const key = `${kind}/${name === '' ? body.metadata.name : name}`
    if (req.method === 'DELETE') {
      const deleted = await this.store.delete(key, this.versionOf(url.searchParams.get('revision')))
      if (this.mode !== 'lose_writes') httpServer.sendJson(res, deleted.ok ? 200 : 409, {})
      return
    }
    const put = await this.store.put(key, JSON.stringify(body.spec), req.method === 'POST' || body.metadata.revision === undefined ? 'absent' : this.versionOf(body.metadata.revision))
    if (this.mode === 'lose_writes') return
    if (put.ok) httpServer.sendJson(res, 200, encode(put.val))
    else httpServer.sendJson(res, 409, put.val.current === undefined ? {} : encode(put.val.current))
  }

  private versionOf (revision: string | number | null): number {
    return external.storeVersion(this.store.era, Number(revision))
  }

  private handleDuty (req: http.IncomingMessage, res: http.ServerResponse, path: string, body: Record<string, unknown>): void {
    this.duties.push({ path, holder: String(req.headers['duty-holder']), token: Number(req.headers['fence-token']), body, at: this.clock.now() })
    httpServer.sendJson(res, 200, {})
  }
}

function encode (object: { key: string, version: number, value: string }): object {
  return { metadata: { name: object.key.slice(object.key.indexOf('/') + 1), revision: external.revisionOf(object.version) }, spec: JSON.parse(object.value) as unknown, status: null }
}
