import * as chai from 'chai'
import { PrefixIndex } from '../../src/routing/prefix-index.js'

describe('PrefixIndex', () => {
  it('bounds the number of entries and evicts the least recently used ones', () => {
    const index = new PrefixIndex(10)
    for (let prompt = 0; prompt < 20; prompt++) {
      index.addPrefilled('t', [`p${prompt}`])
      index.findTargets(['p0'], 1)
    }
    const remaining = Array.from({ length: 20 }, (_, prompt) => prompt).filter((prompt) => index.findTargets([`p${prompt}`], 1).length > 0)
    chai.expect(remaining).to.have.length(10)
    chai.expect(remaining).to.include.members([0, 19])
  })
})
