/** Runs cells of the configuration protocol: four entries apply the configuration, and two operators edit it. */
import { ConfigPropagator, editConfig, HEAD_KEY } from '../../src/config/index.js'
import { Ok } from '../../src/errors/index.js'
import { SILENT_LOGGER } from '../../src/log/index.js'
import { ConfigHead } from '../../src/schema/index.js'
import type { PlatformCall } from '../../src/standin/index.js'
import { delay } from '../../src/time/index.js'
import { REGION } from '../support/build.js'
import { ACCOUNTS, TestProcess, type World } from '../support/world.js'
import type { Violation } from './checks.js'
import { checkConfiguration } from './checks-control.js'
import { heal } from './faults.js'

const ENTRY_COUNT = 4
const EDITS_PER_OPERATOR = 4
const EDIT_INTERVAL_MS = 2_500

/** Time in which faults are injected, and bound within which a change is in force everywhere (section 3 of the design), in ms. */
const FAULT_PHASE_MS = 30_000
const PROPAGATION_BOUND_MS = 17_000

/** A process of an entry or an operator, with a propagator that keeps its configuration current. */
export class ConfigProcess extends TestProcess {
  readonly generations: number[] = []
  readonly propagator: ConfigPropagator
  /** Weight set by the operator's last accepted edit, by account. */
  readonly acceptedWeights = new Map<string, number>()
  /** Whether the outcome of the last edit is unknown, so that it may be in force. */
  outcomeUnknown = false

  constructor (world: World, name: string, domain: string) {
    super(world, name, domain)
    const { env, metrics, peers, platform: { store } } = this
    this.propagator = new ConfigPropagator({ env, metrics, peers, store, members: { name, region: REGION, others: () => this.others() }, log: SILENT_LOGGER })
    this.propagator.serve(peers)
  }

  start (): void {
    this.propagator.onChange((cfg) => {
      this.generations.push(cfg.generation)
      this.reachStep('apply')
    })
    this.propagator.start()
  }

  override onPlatformCall (call: PlatformCall): void {
    if (call.kind === 'put' && call.key === HEAD_KEY && this.publishing) this.reachStep('publish')
  }

  private publishing = false

  /** Edits the weight of one account repeatedly. */
  async editWeights (account: string): Promise<void> {
    for (let edit = 1; edit <= EDITS_PER_OPERATOR; edit++) {
      this.reachStep('edit')
      await this.gate.whenRunning()
      this.publishing = true
      const outcome = await editConfig(this.platform.store, (set) => Ok({
        ...set, accounts: set.accounts.map((other) => other.name === account ? { ...other, weight: edit + 1 } : other)
      }))
      this.publishing = false
      if (outcome.ok) this.acceptedWeights.set(account, edit + 1)
      this.outcomeUnknown = outcome.err
      await delay(this.env.timers, EDIT_INTERVAL_MS)
    }
  }
}

/** Interval at which the head is polled, in ms; shorter than a publication takes, so that no generation is missed. */
const HEAD_POLL_MS = 4

/** Lets the operators edit while the faults are injected, and checks the result. */
export async function runConfiguration (world: World<ConfigProcess>): Promise<Violation[]> {
  await world.start(ENTRY_COUNT, (name, domain) => new ConfigProcess(world, name, domain))
  const heads: number[] = []
  world.time.every(HEAD_POLL_MS, () => {
    const head = world.platform.store.peek(HEAD_KEY)
    const generation = head === undefined ? 0 : ConfigHead.parse(JSON.parse(head.value)).generation
    if (generation !== heads.at(-1)) heads.push(generation)
  })
  for (const [index, proc] of world.procs.slice(0, 2).entries()) proc.editWeights(ACCOUNTS[index]!).catch(() => {})
  await world.time.advance(FAULT_PHASE_MS)
  heal(world)
  await world.time.advance(PROPAGATION_BOUND_MS)
  return checkConfiguration(world, heads)
}
