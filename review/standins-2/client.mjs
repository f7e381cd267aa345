/** Stand-in of a client: one connection, one request at a time, and every byte of the answers. */
import * as net from 'node:net'

/** A connection of a client. */
export class ClientConnection {
  received = Buffer.alloc(0)
  closed = false

  constructor (address) {
    const [host, port] = address.split(':')
    this.socket = net.connect({ host, port: Number(port) })
    this.socket.setNoDelay(true)
    this.socket.on('error', () => {})
    this.socket.on('data', (data) => {
      this.received = Buffer.concat([this.received, data])
      this.wake?.()
    })
    this.socket.on('close', () => {
      this.closed = true
      this.wake?.()
    })
  }

  /** Sends a request; resolves with its answer, whose `complete` is false when the connection ended or `waitMs` passed before. */
  async send (request, waitMs = 10_000) {
    this.write(request)
    return await this.readAnswer(waitMs)
  }

  write ({ method = 'POST', path, headers, body = '' }) {
    const bytes = Buffer.from(body)
    const lines = Object.entries({ Host: 'svc.example', ...headers, 'Content-Length': bytes.length }).map(([name, value]) => `${name}: ${value}\r\n`)
    this.socket.write(Buffer.concat([Buffer.from(`${method} ${path} HTTP/1.1\r\n${lines.join('')}\r\n`, 'latin1'), bytes]))
  }

  async readAnswer (waitMs = 10_000) {
    const until = performance.now() + waitMs
    for (;;) {
      const answer = parseAnswer(this.received)
      if (answer?.complete === true) {
        this.received = this.received.subarray(answer.end)
        return answer
      }
      if (this.closed || performance.now() >= until) return { status: answer?.status, headers: answer?.headers ?? {}, body: answer?.body ?? '', complete: false, closed: this.closed }
      await this.nextEvent(until - performance.now())
    }
  }

  async nextEvent (waitMs) {
    await new Promise((resolve) => {
      const timer = setTimeout(resolve, Math.max(1, waitMs))
      this.wake = () => { clearTimeout(timer); resolve() }
    })
    this.wake = undefined
  }

  close () {
    this.socket.destroy()
  }
}

/** The first answer in `data`; undefined while its head is not complete. */
export function parseAnswer (data) {
  const headEnd = data.indexOf('\r\n\r\n')
  if (headEnd < 0) return undefined
  const [first, ...lines] = data.subarray(0, headEnd).toString('latin1').split('\r\n')
  const headers = Object.fromEntries(lines.map((line) => {
    const colon = line.indexOf(':')
    return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()]
  }))
  const status = Number(first.split(' ')[1])
  const rest = data.subarray(headEnd + 4)
  if (headers['transfer-encoding'] === 'chunked') {
    const { body, size } = parseChunks(rest)
    return { status, headers, body: body.toString('latin1'), complete: size !== undefined, end: headEnd + 4 + (size ?? 0) }
  }
  const length = Number(headers['content-length'] ?? 0)
  return { status, headers, body: rest.subarray(0, length).toString('latin1'), complete: rest.length >= length, end: headEnd + 4 + length }
}

/** The chunks in `data`; `size` is that of the encoded body, undefined while it is not complete. */
function parseChunks (data) {
  const parts = []
  for (let position = 0; ;) {
    const lineEnd = data.indexOf('\r\n', position)
    if (lineEnd < 0) return { body: Buffer.concat(parts), size: undefined }
    const length = parseInt(data.subarray(position, lineEnd).toString('latin1'), 16)
    const end = lineEnd + 2 + length + 2
    if (data.length < end) {
      parts.push(data.subarray(lineEnd + 2, lineEnd + 2 + length))
      return { body: Buffer.concat(parts), size: undefined }
    }
    if (length === 0) return { body: Buffer.concat(parts), size: end }
    parts.push(data.subarray(lineEnd + 2, end - 2))
    position = end
  }
}
