/** Stand-in of the platform's metadata store and of its API for duties, over HTTP on loopback. */
import * as http from 'node:http'

const PAGE_SIZE = 500

/** Keeps objects by kind and name under one revision counter; records the calls to the API for duties. */
export class Store {
  revision = 100
  objects = new Map()
  /** Usage reports and target orders, as received. */
  duties = []
  /** Called with each request before it is handled; returns true when it has handled the request itself. */
  intercept = () => false

  static async start () {
    const store = new Store()
    store.server = http.createServer({ keepAliveTimeout: 30_000 }, (req, res) => {
      store.handle(req, res).catch(() => res.destroy())
    })
    await new Promise((resolve) => { store.server.listen(0, '127.0.0.1', resolve) })
    store.address = `127.0.0.1:${store.server.address().port}`
    return store
  }

  /** Writes an object as the operator or a server does; returns its revision. */
  write (kind, name, spec) {
    const key = `${kind}/${name}`
    const old = this.objects.get(key)
    if (old !== undefined && JSON.stringify(old.spec) === JSON.stringify(spec)) return old.metadata.revision
    this.objects.set(key, { metadata: { name, revision: ++this.revision, created: old?.metadata.created ?? Date.now(), finalizers: [], deleting: false }, spec, status: null })
    return this.revision
  }

  remove (kind, name) {
    if (this.objects.delete(`${kind}/${name}`)) this.revision++
  }

  close () {
    this.server.closeAllConnections()
    this.server.close()
  }

  async handle (req, res) {
    const text = await readAll(req)
    const url = new URL(req.url, 'http://store')
    const body = text === '' ? undefined : JSON.parse(text)
    if (this.intercept({ req, res, url, body }) === true) return
    this.answer(req, res, url, body)
  }

  /** Handles a call as a sound store does. */
  answer (req, res, url, body) {
    if (!url.pathname.startsWith('/-/objects/')) {
      this.duties.push({ at: Date.now(), path: url.pathname, holder: req.headers['duty-holder'], token: Number(req.headers['fence-token']), body })
      send(res, 200, {})
      return
    }
    const [kind, name = ''] = url.pathname.slice('/-/objects/'.length).split('/').map(decodeURIComponent)
    if (req.method === 'GET') this.read(res, url, kind, name)
    else this.change(req.method, res, url, kind, name, body)
  }

  read (res, url, kind, name) {
    if (name !== '') {
      const object = this.objects.get(`${kind}/${name}`)
      send(res, object === undefined ? 404 : 200, object ?? {})
      return
    }
    const after = url.searchParams.get('after') ?? ''
    const prefix = `${kind}/`
    const items = [...this.objects].filter(([key]) => key.startsWith(prefix) && key.slice(prefix.length) > after).map(([, object]) => object)
    items.sort((a, b) => a.metadata.name < b.metadata.name ? -1 : 1)
    send(res, 200, { items: items.slice(0, PAGE_SIZE), morePages: items.length > PAGE_SIZE, asOf: this.revision })
  }

  change (method, res, url, kind, name, body) {
    const objectName = name === '' ? body.metadata.name : name
    const key = `${kind}/${objectName}`
    const old = this.objects.get(key)
    const wanted = method === 'DELETE' ? url.searchParams.get('revision') : body.metadata?.revision
    const conflict = (method === 'POST' && old !== undefined) || (wanted !== undefined && wanted !== null && Number(wanted) !== old?.metadata.revision)
    if (conflict) {
      send(res, 409, old ?? {})
      return
    }
    if (method !== 'POST' && old === undefined) {
      send(res, 404, {})
      return
    }
    if (method === 'DELETE') {
      this.remove(kind, objectName)
      send(res, 200, old)
      return
    }
    this.write(kind, objectName, body.spec)
    send(res, 200, this.objects.get(key))
  }
}

function send (res, status, body) {
  if (res.destroyed) return
  const text = JSON.stringify(body)
  res.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) })
  res.end(text)
}

async function readAll (req) {
  const chunks = []
  for await (const chunk of req) chunks.push(chunk)
  return Buffer.concat(chunks).toString()
}
