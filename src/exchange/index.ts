/** The exchange between gateways: relays and members, and the topics that they tell each other. */
export { GatewayRecord, type Changes, type Link, type LinkKind, type Topic } from './types.js'
export { planRelays, type RelayCandidate, type RelayPlan } from './relay-plan.js'
export { Roster, type RosterDeps } from './roster.js'
export { PeerSums, type Figures, type PeerSumsDeps, type SumRow } from './peer-sums.js'
export { Exchange, type ExchangeDeps } from './exchange.js'
