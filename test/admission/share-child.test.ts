import * as fs from 'node:fs'
import * as chai from 'chai'
import { FairAdmission, type Ticket } from '../../src/admission/index.js'
import { checkConfig, ConfigIndex } from '../../src/config/index.js'
import { ShareChild } from '../../src/daemon/share-child.js'
import { Metrics } from '../../src/metrics/index.js'
import { MemberNet, type Node } from '../membership/member-net.js'

const SERVICE = 'inspect-llm'
const TARGETS = 4
const SLOTS_PER_TARGET = 8

describe('ShareChild', () => {
  it('exchanges work totals between entries and divides the slots of the configured targets', async () => {
    const { net, entries } = await startEntries()
    const [first, second] = [entries[0]!, entries[1]!]
    await enterRequests(first, 'x', 20)
    await enterRequests(second, 'x', 20)
    await net.time.advance(2_000)
    const before = second.admission.queueOf(SERVICE).account('x').progress
    first.tickets[0]!.charge(500)
    await net.time.advance(2_100)
    chai.expect(second.admission.queueOf(SERVICE).account('x').progress - before).to.equal(500)
    chai.expect(totalSlots([first, second])).to.equal(TARGETS * SLOTS_PER_TARGET)
    chai.expect(first.admission.queueOf(SERVICE).slots).to.be.above(10)
  })

  it('divides the slots between the other entries after one crashed, whichever was the coordinator entry', async () => {
    for (const ended of [0, 1, 2]) {
      const { net, entries } = await startEntries()
      for (const entry of entries) await enterRequests(entry, 'x', 30)
      await net.time.advance(3_000)
      const stopped = entries[ended]!
      await net.kill(stopped.node)
      await stopped.share[Symbol.asyncDispose]()
      await net.time.advance(9_000)
      chai.expect(totalSlots(entries.filter((entry) => entry !== stopped))).to.equal(TARGETS * SLOTS_PER_TARGET)
    }
  })

  it('divides the slots of an entry at once when it announces that it has left', async () => {
    for (const ended of [0, 1, 2]) {
      const { net, entries } = await startEntries()
      for (const entry of entries) await enterRequests(entry, 'x', 30)
      await net.time.advance(3_000)
      const stopped = entries[ended]!
      await stopped.share[Symbol.asyncDispose]()
      stopped.node.child.announceLeft().catch(() => {})
      await net.time.advance(2_100)
      chai.expect(totalSlots(entries.filter((entry) => entry !== stopped))).to.equal(TARGETS * SLOTS_PER_TARGET)
    }
  })
})

interface Entry {
  readonly node: Node
  readonly admission: FairAdmission
  readonly share: ShareChild
  readonly tickets: Ticket[]
}

async function startEntries (): Promise<{ net: MemberNet, entries: Entry[] }> {
  const net = new MemberNet()
  const cfg = new ConfigIndex(1, createConfigSet())
  const entries = (await net.startAll(3)).map((node): Entry => {
    const env = net.time.env(9)
    const admission = new FairAdmission(env)
    const share = new ShareChild({ env, metrics: new Metrics(), peers: node.peers, membership: node.child.membership, admission })
    share.applyConfig(cfg)
    share.start()
    return { node, admission, share, tickets: [] }
  })
  return { net, entries }
}

async function enterRequests (entry: Entry, account: string, count: number): Promise<void> {
  for (let index = 0; index < count; index++) {
    const req = { id: 'r', service: SERVICE, account, weight: 1, work: 1_000, deadlineAt: 1e9 }
    entry.admission.enter(req, new AbortController().signal).then((outcome) => { if (outcome.ok) entry.tickets.push(outcome.val) }, () => {})
  }
}

function totalSlots (entries: readonly Entry[]): number {
  return entries.reduce((sum, { admission }) => sum + admission.queueOf(SERVICE).slots, 0)
}

function createConfigSet (): ConfigIndex['set'] {
  const set = checkConfig(JSON.parse(fs.readFileSync('examples/consortium.json', 'utf8'))).unwrap()
  const targets = Array.from({ length: TARGETS }, (_, index) => ({
    name: `t${index}`, service: SERVICE, domain: 'gl-west', url: 'http://127.0.0.1:1', price_class: 'standard' as const, checks_fence: true, leaving: false, ordered: false
  }))
  return { ...set, targets: [...targets, { ...targets[0]!, name: 'leaving', leaving: true }] }
}
