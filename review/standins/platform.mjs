/** Stand-in for the platform: its metadata store and its API for duties, on one loopback port. */
import * as http from 'node:http'

const HISTORY_EVENTS = 1_000

/** Reads a request body as JSON; undefined when there is none. */
async function readJson (req) {
  const chunks = []
  for await (const chunk of req) chunks.push(chunk)
  const text = Buffer.concat(chunks).toString('utf8')
  return text === '' ? undefined : JSON.parse(text)
}

function sendJson (res, status, body) {
  const text = JSON.stringify(body)
  res.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) })
  res.end(text)
}

/** Objects by kind and name, one revision counter, conditional writes. */
export class Platform {
  objects = new Map()
  revision = 1
  /** Duty calls as received: path, holder, token, body, time. */
  duties = []
  server = http.createServer((req, res) => { this.handle(req, res).catch(() => res.destroy()) })

  async listen () {
    await new Promise((resolve) => this.server.listen(0, '127.0.0.1', resolve))
    this.address = `127.0.0.1:${this.server.address().port}`
  }

  close () {
    this.server.close()
    this.server.closeAllConnections()
  }

  /** Writes an object as the operator or a server does. */
  write (kind, name, spec) {
    this.objects.set(`${kind}/${name}`, { metadata: { name, revision: ++this.revision, created: 1, finalizers: [], deleting: false }, spec, status: null })
    return this.revision
  }

  remove (kind, name) {
    if (this.objects.delete(`${kind}/${name}`)) this.revision++
  }

  async handle (req, res) {
    const url = new URL(req.url, 'http://platform')
    const body = await readJson(req)
    if (!url.pathname.startsWith('/-/objects/')) {
      this.duties.push({ path: url.pathname, holder: req.headers['duty-holder'], token: Number(req.headers['fence-token']), body, at: Date.now() })
      if (this.duties.length > HISTORY_EVENTS) this.duties.shift()
      sendJson(res, 200, {})
      return
    }
    const [kind, name] = url.pathname.slice('/-/objects/'.length).split('/').map(decodeURIComponent)
    if (req.method === 'GET') this.read(res, url, kind, name)
    else this.change(req, res, url, kind, name ?? body.metadata.name, body)
  }

  read (res, url, kind, name) {
    if (name !== undefined) {
      const object = this.objects.get(`${kind}/${name}`)
      sendJson(res, object === undefined ? 404 : 200, object ?? {})
      return
    }
    const after = url.searchParams.get('after') ?? ''
    const items = [...this.objects].filter(([key]) => key.startsWith(`${kind}/`)).map(([, object]) => object)
      .filter((object) => object.metadata.name > after).sort((a, b) => a.metadata.name < b.metadata.name ? -1 : 1)
    sendJson(res, 200, { items, morePages: false, asOf: this.revision })
  }

  change (req, res, url, kind, name, body) {
    const key = `${kind}/${name}`
    const current = this.objects.get(key)
    const expected = req.method === 'DELETE' ? url.searchParams.get('revision') : body.metadata.revision
    const conflicts = req.method === 'POST' ? current !== undefined : expected != null && current?.metadata.revision !== Number(expected)
    if (req.method !== 'POST' && current === undefined) sendJson(res, 404, {})
    else if (conflicts) sendJson(res, 409, current ?? {})
    else if (req.method === 'DELETE') {
      this.remove(kind, name)
      sendJson(res, 200, {})
    } else {
      this.write(kind, name, body.spec)
      sendJson(res, 200, this.objects.get(key))
    }
  }
}
