/** Measures the heap used by the current configuration at the target size: 18,000 accounts, 36,000 keys, 11,000 targets. */
import { ConfigIndex, joinConfig, splitConfig } from '../src/config/index.js'
import { ConfigSet } from '../src/schema/index.js'

const ACCOUNT_COUNT = 18_000
const KEY_COUNT = 36_000
const TARGET_COUNT = 11_000
const DOMAIN_COUNT = 16
const MODEL_COUNT = 10
const MIB = 1024 * 1024

globalThis.gc?.()
const heapBefore = process.memoryUsage().heapUsed
const chunks = splitConfig(createConfig())
const index = new ConfigIndex(1, joinConfig(chunks))
globalThis.gc?.()
const heapAfter = process.memoryUsage().heapUsed
process.stdout.write(JSON.stringify({
  gc: globalThis.gc !== undefined,
  chunks: chunks.length,
  text_mib: chunks.reduce((sum, chunk) => sum + chunk.text.length, 0) / MIB,
  heap_mib: (heapAfter - heapBefore) / MIB,
  keys: index.set.keys.length
}) + '\n')

function createConfig (): ConfigSet {
  const domains = numberedNames(DOMAIN_COUNT, 'domain').map((name, position) => ({ name, region: `region-${position % 7}` }))
  return ConfigSet.parse({
    failure_domains: domains,
    profiles: [{ name: 'p' }],
    services: numberedNames(MODEL_COUNT, 'model').map((name) => ({ name, kind: 'model', profile: 'p' })),
    accounts: numberedNames(ACCOUNT_COUNT, 'account').map((name) => ({ name })),
    keys: numberedNames(KEY_COUNT, 'key').map((id, position) => ({ id: id.replace('-', ''), account: `account-${position % ACCOUNT_COUNT}`, digest: position.toString(16).padStart(64, '0') })),
    targets: numberedNames(TARGET_COUNT, 'target').map((name, position) => ({
      name, service: `model-${position % MODEL_COUNT}`, domain: `domain-${position % DOMAIN_COUNT}`, url: `http://10.0.${position >> 8}.${position & 255}:8000`
    }))
  })
}

function numberedNames (count: number, prefix: string): string[] {
  return Array.from({ length: count }, (_, position) => `${prefix}-${position}`)
}
