/** Servers that write responses as bytes. */
import type * as net from 'node:net'
import * as byteServer from './byte-server.js'

/** End of the requests of these tests, whose body is `b`. */
const REQUEST_END = /\r\n\r\nb$/

/** An HTTP server on a free port whose responses are written as bytes; disposing closes its connections. */
export class RawServer extends byteServer.ByteServer {
  /** `onRequest` gets each complete request as text. */
  constructor (onRequest: (socket: net.Socket, request: string) => void) {
    super((socket) => {
      let text = ''
      socket.on('data', (data) => {
        text += data.toString('latin1')
        if (!REQUEST_END.test(text)) return
        const request = text
        text = ''
        onRequest(socket, request)
      })
    })
  }
}

/** The id of a request. */
export function requestId (request: string): string {
  return /^request-id: (\S+)/im.exec(request)![1]!
}
