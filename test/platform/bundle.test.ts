import * as fs from 'node:fs'
import * as chai from 'chai'

/** The part of the bundled program that holds the libraries; `npm run bundle` makes it. */
const PROGRAM = 'target/godwitpoint-program.mjs'

/** Longest line of source that holds an assertion, in characters. */
const MAX_LINE_CHARS = 1_000

describe('bundled program', () => {
  // When an assertion of a library fails, Node reads and parses the source from its line on to make the message. With the whole
  // program on a few lines that took 5 s, in which the gateway did nothing else.
  it('has its assertions on short lines', () => {
    const lines = fs.readFileSync(PROGRAM, 'utf8').split('\n').filter((line) => /\bassert\w*\(/.test(line))
    chai.expect(lines.length).to.be.greaterThan(50)
    chai.expect(Math.max(...lines.map((line) => line.length))).to.be.lessThan(MAX_LINE_CHARS)
  })
})
