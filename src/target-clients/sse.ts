/** Parses server-sent events from a byte stream. */

/** Longest incomplete event that is buffered, in characters. */
const MAX_EVENT_CHARS = 256 * 1024

/** Yields the data of each event; comments such as keep-alives are skipped. */
export async function * readEvents (body: AsyncIterable<Uint8Array>): AsyncGenerator<string> {
  const decoder = new TextDecoder()
  let buffer = ''
  for await (const chunk of body) {
    buffer += decoder.decode(chunk, { stream: true })
    for (let end = buffer.indexOf('\n\n'); end >= 0; end = buffer.indexOf('\n\n')) {
      const data = eventData(buffer.slice(0, end))
      buffer = buffer.slice(end + 2)
      if (data !== '') yield data
    }
    if (buffer.length > MAX_EVENT_CHARS) throw new Error('event too long')
  }
}

function eventData (event: string): string {
  return event.split('\n')
    .filter((line) => line.startsWith('data:'))
    .map((line) => line.slice(5).trimStart())
    .join('\n')
}
