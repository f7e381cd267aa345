import * as chai from 'chai'
import { StreamSplice } from '../../src/retry/index.js'

describe('StreamSplice', () => {
  it('drops chunks of an attempt that was given up', () => {
    const splice = new StreamSplice()
    splice.begin('first', 0)
    splice.accept('first', { index: 0, text: 'a' })
    splice.begin('second', 1)
    chai.expect(splice.accept('first', { index: 1, text: 'x' })).to.equal(undefined)
    chai.expect(splice.accept('second', { index: 0, text: 'b' })).to.equal('b')
    chai.expect(splice.text).to.equal('ab')
  })

  it('drops chunks of an ended attempt before the next one begins', () => {
    const splice = new StreamSplice()
    splice.begin('first', 0)
    splice.end('first')
    chai.expect(splice.accept('first', { index: 0, text: 'a' })).to.equal(undefined)
  })

  it('drops duplicate chunks and chunks after a gap', () => {
    const splice = new StreamSplice()
    splice.begin('first', 0)
    splice.accept('first', { index: 0, text: 'a' })
    chai.expect(splice.accept('first', { index: 0, text: 'a' })).to.equal(undefined)
    chai.expect(splice.accept('first', { index: 2, text: 'c' })).to.equal(undefined)
  })
})
