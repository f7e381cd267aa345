import * as chai from 'chai'
import { VirtualTime } from '../../src/time/index.js'

describe('VirtualTime', () => {
  it('calls callbacks in the order of their due times, and equal ones in the order of creation', async () => {
    const time = new VirtualTime()
    const order: string[] = []
    time.after(20, () => order.push('c'))
    time.after(10, () => order.push('a'))
    time.after(10, () => order.push('b'))
    await time.advance(20)
    chai.expect(order).to.deep.equal(['a', 'b', 'c'])
  })

  it('does not call a cancelled callback', async () => {
    const time = new VirtualTime()
    let called = false
    time.after(5, () => { called = true })[Symbol.dispose]()
    await time.advance(10)
    chai.expect(called).to.equal(false)
  })
})
