/** A model server of the `decode` stage: streams a few events for each request, and reports no cache events. */
import * as net from 'node:net'
import * as server from './server.mjs'

const EVENTS = 12
const EVENT_MS = 25

/** Bytes of a body without end that are written at a time when no rate is set. */
const BURST_BYTES = 256 * 1024

const HEAD_END = '\r\n\r\n'

function chunk (text) {
  return `${Buffer.byteLength(text).toString(16)}\r\n${text}\r\n`
}

/** One model server on a loopback port. */
export class ModelServer {
  answers = 0
  endless = 0

  /** `note` gets events as text; `onRequest` its own id, that of each request, and whether the answer is spoilt; `endlessBody` is asked for each request and gives the unit of a body without end, or undefined. */
  constructor (id, { slots, note, endlessBody, onRequest = () => {} }) {
    Object.assign(this, { id, slots, note, endlessBody, onRequest })
    this.server = net.createServer((socket) => this.accept(socket))
  }

  async listen () {
    await new Promise((resolve) => this.server.listen(0, '127.0.0.1', resolve))
    this.address = `127.0.0.1:${this.server.address().port}`
  }

  /** The entry that the server writes into the store. */
  entry (service) {
    this.born ??= Date.now()
    return { service, address: this.address, zone: 'zone-a', version: 1, slots: this.slots, state: 'ready', coldLeftMs: 0, seq: 1, born: this.born, stage: 'decode' }
  }

  accept (socket) {
    socket.setNoDelay(true)
    socket.on('error', () => {})
    server.readRequests(socket, (req) => this.take(socket, req))
  }

  take (socket, { path, headers }) {
    const id = headers['request-id'] ?? ''
    if (headers['expect-instance'] !== this.id) socket.write(server.encodeResponse(421, { 'Request-Id': id, 'Not-Executed': 1 }))
    else if (path.startsWith('/-/kv-events')) this.holdCacheQuery(socket, Number(headers['wait-ms'] ?? 0))
    else this.stream(socket, id)
  }

  holdCacheQuery (socket, waitMs) {
    setTimeout(() => { if (!socket.destroyed) socket.write(server.encodeResponse(200, {}, JSON.stringify({ epoch: 1, next: 0, lost: false, events: [] }))) }, waitMs)
  }

  stream (socket, id) {
    this.answers++
    const unit = this.endlessBody(this)
    this.onRequest(this.id, id, unit !== undefined)
    if (unit?.head !== undefined) {
      this.spoil(socket, id, unit.head)
      return
    }
    const statusLine = unit?.statusLine ?? '200 OK'
    socket.write(`HTTP/1.1 ${statusLine}\r\nRequest-Id: ${id}\r\nResponse-Stamp: ${this.id}.${id}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked${HEAD_END}`)
    if (unit !== undefined) this.writeWithoutEnd(socket, id, unit)
    else this.writeEvents(socket, 1)
  }

  /** Writes one head that is no response, and nothing else. */
  spoil (socket, id, head) {
    this.endless++
    this.note(`${this.id} answers ${id} with ${JSON.stringify(head(id))}`)
    socket.write(head(id))
  }

  writeEvents (socket, number) {
    if (socket.destroyed) return
    if (number > EVENTS) {
      socket.write('0\r\n\r\n')
      return
    }
    socket.write(chunk(`id: ${number}\ndata: piece ${number}\n\n`))
    setTimeout(() => this.writeEvents(socket, number + 1), EVENT_MS)
  }

  /** Writes lines until the caller closes, each as a chunk, as a program does that flushes each line. */
  writeWithoutEnd (socket, id, { text, linesPerMs }) {
    this.endless++
    let lines = 0
    let last = Date.now()
    this.note(`${this.id} answers ${id} with bytes that do not end`)
    const timer = setInterval(() => {
      const now = Date.now()
      if (socket.writableNeedDrain) { last = now; return }
      const count = linesPerMs === undefined ? Math.ceil(BURST_BYTES / chunk(text).length) : (now - last) * linesPerMs
      last = now
      lines += count
      if (count > 0) socket.write(chunk(text).repeat(count))
    }, linesPerMs === undefined ? 1 : 5)
    socket.on('close', () => {
      clearInterval(timer)
      this.note(`${this.id}: the caller of ${id} has closed after ${lines} lines`)
    })
  }
}
