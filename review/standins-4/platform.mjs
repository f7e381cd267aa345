/** The platform as its pages describe it: the metadata store and the API for duties, over HTTP on loopback. */
import * as http from 'node:http'

/** Objects in one page of a list. */
const PAGE_SIZE = 500

/** Heartbeats without a write after which the entry of a server is removed. */
const EXPIRY_HEARTBEATS = 3

/** Interval at which expired entries are looked for, in ms. */
const EXPIRY_CHECK_MS = 100

/** Serves objects by kind and name with conditional changes, and takes the calls of duties. */
export class Platform {
  /** Calls of duties as received. */
  duties = []
  #kinds = new Map()
  #revision = 1
  #heartbeats = new Map()
  #server
  #expiry

  constructor (heartbeatMs) {
    this.heartbeatMs = heartbeatMs
  }

  /** Starts to listen on a free port. */
  async start () {
    this.#server = http.createServer({ keepAliveTimeout: 30_000 }, (req, res) => { this.#handle(req, res).catch(() => res.destroy()) })
    await new Promise((resolve) => this.#server.listen(0, '127.0.0.1', resolve))
    this.address = `127.0.0.1:${this.#server.address().port}`
    this.#expiry = setInterval(() => this.#removeExpired(), EXPIRY_CHECK_MS)
  }

  /** Stops listening and closes all connections. */
  stop () {
    clearInterval(this.#expiry)
    this.#server.closeAllConnections()
    this.#server.close()
  }

  /** Writes an object as the operator does. */
  write (kind, name, spec) {
    const objects = this.#objects(kind)
    const known = objects.get(name)
    if (known !== undefined && JSON.stringify(known.spec) === JSON.stringify(spec)) return
    objects.set(name, { metadata: { name, revision: ++this.#revision, created: known?.metadata.created ?? Date.now(), finalizers: [], deleting: false }, spec, status: null })
  }

  /** Writes the entry of a server as its heartbeat does. */
  beat (name, spec) {
    this.#heartbeats.set(name, performance.now())
    this.write('servers', name, spec)
  }

  /** Names of the servers that have an entry. */
  serverNames () {
    return [...this.#objects('servers').keys()]
  }

  #objects (kind) {
    if (!this.#kinds.has(kind)) this.#kinds.set(kind, new Map())
    return this.#kinds.get(kind)
  }

  #removeExpired () {
    for (const name of this.serverNames()) {
      if (performance.now() - this.#heartbeats.get(name) < EXPIRY_HEARTBEATS * this.heartbeatMs) continue
      this.#objects('servers').delete(name)
      this.#revision++
    }
  }

  async #handle (req, res) {
    const chunks = []
    for await (const chunk of req) chunks.push(chunk)
    const body = chunks.length === 0 ? undefined : JSON.parse(Buffer.concat(chunks).toString())
    const url = new URL(req.url, 'http://platform')
    if (!url.pathname.startsWith('/-/objects/')) {
      this.duties.push({ at: Date.now(), path: url.pathname, holder: req.headers['duty-holder'], token: Number(req.headers['fence-token']), body })
      send(res, 200, {})
      return
    }
    const [kind, name] = url.pathname.slice('/-/objects/'.length).split('/').map(decodeURIComponent)
    if (req.method === 'GET') this.#read(res, url, kind, name)
    else this.#change(req.method, res, url, kind, name ?? body?.metadata.name, body)
  }

  #read (res, url, kind, name) {
    const objects = this.#objects(kind)
    if (name !== undefined) {
      const object = objects.get(name)
      send(res, object === undefined ? 404 : 200, object ?? {})
      return
    }
    const after = url.searchParams.get('after') ?? ''
    const names = [...objects.keys()].filter((key) => key > after).sort()
    send(res, 200, { items: names.slice(0, PAGE_SIZE).map((key) => objects.get(key)), morePages: names.length > PAGE_SIZE, asOf: this.#revision })
  }

  #change (method, res, url, kind, name, body) {
    const objects = this.#objects(kind)
    const known = objects.get(name)
    const expected = method === 'DELETE' ? url.searchParams.get('revision') : body.metadata?.revision
    const isStale = expected !== undefined && expected !== null && Number(expected) !== known?.metadata.revision
    if (method === 'POST' ? known !== undefined : known === undefined || isStale) {
      send(res, known === undefined ? 404 : 409, known ?? {})
      return
    }
    if (method === 'DELETE') objects.delete(name)
    else this.write(kind, name, body.spec)
    if (method === 'DELETE') this.#revision++
    send(res, 200, objects.get(name) ?? {})
  }
}

function send (res, status, body) {
  const text = JSON.stringify(body)
  res.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) })
  res.end(text)
}
