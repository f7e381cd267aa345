import * as fs from 'node:fs'
import * as chai from 'chai'
import { checkConfig, deleteUnreferencedChunks, diffAfterConflict, editConfig, HEAD_KEY, publishConfig, readConfig, splitConfig, withKeyWithdrawn } from '../../src/config/index.js'
import type { ConfigSet } from '../../src/schema/index.js'
import { MemoryStore } from '../../src/standin/index.js'
import { delay, VirtualTime } from '../../src/time/index.js'

const set = checkConfig(JSON.parse(fs.readFileSync('examples/consortium.json', 'utf8'))).unwrap()

describe('publishConfig', () => {
  it('accepts one of two concurrent publications and rejects the other', async () => {
    const { store, run } = harness()
    const base = (await run(publishConfig(store, set, undefined))).unwrap()
    const [first, second] = await run(Promise.all([
      publishConfig(store, withWeight(set, 2), base),
      publishConfig(store, withWeight(set, 9), base)
    ]))
    chai.expect([first, second].filter((outcome) => outcome.ok)).to.have.length(1)
    chai.expect((await run(readConfig(store))).unwrap()?.generation).to.equal(2)
  })

  it('publishes one generation although the reply to a write is lost', async () => {
    const { store, run } = harness()
    const base = (await run(publishConfig(store, set, undefined))).unwrap()
    store.faults.loseReplies = 1
    chai.expect((await run(publishConfig(store, withWeight(set, 2), base))).ok).to.equal(true)
    store.faults.loseReplies = 1
    const current = (await run(readConfig(store))).unwrap()
    chai.expect((await run(publishConfig(store, set, current))).ok).to.equal(true)
    chai.expect((await run(readConfig(store))).unwrap()?.generation).to.equal(3)
  })

  it('gives the writer that lost the difference between its base and the current configuration', async () => {
    const { store, run } = harness()
    const base = (await run(publishConfig(store, set, undefined))).unwrap()
    await run(publishConfig(store, withWeight(set, 2), base))
    const lost = await run(publishConfig(store, withWeight(set, 9), base))
    const { name, weight } = set.accounts[0]!
    chai.expect(lost.ok).to.equal(false)
    chai.expect((await run(diffAfterConflict(store, lost.val as never, base))).val)
      .to.deep.equal([{ sign: '~', kind: 'accounts', name, fields: [`weight: ${weight} -> 2`] }])
  })

  it('does not report a conflict when a confirmation changed only the version of the head', async () => {
    const { store, run } = harness()
    const base = (await run(publishConfig(store, set, undefined))).unwrap()
    await run(store.put(HEAD_KEY, store.peek(HEAD_KEY)!.value, base.headVersion))
    chai.expect((await run(publishConfig(store, withWeight(set, 2), base))).ok).to.equal(true)
  })
})

describe('editConfig', () => {
  it('edits the current configuration although reads come from an old copy', async () => {
    const { store, run } = harness()
    const withKey = { ...set, keys: [{ id: 'key1', account: set.accounts[0]!.name, digest: 'a'.repeat(64), withdrawn: false }] }
    const base = (await run(publishConfig(store, withKey, undefined))).unwrap()
    await run(publishConfig(store, withWeight(withKey, 7), base))
    const heads = [store.peek(HEAD_KEY)!, { key: HEAD_KEY, version: base.headVersion, value: JSON.stringify({ generation: 1, chunks: splitConfig(withKey) }) }]
    const lagging = new Proxy(store, {
      get: (target, key) => key === 'get'
        ? async (name: string) => name === HEAD_KEY ? (await target.get(name)).map(() => heads[1]) : await target.get(name)
        : (Reflect.get(target, key) as () => unknown).bind(target)
    })
    chai.expect((await run(editConfig(lagging, (old) => withKeyWithdrawn(old, 'key1')))).ok).to.equal(true)
    const now = (await run(readConfig(store))).unwrap()!
    chai.expect([now.generation, now.set.accounts[0]!.weight, now.set.keys[0]!.withdrawn]).to.deep.equal([3, 7, true])
  })
})

describe('collectChunks', () => {
  it('deletes unreferenced chunks only', async () => {
    const { store, run } = harness()
    const base = (await run(publishConfig(store, set, undefined))).unwrap()
    await run(publishConfig(store, withWeight(set, 2), base))
    const before = store.keys('config/chunk/').length
    chai.expect((await run(deleteUnreferencedChunks(store))).val).to.equal(1)
    chai.expect(store.keys('config/chunk/')).to.have.length(before - 1)
    chai.expect((await run(readConfig(store))).unwrap()?.generation).to.equal(2)
  })

  it('does not delete a chunk that a concurrent publisher references again', async () => {
    for (let offset = 0; offset < 60; offset++) {
      for (const listMs of [0, 4, 8, 12]) {
        const { store, run, time } = harness()
        const first = (await run(publishConfig(store, set, undefined))).unwrap()
        const second = (await run(publishConfig(store, withWeight(set, 2), first))).unwrap()
        const slow = new Proxy(store, {
          get: (target, key) => key === 'list'
            ? async (prefix: string) => { await delay(time, listMs); return await target.list(prefix) }
            : (Reflect.get(target, key) as () => unknown).bind(target)
        })
        const publishing = publishConfig(store, set, second)
        await time.advance(offset / 4)
        await run(Promise.all([publishing, deleteUnreferencedChunks(slow)]))
        chai.expect([offset, listMs, (await run(readConfig(store))).ok]).to.deep.equal([offset, listMs, true])
      }
    }
  })
})

describe('checkConfig', () => {
  it('gives the path of a reference to an unknown name', () => {
    const broken = { ...validSet(), routes: [{ name: 'r', path: '/r', methods: ['GET'], service: 'nowhere', repeatable: true }] }
    chai.expect(checkConfig(broken).val).to.deep.equal([{ path: 'routes.0.service', message: 'there is no service nowhere' }])
  })

  it('rejects an account with the reserved name of the unbilled account', () => {
    chai.expect(checkConfig({ ...validSet(), accounts: [{ name: 'open' }] }).err).to.equal(true)
  })

  it('rejects a name that is used twice', () => {
    const broken = { ...validSet(), accounts: [{ name: 'a' }, { name: 'a' }] }
    chai.expect(checkConfig(broken).err).to.equal(true)
  })
})

function validSet (): object {
  return {
    failure_domains: [{ name: 'd', region: 'r' }],
    profiles: [{ name: 'p' }],
    services: [{ name: 's', kind: 'plain', profile: 'p' }]
  }
}

function withWeight (set: ConfigSet, weight: number): ConfigSet {
  return { ...set, accounts: set.accounts.map((account, index) => index === 0 ? { ...account, weight } : account) }
}

function harness (): { store: MemoryStore, time: VirtualTime, run: <T>(work: Promise<T>) => Promise<T> } {
  const time = new VirtualTime()
  const store = new MemoryStore(time)
  const run = async <T>(work: Promise<T>): Promise<T> => {
    let done = false
    const mark = (): void => { done = true }
    work.then(mark, mark)
    await time.advanceUntil(() => done, 60_000)
    return await work
  }
  return { store, time, run }
}
