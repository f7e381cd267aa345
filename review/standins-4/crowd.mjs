/**
 * A crowd of clients in a process of its own: opens connections, sends the same bytes on each and leaves them open until it is
 * killed. Arguments: host, port, number of connections, the bytes in base64, and bytes that are sent again and again, in base64.
 */
import * as net from 'node:net'

/** Connections that are opened at a time. */
const AT_ONCE = 100

/** Time between two sends of the bytes that are repeated, in ms. */
const REPEAT_MS = 8_000

const [host, port, count, bytes, repeated = ''] = process.argv.slice(2)
const open = new Set()

async function openOne () {
  const socket = net.connect({ host, port: Number(port) })
  socket.on('error', () => {})
  socket.on('close', () => open.delete(socket))
  await new Promise((resolve) => {
    socket.once('connect', resolve)
    socket.once('close', resolve)
  })
  open.add(socket)
  socket.write(Buffer.from(bytes, 'base64'))
  // What the gateway answers is read, so that its closing of the connection is seen.
  socket.resume()
}

for (let opened = 0; opened < Number(count); opened += AT_ONCE) {
  await Promise.all(Array.from({ length: Math.min(AT_ONCE, Number(count) - opened) }, openOne))
}
process.stdout.write('open\n')
setInterval(() => process.stdout.write(`${open.size}\n`), 1_000)
if (repeated !== '') {
  // Each connection has its turn within the interval.
  for (const [index, socket] of [...open].entries()) {
    const send = () => socket.writable && socket.write(Buffer.from(repeated, 'base64'))
    setTimeout(() => {
      send()
      setInterval(send, REPEAT_MS)
    }, REPEAT_MS * index / open.size)
  }
}
