import * as chai from 'chai'
import { parseSettings } from '../../src/settings/index.js'

const VALID_FILE = `[entry]
name = entry-1
failure_domain = gl-west
region = great-lakes

[listen]
address = 127.0.0.1
port = 8080
peer_port = 8081
operator_port = 8082

[platform]
url = http://127.0.0.1:9000
`

describe('parseSettings', () => {
  it('parses a complete file', () => {
    chai.expect(parseSettings(VALID_FILE).unwrap().listen.port).to.equal(8080)
  })

  it('reports section, key and line of an invalid value', () => {
    const problems = parseSettings(VALID_FILE.replace('8081', 'many')).val
    chai.expect(problems).to.deep.include({ section: 'listen', key: 'peer_port', line: 9, expected: 'Invalid input: expected number, received NaN' })
  })

  it('reports an unknown key and the missing one', () => {
    const problems = parseSettings(VALID_FILE.replace('region =', 'regoin =')).val as ReadonlyArray<{ key: string }>
    chai.expect(problems.map((problem) => problem.key)).to.include.members(['region', 'regoin'])
  })
})
