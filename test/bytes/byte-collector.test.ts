import * as chai from 'chai'
import * as fc from 'fast-check'
import * as bytes from '../../src/bytes/index.js'
import * as memory from '../support/memory.js'

/** Size of a read from a socket, in bytes; small pieces of it are views that keep it alive. */
const READ_BYTES = 64 * 1024

/** Adds `total` bytes in pieces of `pieceBytes`, which are views of reads as an HTTP parser makes them. */
function addPieces (collector: bytes.ByteCollector, total: number, pieceBytes: number): void {
  for (let added = 0; added < total;) {
    const read = Buffer.alloc(READ_BYTES, 'x')
    for (let start = 0; start + pieceBytes <= READ_BYTES && added < total; start += pieceBytes + 5) {
      collector.add(read.subarray(start, start + pieceBytes))
      added += pieceBytes
    }
  }
}

describe('ByteCollector', () => {
  it('gives the bytes back in order, whatever the sizes of the pieces', () => {
    fc.assert(fc.property(fc.array(fc.uint8Array({ maxLength: 300 }), { maxLength: 60 }), (pieces) => {
      const collector = new bytes.ByteCollector(Infinity)
      for (const piece of pieces) collector.add(piece)
      chai.expect(collector.take().equals(Buffer.concat(pieces))).to.equal(true)
      chai.expect(collector.length).to.equal(0)
    }), { seed: 31 })
  })

  it('adds nothing of a piece that exceeds the limit', () => {
    const collector = new bytes.ByteCollector(10)
    chai.expect([collector.add(Buffer.alloc(8)), collector.add(Buffer.alloc(3)), collector.length, collector.add(Buffer.alloc(2))]).to.deep.equal([true, false, 8, true])
  })

  // Pieces of a few bytes were kept as views, and a body below its limit ended the process at its heap limit.
  it('needs memory for the bytes, not for the pieces', () => {
    const total = 1024 * 1024
    const collector = new bytes.ByteCollector(total)
    const before = memory.usedHeapBytes()
    addPieces(collector, total, 2)
    chai.expect(memory.usedHeapBytes() - before).to.be.lessThan(3 * total)
    chai.expect(collector.length).to.equal(total)
  })

  it('counts its bytes in the budget until they are taken or dropped', () => {
    const budget = new bytes.ByteBudget(10)
    using first = new bytes.ByteCollector(100, budget)
    const second = new bytes.ByteCollector(100, budget)
    first.add(Buffer.alloc(6))
    second.add(Buffer.alloc(5))
    chai.expect([budget.heldBytes, budget.isFull]).to.deep.equal([11, true])
    second.take()
    chai.expect([budget.heldBytes, budget.isFull]).to.deep.equal([6, false])
  })
})
