import * as chai from 'chai'
import * as fc from 'fast-check'
import * as eventStream from '../../src/event-stream/index.js'

const MAX_EVENT_BYTES = 1024 * 1024

/** Longest time for which a gateway may do nothing else, in ms: calls at their deadline get an answer within half a second. */
const MAX_BLOCKED_MS = 500

/** What a splitter returns for a text in pieces of `size` characters. */
function split (text: string, size: number, splitter = new eventStream.EventSplitter(MAX_EVENT_BYTES)): string {
  let output = ''
  for (let start = 0; start < text.length; start += size) {
    const batch = splitter.push(Buffer.from(text.slice(start, start + size)), undefined)
    if (batch !== undefined) output += Buffer.from(batch.bytes).toString()
  }
  return output
}

/** Complete events at the beginning of a text, found by looking at all of it at once. */
function completeEvents (text: string): string {
  return /^(?:[^]*?\n\r?\n)*/.exec(text)![0]
}

describe('EventSplitter', () => {
  it('returns only complete events, however the bytes are split into chunks', () => {
    const text = 'id: 1\r\ndata: a\r\n\r\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n'
    for (let size = 1; size < text.length; size++) {
      const splitter = new eventStream.EventSplitter(MAX_EVENT_BYTES)
      chai.expect(split(text, size, splitter)).to.equal(text)
      chai.expect(splitter.pendingBytes).to.equal(0)
    }
  })

  it('finds the events of any text in pieces as in one', () => {
    const text = fc.array(fc.constantFrom('a', '\r', '\n', '\n\n', 'id: 1'), { maxLength: 40 }).map((parts) => parts.join(''))
    fc.assert(fc.property(text, fc.integer({ min: 1, max: 9 }), (whole, size) => {
      chai.expect(split(whole, size)).to.equal(completeEvents(whole))
    }), { seed: 31, numRuns: 500 })
  })

  // All bytes of the unfinished event were copied and searched again for each piece, which stopped a gateway for over 10 s.
  it('takes time for the bytes of an endless event, not for the square of its pieces', () => {
    const piece = Buffer.from('x\n')
    const splitter = new eventStream.EventSplitter(MAX_EVENT_BYTES)
    const startedAt = performance.now()
    for (let pushed = 0; pushed < 128 * 1024; pushed += piece.length) splitter.push(piece, undefined)
    chai.expect(performance.now() - startedAt).to.be.lessThan(MAX_BLOCKED_MS)
    chai.expect(splitter.pendingBytes).to.equal(128 * 1024)
  })

  it('returns nothing of an event that exceeds the size limit, nor what follows it', () => {
    const splitter = new eventStream.EventSplitter(10)
    chai.expect(split('id: 1\n\ndata: too long for it\n\nid: 2\n\n', 4, splitter)).to.equal('id: 1\n\n')
    chai.expect(splitter.isTooLong).to.equal(true)
  })
})
