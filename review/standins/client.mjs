/** Clients: one HTTP request on a connection of its own, read to its end. */
import * as net from 'node:net'

/** Sends raw text and reads until the connection closes or the response is complete; resolves to status, headers, body. */
export async function request ({ port, method = 'POST', path, headers, body = '', timeoutMs = 10_000 }) {
  const lines = [`${method} ${path} HTTP/1.1`, ...Object.entries(headers).map(([name, value]) => `${name}: ${value}`)]
  if (body !== '' || method === 'POST') lines.push(`Content-Length: ${Buffer.byteLength(body)}`)
  lines.push('Connection: close', '', body)
  return await new Promise((resolve) => {
    const chunks = []
    const socket = net.connect(port, '127.0.0.1', () => socket.write(lines.join('\r\n')))
    const settle = (closed) => {
      clearTimeout(timer)
      socket.destroy()
      resolve(parse(Buffer.concat(chunks).toString('latin1'), closed))
    }
    const timer = setTimeout(() => settle('timeout'), timeoutMs)
    socket.on('data', (chunk) => chunks.push(chunk))
    socket.on('end', () => settle('end'))
    socket.on('error', () => settle('reset'))
  })
}

function parse (text, closed) {
  const headEnd = text.indexOf('\r\n\r\n')
  if (headEnd < 0) return { status: undefined, headers: {}, body: text, closed, complete: false }
  const [statusLine, ...headerLines] = text.slice(0, headEnd).split('\r\n')
  const headers = Object.fromEntries(headerLines.map((line) => [line.slice(0, line.indexOf(':')).toLowerCase(), line.slice(line.indexOf(':') + 1).trim()]))
  const raw = text.slice(headEnd + 4)
  const isChunked = headers['transfer-encoding'] === 'chunked'
  const body = isChunked ? unchunk(raw) : raw
  const complete = isChunked ? raw.endsWith('0\r\n\r\n') : headers['content-length'] === undefined ? closed === 'end' : raw.length === Number(headers['content-length'])
  return { status: Number(statusLine.split(' ')[1]), headers, body, closed, complete }
}

function unchunk (raw) {
  let body = ''
  for (let at = 0; ;) {
    const lineEnd = raw.indexOf('\r\n', at)
    const size = parseInt(raw.slice(at, lineEnd), 16)
    if (lineEnd < 0 || !(size > 0)) return body
    body += raw.slice(lineEnd + 2, lineEnd + 2 + size)
    at = lineEnd + 4 + size
  }
}
