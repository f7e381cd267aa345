/** Reads a whole stream of bytes. */
import * as byteCollector from './byte-collector.js'

/** All bytes of a stream; throws when there are more than `maxBytes`, which destroys a stream of Node. */
export async function readAll (stream: AsyncIterable<Uint8Array>, maxBytes: number): Promise<Buffer> {
  const collector = new byteCollector.ByteCollector(maxBytes)
  for await (const piece of stream) {
    if (!collector.add(piece)) throw new Error(`more than ${maxBytes} bytes`)
  }
  return collector.take()
}
