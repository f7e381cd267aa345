/** Parses server-sent events from a byte stream. */
import * as eventStream from '../event-stream/index.js'

/** Longest event, in bytes. */
const MAX_EVENT_BYTES = 256 * 1024

/** Yields the data of each event; comments such as keep-alives are skipped. */
export async function * readEvents (body: AsyncIterable<Uint8Array>): AsyncGenerator<string> {
  using splitter = new eventStream.EventSplitter(MAX_EVENT_BYTES)
  for await (const chunk of body) {
    const batch = splitter.push(chunk, undefined)
    if (splitter.isTooLong) throw new Error('event too long')
    for (const event of batch === undefined ? [] : Buffer.from(batch.bytes).toString('utf8').split(/\n\r?\n/)) {
      const data = eventData(event)
      if (data !== '') yield data
    }
  }
}

function eventData (event: string): string {
  return event.split('\n')
    .filter((line) => line.startsWith('data:'))
    .map((line) => line.slice(5).trimStart())
    .join('\n')
}
