/** Builders of configurations and keys for tests. */
import * as crypto from 'node:crypto'
import { ConfigSet } from '../../src/schema/index.js'

/** A caller key that is the same in every run. */
export interface TestKey {
  readonly text: string
  readonly id: string
  readonly digest: string
}

/** The key of an account. */
export function keyFor (account: string): TestKey {
  const id = `k${account.replace(/[^a-z0-9]/g, '')}00`
  const secret = crypto.createHash('sha256').update(account).digest('base64url')
  return { text: `gw_${id}_${secret}`, id, digest: crypto.createHash('sha256').update(secret).digest('hex') }
}

export const DOMAINS = ['d1', 'd2', 'd3'] as const
export const REGION = 'r1'
export const MODEL = 'talk'
export const PLAIN = 'ledger'

/** A deployment with one engine and one instance of a plain service in each of three failure domains. */
export function smallConfig (accounts: readonly string[]): ConfigSet {
  const targets = [MODEL, PLAIN].flatMap((service) => DOMAINS.map((domain) => (
    { name: `${service}-${domain}`, service, domain, url: `http://${service}-${domain}/` }
  )))
  return ConfigSet.parse({
    failure_domains: DOMAINS.map((name) => ({ name, region: REGION })),
    profiles: [{ name: 'talk', deadline_ms: 20_000 }, { name: 'ledger', deadline_ms: 10_000 }],
    services: [{ name: MODEL, kind: 'model', profile: 'talk' }, { name: PLAIN, kind: 'plain', profile: 'ledger' }],
    routes: [
      { name: 'read', path: '/read', methods: ['GET'], service: PLAIN, repeatable: true },
      { name: 'record', path: '/record', methods: ['POST'], service: PLAIN, repeatable: false },
      { name: 'status', path: '/status', methods: ['GET'], service: PLAIN, repeatable: true, open: true }
    ],
    accounts: accounts.map((name) => ({ name })),
    keys: accounts.map((account) => ({ id: keyFor(account).id, account, digest: keyFor(account).digest })),
    targets
  })
}
