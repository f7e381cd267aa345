// Guards against quotas that are decided correctly but not kept, since a gateway lacks the others, the configuration or the check.
import * as chai from 'chai'
import * as time from '../../src/time/index.js'
import * as gatewayProcess from '../support/gateway-process.js'
import * as gatewayRegion from '../support/gateway-region.js'
import * as quotaSite from '../support/quota-site.js'

const ACCOUNTS = [{ name: 'acc', keys: [], quota: quotaSite.aQuota(12_000) }]

describe('quotas of gateways', () => {
  it('let one of 12 gateways use the credit of all, and only its own when it is cut off', async () => {
    const region = new gatewayRegion.Region()
    const gateways = region.startMany(12)
    for (const { quotas } of gateways) quotas.applyConfig(ACCOUNTS)
    await region.virtual.advance(3_000)
    const first = gateways[0]!
    const run = async (ms: number): Promise<number> => {
      let admitted = 0
      const call = async (): Promise<void> => {
        const credit = await first.quotas.admit('acc', 100)
        if (credit !== undefined && 'end' in credit && credit.mayWrite()) admitted += 100
      }
      for (let step = 0; step < ms / 50; step++) await Promise.all([...Array.from({ length: 20 }, call), region.virtual.advance(50)])
      return admitted
    }
    chai.expect(await run(2_000)).to.be.within(24_000, 36_000)
    chai.expect(gateways[11]!.quotas.topic.others('acc').used).to.be.above(5_000)
    for (const { name } of gateways.slice(1)) for (const pair of [`g0>${name}`, `${name}>g0`]) region.cuts.add(pair)
    await region.virtual.advance(4_000)
    chai.expect(await run(4_000)).to.be.within(3_500, 5_100)
  })

  it('send nothing between gateways without quotas', async () => {
    const region = new gatewayRegion.Region()
    const [first] = region.startMany(2)
    await region.virtual.advance(1_000)
    chai.expect(first!.quotas.topic.changesSince({ gateway: 'g1', incarnation: 'g1-1', kind: 'fellow' }, undefined)).to.equal(undefined)
  })

  it('refuse calls beyond the quota with 429 and the time of the next credit, and refund those that no target executed', async () => {
    await using gateway = new gatewayProcess.GatewayProcess()
    let executed = 0
    await gateway.addServer('s1', (req, res) => {
      req.resume()
      const isRejected = String(req.headers['request-id']).startsWith('rejected')
      if (!isRejected) executed++
      res.writeHead(isRejected ? 503 : 200, { 'request-id': req.headers['request-id'], ...(isRejected ? { 'not-executed': '1' } : {}) })
      res.end()
    })
    await gateway.start({ ...gatewayProcess.CONFIG, tenants: [{ name: 'acc', apiKeys: ['key1'], ratePerS: 2, burst: 6 }] })
    while ((await gateway.request('first')).status === 429) await time.delay(new time.SystemTimers(), 50)
    await time.delay(new time.SystemTimers(), 1_000)
    const outcomes = await Promise.all(Array.from({ length: 20 }, async (_, index) => await gateway.request(`r${index}`)))
    const refused = outcomes.filter(({ status }) => status === 429)
    chai.expect(executed).to.be.at.most(1 + 6)
    chai.expect(refused).to.have.length.within(20 - 6, 19)
    for (const res of refused) chai.expect(Number(res.headers['retry-after'])).to.be.within(0.05, 20)
    chai.expect(gateway.lines.some((line) => line.includes('quota_limiting_started') && line.includes('account=acc'))).to.equal(true)
    await time.delay(new time.SystemTimers(), 1_000)
    for (let index = 0; index < 6; index++) chai.expect((await gateway.request(`rejected-${index}`)).status).to.equal(503)
    const refunds = gateway.metrics.render().split('\n').filter((line) => line.startsWith('godwitpoint_quota_refunds_total'))
    chai.expect(refunds.reduce((sum, line) => sum + Number(line.split(' ')[1]), 0)).to.equal(6)
  }).timeout(20_000)
})
