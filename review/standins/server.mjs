/** A plain server: some slots, a short queue, and `Not-Executed` beyond them. Can send a second copy of an answer, late. */
import * as net from 'node:net'

/** Time after which an idle connection is closed, as announced in `Keep-Alive`, in s. */
const KEEP_ALIVE_S = 10

/** Reads HTTP requests from one connection; calls `onRequest` with each complete one. */
export function readRequests (socket, onRequest) {
  let text = ''
  socket.on('data', (chunk) => {
    text += chunk.toString('latin1')
    for (;;) {
      const headEnd = text.indexOf('\r\n\r\n')
      if (headEnd < 0) return
      const [requestLine, ...lines] = text.slice(0, headEnd).split('\r\n')
      const headers = Object.fromEntries(lines.map((line) => [line.slice(0, line.indexOf(':')).toLowerCase(), line.slice(line.indexOf(':') + 1).trim()]))
      const end = headEnd + 4 + Number(headers['content-length'] ?? 0)
      if (text.length < end) return
      const [method, path] = requestLine.split(' ')
      const body = text.slice(headEnd + 4, end)
      text = text.slice(end)
      onRequest({ method, path, headers, body })
    }
  })
}

/** Encodes a response with a length. */
export function encodeResponse (status, headers, body = '') {
  const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}`)
  return [`HTTP/1.1 ${status} ${status === 200 ? 'OK' : 'Failed'}`, ...lines, `Content-Length: ${Buffer.byteLength(body)}`, '', body].join('\r\n')
}

/** One server of a plain service on a loopback port. */
export class PlainServer {
  running = 0
  queue = []
  answers = 0
  copies = 0

  /** `note` gets each event of the server as text; `sendsCopy` tells whether an answer gets a second copy. */
  constructor (id, { slots, queue, workMs, rejectMs, note, sendsCopy }) {
    Object.assign(this, { id, slots, maxQueue: queue, workMs, rejectMs, note, sendsCopy })
    this.server = net.createServer((socket) => this.accept(socket))
  }

  async listen () {
    await new Promise((resolve) => this.server.listen(0, '127.0.0.1', resolve))
    this.address = `127.0.0.1:${this.server.address().port}`
  }

  /** The entry that the server writes into the store. */
  entry (service) {
    this.born ??= Date.now()
    return { service, address: this.address, zone: 'zone-a', version: 1, slots: this.slots, state: 'ready', coldLeftMs: 0, seq: 1, born: this.born }
  }

  accept (socket) {
    const connection = { socket, copy: undefined }
    socket.setNoDelay(true)
    socket.on('error', () => {})
    readRequests(socket, (req) => this.take(connection, req))
  }

  take (connection, { headers, path }) {
    const id = headers['request-id'] ?? ''
    // A second copy of the previous answer comes at the point where the answer to this request is expected.
    if (connection.copy !== undefined) {
      this.copies++
      this.note(`${this.id} sends a second copy of its last answer on the connection of ${id}: ${JSON.stringify(connection.copy.split('\r\n').slice(0, 3))}`)
      connection.socket.write(connection.copy)
      connection.copy = undefined
    }
    if (headers['expect-instance'] !== this.id) connection.socket.write(encodeResponse(421, { 'Request-Id': id, 'Not-Executed': 1 }))
    else if (this.running < this.slots) this.run(connection, id, path)
    else if (this.queue.length < this.maxQueue) this.queue.push({ connection, id, path })
    else this.reject(connection, id)
  }

  reject (connection, id) {
    this.note(`${this.id} is full and rejects ${id}: 503 with Not-Executed`)
    setTimeout(() => this.answer(connection, encodeResponse(503, { 'Request-Id': id, 'Not-Executed': 1, 'Keep-Alive': `timeout=${KEEP_ALIVE_S}` }), 503), this.rejectMs)
  }

  run (connection, id, path) {
    this.running++
    this.note(`${this.id} runs ${id}`)
    setTimeout(() => {
      this.running--
      this.answer(connection, encodeResponse(200, { 'Request-Id': id, 'Response-Stamp': `${this.id}.${id}`, 'Keep-Alive': `timeout=${KEEP_ALIVE_S}` }, `done ${id}`), 200)
      const next = this.queue.shift()
      if (next !== undefined) this.run(next.connection, next.id, next.path)
    }, this.workMs)
  }

  answer (connection, text, status) {
    if (connection.socket.destroyed) return
    this.answers++
    connection.socket.write(text)
    if (this.sendsCopy(this, status)) connection.copy = text
  }
}
