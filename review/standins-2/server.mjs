/** Stand-in of a server of the platform: parses requests on kept connections and lets a handler write the answers. */
import * as net from 'node:net'

/** One request on a connection of a server. */
export class ServedRequest {
  constructor (socket, method, path, headers, body) {
    Object.assign(this, { socket, method, path, headers, body })
    this.id = headers['request-id']
  }

  /** Writes a complete answer with a length. */
  answer (status, body, extra = {}) {
    const bytes = Buffer.from(body)
    this.socket.write(Buffer.concat([this.head(status, { ...extra, 'Content-Length': bytes.length }), bytes]))
  }

  /** The head of an answer. */
  head (status, headers) {
    const echoed = this.id === undefined ? {} : { 'Request-Id': this.id }
    const lines = Object.entries({ ...echoed, ...headers }).map(([name, value]) => `${name}: ${value}\r\n`)
    return Buffer.from(`HTTP/1.1 ${status} X\r\n${lines.join('')}\r\n`, 'latin1')
  }
}

/** Listens on loopback; `handle` is called with each complete request. */
export class RawServer {
  sockets = new Set()

  static async start (handle, host = '127.0.0.1') {
    const server = new RawServer()
    server.listener = net.createServer((socket) => server.accept(socket, handle))
    await new Promise((resolve) => { server.listener.listen(0, host, resolve) })
    server.address = `${host}:${server.listener.address().port}`
    return server
  }

  close () {
    for (const socket of this.sockets) socket.destroy()
    this.listener.close()
  }

  accept (socket, handle) {
    this.sockets.add(socket)
    socket.setNoDelay(true)
    socket.on('error', () => {})
    socket.on('close', () => this.sockets.delete(socket))
    let buffered = Buffer.alloc(0)
    socket.on('data', (data) => {
      buffered = Buffer.concat([buffered, data])
      for (let parsed = parseRequest(buffered); parsed !== undefined; parsed = parseRequest(buffered)) {
        buffered = buffered.subarray(parsed.end)
        handle(new ServedRequest(socket, parsed.method, parsed.path, parsed.headers, parsed.body))
      }
    })
  }
}

/** The first complete request in `data`; undefined while there is none. */
function parseRequest (data) {
  const headEnd = data.indexOf('\r\n\r\n')
  if (headEnd < 0) return undefined
  const [first, ...lines] = data.subarray(0, headEnd).toString('latin1').split('\r\n')
  const headers = Object.fromEntries(lines.map((line) => {
    const colon = line.indexOf(':')
    return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()]
  }))
  const end = headEnd + 4 + Number(headers['content-length'] ?? 0)
  if (data.length < end) return undefined
  const [method, path] = first.split(' ')
  return { method, path, headers, body: data.subarray(headEnd + 4, end), end }
}

/** Answers the calls of the system's own that a model server gets besides requests; true when it was one. */
export function answerControlCall (request, info) {
  const expected = request.headers['expect-instance']
  if (expected !== undefined && expected !== info.id) {
    request.answer(421, '', { 'Instance-Id': info.id })
    return true
  }
  const path = request.path.split('?')[0]
  if (path === '/-/kv-events') {
    const since = Number(new URL(request.path, 'http://server').searchParams.get('since') ?? 0)
    setTimeout(() => request.answer(200, JSON.stringify({ epoch: info.id, next: since, lost: false, events: [] }), { 'Content-Type': 'application/json' }), Number(request.headers['wait-ms'] ?? 0))
    return true
  }
  if (path === '/-/report') {
    request.answer(200, JSON.stringify({ stage: 'decode', models: [{ name: 'm', version: 1, adapters: [] }], busy: false, seq: 0, queued: 0, active: 0, kvUsed: 0, kvTotal: 900_000, kvHandles: 0 }), { 'Content-Type': 'application/json' })
    return true
  }
  if (path === '/healthz') {
    request.answer(200, '', { 'Instance-Id': info.id })
    return true
  }
  return false
}
