/** Keeps the fair share of this entry in step with the others: reports once a second, and sums as a home entry. */
import {
  SHARE_INTERVAL_MS, SHARE_METHOD, ShareReply, ShareExchange, ShareCoordinator, ShareReport, type FairAdmission, type CoordinatorEntry, type OutgoingReport
} from '../admission/index.js'
import type { ConfigIndex } from '../config/index.js'
import type { Metrics } from '../metrics/index.js'
import type { Member, Membership } from '../membership/index.js'
import type { Peers } from '../peer/index.js'
import type { Env } from '../time/index.js'

/** Time allowed for a report, in ms; the next one carries the same totals. */
const REPORT_TIMEOUT_MS = 900

/** What the child works with. */
export interface ShareDeps {
  readonly env: Env
  readonly metrics: Metrics
  readonly peers: Peers
  readonly membership: Membership
  readonly admission: FairAdmission
}

/** Timer and peer method of fair share. */
export class ShareChild implements AsyncDisposable {
  private readonly exchange: ShareExchange
  private readonly home: ShareCoordinator
  private timer: Disposable | undefined
  private watch: Disposable | undefined

  constructor (private readonly deps: ShareDeps) {
    const { membership, admission } = deps
    const { id, incarnation } = membership.self
    this.exchange = new ShareExchange(admission, { id, incarnation, get epoch () { return membership.epoch } })
    this.home = new ShareCoordinator(incarnation)
  }

  /** Starts reporting. */
  start (): void {
    const { env, peers, membership } = this.deps
    peers.handle(SHARE_METHOD, async (params) => this.home.apply(ShareReport.parse(params), env.clock.now()))
    this.watch = membership.subscribe(({ member, previous }) => {
      if (previous !== undefined && previous.incarnation !== member.incarnation) this.home.dropDemand(previous.incarnation)
      if (member.state === 'dead' || member.state === 'left') this.home.dropDemand(member.incarnation)
    })
    this.timer = env.timers.every(SHARE_INTERVAL_MS, () => this.step())
    this.setHomes()
  }

  /** Sets the slots of each service from the targets in this entry's region. */
  applyConfig (cfg: ConfigIndex): void {
    const { region } = this.deps.membership.self
    for (const service of cfg.set.services) {
      const usable = cfg.targetsOf(service.name).filter((target) => !target.leaving)
      const near = usable.filter((target) => cfg.regionOf(target.domain) === region)
      const total = Math.max(1, (near.length > 0 ? near : usable).length * service.slots_per_target)
      this.home.slots.setTotalSlots(service.name, total)
      this.exchange.setTotalSlots(service.name, total)
    }
  }

  async [Symbol.asyncDispose] (): Promise<void> {
    this.timer?.[Symbol.dispose]()
    this.watch?.[Symbol.dispose]()
  }

  private step (): void {
    const now = this.deps.env.clock.now()
    this.setHomes()
    this.home.sweep(now)
    for (const outgoing of this.exchange.createReports(now)) {
      this.send(outgoing).catch(() => this.failed('failed'))
    }
  }

  private setHomes (): void {
    const { self } = this.deps.membership
    const near = this.deps.membership.members().filter((member) => member.region === self.region)
    const homes = near.filter((member) => member.state === 'alive' || member.state === 'suspect')
    const serving = homes.length + near.filter((member) => member.state === 'leaving').length
    this.exchange.setCoordinators((homes.length > 0 ? homes : [self]).map(toHome), serving)
  }

  private async send ({ coordinator: home, report }: OutgoingReport): Promise<void> {
    const { env, peers, membership, metrics } = this.deps
    metrics.count('godwitpoint_share_reports_total')
    if (home.id === membership.self.id) {
      this.answered(report, this.home.apply(report, env.clock.now()))
      return
    }
    const answer = await peers.call<unknown>(home.peerAddress, SHARE_METHOD, report, REPORT_TIMEOUT_MS)
    if (answer.err) {
      this.failed(answer.val.kind)
      return
    }
    const parsed = ShareReply.safeParse(answer.val)
    this.answered(report, parsed.success ? parsed.data : undefined)
  }

  private answered (report: ShareReport, answer: ShareReply | undefined): void {
    if (answer === undefined) this.failed('refused')
    else this.exchange.applyReply(report, answer, this.deps.env.clock.now())
  }

  private failed (reason: string): void {
    this.deps.metrics.count('godwitpoint_share_report_failures_total', `reason="${reason}"`)
  }
}

function toHome (member: Member): CoordinatorEntry {
  return { id: member.id, peerAddress: member.peerAddress }
}
