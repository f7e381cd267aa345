/**
 * Shares the work totals of this entry with the others for fair admission: reports them to the coordinators every
 * {@link SHARE_INTERVAL_MS}, and sums the reports of others where this entry is the coordinator.
 */
import {
  SHARE_INTERVAL_MS, SHARE_METHOD, ShareReply, ShareExchange, ShareCoordinator, ShareReport, type FairAdmission, type CoordinatorEntry, type OutgoingReport
} from '../admission/index.js'
import type { ConfigIndex } from '../config/index.js'
import type { Metrics } from '../metrics/index.js'
import type { Member, Membership } from '../membership/index.js'
import type { Peers } from '../peer/index.js'
import type { Env } from '../time/index.js'

/** Time allowed for a report, in ms; a lost report needs no retry, since the next one carries the same totals. */
const REPORT_TIMEOUT_MS = 900

/** Dependencies of a {@link ShareChild}. */
export interface ShareChildDeps {
  readonly env: Env
  readonly metrics: Metrics
  readonly peers: Peers
  readonly membership: Membership
  readonly admission: FairAdmission
}

/** Runs the timer and the peer method of fair admission. */
export class ShareChild implements AsyncDisposable {
  private readonly exchange: ShareExchange
  private readonly coordinator: ShareCoordinator
  private timer: Disposable | undefined
  private membershipSubscription: Disposable | undefined

  constructor (private readonly deps: ShareChildDeps) {
    const { membership, admission } = deps
    const { id, incarnation } = membership.self
    this.exchange = new ShareExchange(admission, { id, incarnation, get epoch () { return membership.epoch } })
    this.coordinator = new ShareCoordinator(incarnation)
  }

  /** Starts reporting. */
  start (): void {
    const { env, peers, membership } = this.deps
    peers.handle(SHARE_METHOD, async (params) => this.coordinator.apply(ShareReport.parse(params), env.clock.now()))
    this.membershipSubscription = membership.subscribe(({ member, previous }) => {
      if (previous !== undefined && previous.incarnation !== member.incarnation) this.coordinator.dropDemand(previous.incarnation)
      if (member.state === 'dead' || member.state === 'left') this.coordinator.dropDemand(member.incarnation)
    })
    this.timer = env.timers.every(SHARE_INTERVAL_MS, () => this.exchangeReports())
    this.setCoordinators()
  }

  /** Sets the slots of each service from the targets in this entry's region, or from all regions when it has none. */
  applyConfig (cfg: ConfigIndex): void {
    const { region } = this.deps.membership.self
    for (const service of cfg.set.services) {
      const usable = cfg.targetsOf(service.name).filter((target) => !target.leaving)
      const local = usable.filter((target) => cfg.regionOf(target.domain) === region)
      const total = Math.max(1, (local.length > 0 ? local : usable).length * service.slots_per_target)
      this.coordinator.slots.setTotalSlots(service.name, total)
      this.exchange.setTotalSlots(service.name, total)
    }
  }

  async [Symbol.asyncDispose] (): Promise<void> {
    this.timer?.[Symbol.dispose]()
    this.membershipSubscription?.[Symbol.dispose]()
  }

  private exchangeReports (): void {
    const now = this.deps.env.clock.now()
    this.setCoordinators()
    this.coordinator.sweep(now)
    for (const outgoing of this.exchange.createReports(now)) {
      this.send(outgoing).catch(() => this.countFailure('failed'))
    }
  }

  private setCoordinators (): void {
    const { self } = this.deps.membership
    const regionMembers = this.deps.membership.members().filter((member) => member.region === self.region)
    const coordinators = regionMembers.filter((member) => member.state === 'alive' || member.state === 'suspect')
    const serving = coordinators.length + regionMembers.filter((member) => member.state === 'leaving').length
    this.exchange.setCoordinators((coordinators.length > 0 ? coordinators : [self]).map(toCoordinatorEntry), serving)
  }

  private async send ({ coordinator, report }: OutgoingReport): Promise<void> {
    const { env, peers, membership, metrics } = this.deps
    metrics.count('godwitpoint_share_reports_total')
    if (coordinator.id === membership.self.id) {
      this.applyReply(report, this.coordinator.apply(report, env.clock.now()))
      return
    }
    const reply = await peers.call<unknown>(coordinator.peerAddress, SHARE_METHOD, report, REPORT_TIMEOUT_MS)
    if (reply.err) {
      this.countFailure(reply.val.kind)
      return
    }
    const parsed = ShareReply.safeParse(reply.val)
    this.applyReply(report, parsed.success ? parsed.data : undefined)
  }

  private applyReply (report: ShareReport, reply: ShareReply | undefined): void {
    if (reply === undefined) this.countFailure('refused')
    else this.exchange.applyReply(report, reply, this.deps.env.clock.now())
  }

  private countFailure (reason: string): void {
    this.deps.metrics.count('godwitpoint_share_report_failures_total', `reason="${reason}"`)
  }
}

function toCoordinatorEntry (member: Member): CoordinatorEntry {
  return { id: member.id, peerAddress: member.peerAddress }
}
