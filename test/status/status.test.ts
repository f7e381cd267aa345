import * as chai from 'chai'
import * as directory from '../../src/directory/index.js'
import * as duties from '../../src/duties/index.js'
import * as report from '../../src/report/index.js'
import * as standin from '../../src/standin/index.js'
import * as status from '../../src/status/index.js'
import * as time from '../../src/time/index.js'
import * as targetEntry from '../../platform/target-entry.js'
import * as build from '../support/gateway-builders.js'

function setUp () {
  const virtual = new time.VirtualTime()
  const store = new standin.MemoryStore(virtual)
  const source: status.StatusSource = {
    store,
    configKey: 'config/main',
    decodeConfig: (text) => build.aConfig({ version: Number(text) }),
    targetsPrefix: targetEntry.TARGETS_PREFIX,
    decodeTarget: targetEntry.decodeTarget
  }
  const put = async (key: string, value: unknown): Promise<void> => { await Promise.all([store.put(key, JSON.stringify(value), 'absent'), virtual.advance(10)]) }
  const read = async () => (await Promise.all([status.readStatus(source), virtual.advance(10)]))[0]
  return { store, put, read }
}

describe('fleet status', () => {
  it('reports an empty store without failing', async () => {
    const { read } = setUp()
    chai.expect(status.renderStatus((await read()).unwrap())).to.deep.equal(['config none', 'targets', ' none', 'gateways 0', 'duties nobody yet', 'usage no window closed yet'])
  })

  it('shows configuration, targets, gateways, lease and usage in lines that are not too long for a phone', async () => {
    const { put, read } = setUp()
    await put('config/main', 12)
    const entry = { service: 'a-service-with-a-name-that-is-longer-than-a-line', address: '10.0.0.1:80', zone: 'z', slots: 4, state: 'ready' }
    await put('servers/1', entry)
    await put('servers/2', { ...entry, state: 'draining', spot: true })
    await put('servers/3', 'not an entry')
    await put(`${directory.GATEWAYS_PREFIX}g1`, {})
    await put(duties.LEASE_KEY, { holder: 'g1', incarnation: 'i', token: 3, renewal: 9, released: false })
    await put(duties.FINAL_COUNTS_KEY, { 41: { counts: {}, reported: true }, 42: { counts: { a: 1 }, reported: false } })
    const lines = status.renderStatus((await read()).unwrap())
    chai.expect(lines).to.include.members(['config 12', '  ready 1 leaving 1 preempt. 1', 'gateways 1', ' g1', 'duties g1 token 3', 'usage to 42 unreported 1'])
    for (const line of lines) chai.expect(line.length).to.be.at.most(report.REPORT_COLUMNS)
  })

  it('names the part that could not be read or decoded', async () => {
    const { store, put, read } = setUp()
    await put(duties.LEASE_KEY, { holder: 'g1' })
    chai.expect((await read()).val).to.be.a('string').that.includes('incarnation')
    store.faults.down = true
    chai.expect((await read()).val).to.equal('configuration: store is down')
  })
})
