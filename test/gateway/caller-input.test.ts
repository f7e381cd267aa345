import * as net from 'node:net'
import * as chai from 'chai'
import * as bytes from '../../src/bytes/index.js'
import * as callerInput from '../../src/gateway/caller-input.js'
import * as inputTurns from '../../src/gateway/input-turns.js'

/** An input whose parser notes the sizes of the parts, each with the number of the turn of the event loop. */
function createInput (work: (input: callerInput.CallerInput, part: Buffer) => void): { readonly socket: net.Socket, readonly sizes: number[][], readonly memory: bytes.ByteBudget } {
  const socket = new net.Socket()
  const memory = new bytes.ByteBudget(1_000_000)
  const sizes: number[][] = [[]]
  const nextTurn = (): void => { if (sizes.push([]) < 100) setImmediate(nextTurn) }
  setImmediate(nextTurn)
  socket.on('data', (part: Buffer) => {
    sizes.at(-1)!.push(part.length)
    work(input, part)
  })
  const input = new callerInput.CallerInput({ socket, memory, turns: new inputTurns.InputTurns(), onReceived: () => {}, onHeld: () => {}, isFull: () => false, onParsed: () => {} })
  return { socket, sizes, memory }
}

async function settled (): Promise<void> {
  for (let turn = 0; turn < 90; turn++) await new Promise((resolve) => setImmediate(resolve))
}

describe('input of a caller', () => {
  // A read of 64 KiB with ten thousand chunks took 10 ms or more at once, and those of a thousand callers kept all others waiting.
  it('that is costly to parse is parsed in several turns, and each byte once', async () => {
    const { socket, sizes, memory } = createInput((input, part) => { input.work += part.length / 6 })
    socket.emit('data', Buffer.alloc(65_536))
    chai.expect(sizes[0]!.reduce((sum, size) => sum + size, 0)).to.be.at.most(2_048)
    await settled()
    for (const turn of sizes) chai.expect(turn.reduce((sum, size) => sum + size, 0)).to.be.at.most(10_000)
    chai.expect(sizes.flat().reduce((sum, size) => sum + size, 0)).to.equal(65_536)
    chai.expect(memory.heldBytes).to.equal(0)
  })

  it('with a head that announces chunks waits for its turn after the first part', () => {
    const { socket, sizes } = createInput((input) => input.noteChunked())
    socket.emit('data', Buffer.alloc(65_536))
    chai.expect(sizes[0]).to.deep.equal([2_048])
  })

  it('that is cheap to parse is parsed at once', () => {
    const { socket, sizes } = createInput(() => {})
    socket.emit('data', Buffer.alloc(65_536))
    chai.expect(sizes[0]!.reduce((sum, size) => sum + size, 0)).to.equal(65_536)
  })
})
